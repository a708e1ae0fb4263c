package filters

import "github.com/fuchsiastack/fuchsiastack/outcome"

// RefuseParts refuses requests with parts in their prompts that crash backend
// servers, before they wait for admission.
type RefuseParts struct {
	// Refuse returns the refusal of a request, or nil.
	Refuse func(x *Exchange) *outcome.Error
}

// Name implements Filter.
func (RefuseParts) Name() string { return "refuse-parts" }

// Handle implements Filter.
func (f RefuseParts) Handle(x *Exchange, next Handler) *outcome.Error {
	if refusal := f.Refuse(x); refusal != nil {
		return refusal
	}
	return next(x)
}
