// Package filters defines the chain that every request passes, and the
// filters of the chain. A filter inspects or changes the Exchange and calls
// the next one, or returns an error, which ends the request.
package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Exchange is one request on its way through the chain.
type Exchange struct {
	Writer   http.ResponseWriter
	Request  *http.Request
	ID       string
	Received time.Time

	Hop      *Hop              // set if another instance forwarded the request
	Snapshot *catalog.Snapshot // configuration that the request is decided under
	Caller   string
	Service  *catalog.Service
	Work     catalog.Work
	Path     string // path at the backend server
	Deadline time.Time
	// FirstBy is when the caller has surely left if its stream has not begun;
	// zero: unknown.
	FirstBy time.Time
	Body    []byte
	Stream  bool // the caller asked for a stream of events
	Started bool // the response has been started
	Status  int  // of the answer that was passed on; 0: none
	Reset   bool // only a reset tells the caller that the answer is not whole

	// Idempotency is the caller's idempotency key, or "".
	Idempotency string
	// Digests and size of a prompt, for routing. PrefixTokens are the prompt
	// tokens that each digest covers; nil for blocks of one size. Shared is the
	// number of leading digests that other prompts have in common; 0: unknown.
	Prefix       []uint64
	PrefixTokens []int
	Shared       int
	PromptTokens int
	// AnswerTokens is the length that the caller bounds the answer to, or 0.
	AnswerTokens int
	// NoSlot means that no slot of this region becomes free in time, so that
	// only another region can serve the request.
	NoSlot bool
}

// Policy returns the policy of the request's rank.
func (x *Exchange) Policy() catalog.RankPolicy { return x.Service.PolicyOf(x.Work) }

// Handler continues a request. A nil result means that the answer was sent.
type Handler func(x *Exchange) *outcome.Error

// Filter is one step of the chain.
type Filter interface {
	// Name identifies the filter in logs and metrics.
	Name() string
	// Handle processes x and calls next at most once.
	Handle(x *Exchange, next Handler) *outcome.Error
}

// Chain returns a Handler that passes requests through the filters in order
// and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link(filters[i], handler)
	}
	return handler
}

func link(f Filter, next Handler) Handler {
	return func(x *Exchange) *outcome.Error { return f.Handle(x, next) }
}
