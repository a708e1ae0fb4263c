package filters

import "github.com/fuchsiastack/fuchsiastack/outcome"

// RefuseParts refuses requests with parts in their prompts that crash backend
// servers, before they wait for admission.
type RefuseParts struct {
	// Known is closed when the parts that other instances know of have been fetched.
	// Requests with parts may come before that and wait for it.
	Known <-chan struct{}
	// Refuse returns the refusal of a request, or nil.
	Refuse func(x *Exchange) *outcome.Error
}

// Name implements Filter.
func (RefuseParts) Name() string { return "refuse-parts" }

// Handle implements Filter.
func (f RefuseParts) Handle(x *Exchange, next Handler) *outcome.Error {
	if len(x.Parts) > 0 {
		select {
		case <-f.Known:
		case <-x.Request.Context().Done():
		}
	}
	if refusal := f.Refuse(x); refusal != nil {
		return refusal
	}
	return next(x)
}
