// Package gateway serves HTTP: it wraps each request in an Exchange, passes it
// through the filter chain and writes an error response if the chain fails.
package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Observer receives the start and the end of each request.
type Observer interface {
	// Begin is called when a request arrives. The returned function is called
	// when the request has ended, with its error or nil.
	Begin(x *filters.Exchange) (end func(err *outcome.Error))
}

// Codec defines how request ids are read and how errors are encoded.
type Codec interface {
	// RequestID returns the id of a request.
	RequestID(r *http.Request) string
	// WriteError sends err as the response, which has not been started.
	WriteError(w http.ResponseWriter, err *outcome.Error, requestID string)
}

// defaultCodec is the Codec of the gateway's own API.
type defaultCodec struct{}

// RequestID implements Codec.
func (defaultCodec) RequestID(r *http.Request) string { return filters.RequestID(r) }

// WriteError implements Codec.
func (defaultCodec) WriteError(w http.ResponseWriter, err *outcome.Error, requestID string) {
	err.Write(w, requestID)
}

// Handler serves requests through a chain.
type Handler struct {
	Chain    filters.Handler
	Observer Observer
	Codec    Codec // nil: the codec of the gateway's own API
	// AbortOnError makes the handler abort the connection if a response fails after
	// its start. If it is false, the connection is aborted only if
	// Exchange.ResetRequired is set: any other response reports the failure itself.
	AbortOnError bool
	// Acknowledge makes the handler send the interim status 102 at once, which
	// confirms to the sender that the instance has received the request.
	Acknowledge bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Acknowledge {
		w.WriteHeader(http.StatusProcessing)
	}
	codec := h.Codec
	if codec == nil {
		codec = defaultCodec{}
	}
	x := &filters.Exchange{Writer: w, Request: r, ID: codec.RequestID(r), Received: time.Now()}
	end := h.Observer.Begin(x)
	err := h.Chain(x)
	if err != nil && !x.Started {
		if err.Status == 0 {
			err.Status = http.StatusInternalServerError
		}
		codec.WriteError(w, err, x.ID)
	}
	end(err)
	if err != nil && x.Started && (h.AbortOnError || x.ResetRequired) {
		resetUnframed(w, r)
		panic(http.ErrAbortHandler)
	}
}

// resetUnframed resets the connection if only its end shows the end of the response.
// A regular end, as after a panic, would make the response look complete.
func resetUnframed(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return // the response has chunks or a length
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
