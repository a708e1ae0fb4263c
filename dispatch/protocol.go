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
	// Request sets the request header of an attempt.
	Request(header http.Header, attempt Attempt)
	// Answer interprets the response header of an attempt.
	Answer(attempt Attempt, resp *http.Response) Answer
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
}

// Answer is the information in the header of a response.
type Answer struct {
	Foreign bool // the response belongs to another attempt
	Refused bool // the server states that it did not run the request
	Leaving bool // the server accepts no more requests
	Gone    bool // another process uses the server's address
	Failed  bool // the server ran the request and failed
	Load    *backend.Load
}

// updateServer applies the information about the server to it, unless the
// response belongs to another attempt.
func (info *Answer) updateServer(server *backend.Server) {
	if info.Foreign {
		return
	}
	if info.Leaving || info.Gone {
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

// Request implements Protocol.
func (defaultProtocol) Request(header http.Header, attempt Attempt) {
	CopyEndToEnd(header, attempt.Exchange.Request.Header)
	header.Del("Authorization")
	header.Set(outcome.RequestIDHeader, attempt.Exchange.ID)
	header.Set(relay.AttemptHeader, attempt.ID)
}

// Answer implements Protocol.
func (defaultProtocol) Answer(attempt Attempt, resp *http.Response) Answer {
	echoedID := resp.Header.Get(relay.AttemptHeader)
	refused := resp.Header.Get(refusedHeader) != ""
	return Answer{Foreign: echoedID != "" && echoedID != attempt.ID, Refused: refused, Leaving: refused}
}
