package dispatch

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/relay"
)

// Protocol defines the headers that a deployment's backend servers use.
type Protocol interface {
	// SetRequestHeader sets the request header of an attempt.
	SetRequestHeader(header http.Header, attempt Attempt)
	// ReadResponse interprets the response header of an attempt.
	ReadResponse(attempt Attempt, resp *http.Response) ResponseInfo
}

// protocol returns the Protocol in use.
func (d *Dispatcher) protocol() Protocol {
	if d.Protocol == nil {
		return defaultProtocol{}
	}
	return d.Protocol
}

// Attempt is one request to a backend server.
type Attempt struct {
	Exchange  *filters.Exchange
	Server    *backend.Server
	ID        string        // unique among all attempts
	Remaining time.Duration // until the deadline
	FetchFrom string        // host:port of a server that has more of the prompt in its cache, or ""
	// FirstOnConnection is set before ReadResponse is called. It means that the
	// connection carried no earlier request, so that its first response cannot be
	// one that belongs to an earlier request.
	FirstOnConnection bool
}

// ResponseInfo is the information in the header of a response.
type ResponseInfo struct {
	Mismatched    bool // the response belongs, or may belong, to another attempt
	Identified    bool // the response carries the id of the attempt
	Refused       bool // the server states that it did not run the request
	Draining      bool // the server accepts no more requests
	AddressReused bool // another process uses the server's address
	Failed        bool // the server ran the request and failed
	// Pause is the time for which the server wants no requests of this instance.
	Pause time.Duration
	// Ignored are the headers whose values, or parts of them, cannot be used.
	Ignored []*check.FieldError
	Load    *backend.Load
	Weights string // version of the server's weights; "" if the response does not tell
	// RateLimit is the server's limit on requests, or that it has none. It is nil if the
	// response does not tell.
	RateLimit *backend.RateLimitReport
}

// WithdrawalCause is why a backend server receives no more requests, for a time or
// for good.
type WithdrawalCause string

// The causes of withdrawals.
const (
	CauseLeaving       WithdrawalCause = "leaving"        // the server has announced that it leaves
	CauseAddressReused WithdrawalCause = "address_reused" // another process uses its address
	CausePause         WithdrawalCause = "pause"          // the server has asked for a pause
)

// Withdrawal describes a response after which its backend server receives no more
// requests, for a time or for good.
type Withdrawal struct {
	Cause   WithdrawalCause
	Status  int
	Refused bool          // the response states that the server did not run the request
	Asked   time.Duration // pause that the server has asked for
	Until   time.Time     // end of the pause; zero: until another process takes the server's place
	Elapsed time.Duration // since the start of the attempt
}

// updateServer applies the information about the server to it, unless the
// response belongs to another attempt. It returns the withdrawals that are new.
func (info *ResponseInfo) updateServer(now time.Time, server *backend.Server) []Withdrawal {
	if info.Mismatched {
		return nil
	}
	var withdrawals []Withdrawal
	switch {
	case info.AddressReused && server.SetDraining():
		withdrawals = append(withdrawals, Withdrawal{Cause: CauseAddressReused})
	case info.Draining && server.SetDraining():
		withdrawals = append(withdrawals, Withdrawal{Cause: CauseLeaving})
	}
	if until, moved := server.Pause(now, info.Pause); moved {
		withdrawals = append(withdrawals, Withdrawal{Cause: CausePause, Asked: info.Pause, Until: until})
	}
	if info.Load != nil {
		server.SetLoad(*info.Load)
	}
	if info.Weights != "" {
		server.SetWeights(now, info.Weights)
	}
	if info.RateLimit != nil {
		server.RecordRateLimit(*info.RateLimit)
	}
	return withdrawals
}

// Headers of responses of backend servers.
const (
	// refusedHeader is set by a backend server that refuses a request before running
	// it. Its value is refusedBusy, or another one if the server accepts no more
	// requests.
	refusedHeader = "Fuchsia-Refused"
	// leavingHeader announces that the server accepts no more requests.
	leavingHeader = "Fuchsia-Leaving"
	// rateLimitHeader holds the requests per second that the server takes from all
	// instances together. A response without it ends the limit.
	rateLimitHeader = "Fuchsia-Rate-Limit"
	// refusedBusy is the value of refusedHeader of a server that may accept later
	// requests.
	refusedBusy = "busy"
)

// defaultProtocol is the gateway's own Protocol.
type defaultProtocol struct{}

// SetRequestHeader implements Protocol.
func (defaultProtocol) SetRequestHeader(header http.Header, attempt Attempt) {
	CopyEndToEnd(header, attempt.Exchange.Request.Header)
	header.Del("Authorization")
	header.Set(outcome.RequestIDHeader, attempt.Exchange.ID)
	header.Set(relay.AttemptHeader, attempt.ID)
}

// ReadResponse implements Protocol.
func (defaultProtocol) ReadResponse(attempt Attempt, resp *http.Response) ResponseInfo {
	echoedID := resp.Header.Get(relay.AttemptHeader)
	refused := resp.Header.Get(refusedHeader)
	info := ResponseInfo{Identified: echoedID == attempt.ID, Refused: refused != ""}
	info.Mismatched = !info.Identified && (echoedID != "" || info.Refused && !attempt.FirstOnConnection)
	info.ReadWithdrawal(resp, leavingHeader)
	info.ReadRateLimit(resp, rateLimitHeader)
	info.Draining = info.Draining || refusesAll(refused)
	return info
}

// AnnouncesLeaving reports whether a response of a backend server that speaks the
// gateway's own protocol states that the server accepts no more requests.
func AnnouncesLeaving(resp *http.Response) bool {
	var info ResponseInfo
	info.ReadWithdrawal(resp, leavingHeader)
	return info.Draining || refusesAll(resp.Header.Get(refusedHeader))
}

// RateLimitOf returns the limit in a response of a backend server that speaks the
// gateway's own protocol, or nil if the response does not tell.
func RateLimitOf(resp *http.Response) *backend.RateLimitReport {
	var info ResponseInfo
	info.ReadRateLimit(resp, rateLimitHeader)
	return info.RateLimit
}

// refusesAll reports whether a value of refusedHeader, or "" for none, states that
// the server accepts no more requests.
func refusesAll(refused string) bool { return refused != "" && refused != refusedBusy }
