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

// Handler serves requests through a chain.
type Handler struct {
	Chain    filters.Handler
	Observer Observer
	// Acknowledge makes the handler answer at once with the interim status 102,
	// so that the sender knows that the instance has the request.
	Acknowledge bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Acknowledge {
		w.WriteHeader(http.StatusProcessing)
	}
	x := &filters.Exchange{Writer: w, Request: r, ID: filters.RequestID(r), Received: time.Now()}
	end := h.Observer.Begin(x)
	err := h.Chain(x)
	if err != nil && !x.Started {
		if err.Status == 0 {
			err.Status = http.StatusInternalServerError
		}
		err.Write(w, x.ID)
	}
	end(err)
}
