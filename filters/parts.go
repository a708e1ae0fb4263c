package filters

import "github.com/fuchsiastack/fuchsiastack/outcome"

// RefuseParts refuses requests that crash backend servers, or have parts in their
// prompts that do, before they wait for admission.
type RefuseParts struct {
	// Known is closed when the parts that other instances know of have been fetched.
	// Requests may come before that and wait for it.
	Known <-chan struct{}
	// Refuse returns the refusal of a request, or nil.
	Refuse func(x *Exchange) *outcome.Error
}

// Name implements Filter.
func (RefuseParts) Name() string { return "refuse-parts" }

// Handle implements Filter.
func (f RefuseParts) Handle(x *Exchange, next Handler) *outcome.Error {
	select {
	case <-f.Known:
	case <-x.Request.Context().Done():
	}
	if refusal := f.Refuse(x); refusal != nil {
		return refusal
	}
	return next(x)
}
