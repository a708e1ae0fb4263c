// Package gateway serves HTTP: it turns each request into an Exchange, passes
// it through the filter chain and answers with its outcome.
package gateway

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Observer is told how requests end.
type Observer interface {
	// Begin is called when a request arrives; the result is called at its end.
	Begin(x *filters.Exchange) (end func(err *outcome.Error))
}

// Codec is how callers and the gateway identify requests and tell errors.
type Codec interface {
	// RequestID returns the id of a request.
	RequestID(r *http.Request) string
	// WriteError answers with an error. The response has not been started.
	WriteError(w http.ResponseWriter, err *outcome.Error, requestID string)
}

// ownCodec is the Codec of the product's own interface.
type ownCodec struct{}

// RequestID implements Codec.
func (ownCodec) RequestID(r *http.Request) string { return filters.RequestID(r) }

// WriteError implements Codec.
func (ownCodec) WriteError(w http.ResponseWriter, err *outcome.Error, requestID string) {
	err.Write(w, requestID)
}

// Handler serves requests through a chain.
type Handler struct {
	Chain    filters.Handler
	Observer Observer
	Codec    Codec // nil for the one of the product's own interface
	// Abort cuts the connection if an answer that was started fails. Otherwise
	// the answer itself has told so.
	Abort bool
	// Acknowledge makes the handler answer at once with the interim status 102,
	// so that the sender knows that the instance has the request.
	Acknowledge bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Acknowledge {
		w.WriteHeader(http.StatusProcessing)
	}
	codec := h.Codec
	if codec == nil {
		codec = ownCodec{}
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
	if err != nil && x.Started && (h.Abort || x.Reset) {
		panic(http.ErrAbortHandler)
	}
}
