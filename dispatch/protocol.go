package dispatch

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
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
	Load          *backend.Load
}

// updateServer applies the information about the server to it, unless the
// response belongs to another attempt.
func (info *ResponseInfo) updateServer(server *backend.Server) {
	if info.Mismatched {
		return
	}
	if info.Draining || info.AddressReused {
		server.SetDraining()
	}
	if info.Load != nil {
		server.SetLoad(*info.Load)
	}
}

// refusedHeader is set by a backend server that refuses a request before
// running it.
const refusedHeader = "Fuchsia-Refused"

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
	info := ResponseInfo{Identified: echoedID == attempt.ID, Refused: resp.Header.Get(refusedHeader) != ""}
	info.Draining = info.Refused
	info.Mismatched = !info.Identified && (echoedID != "" || info.Refused && !attempt.FirstOnConnection)
	return info
}
