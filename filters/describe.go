package filters

import (
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Describe reads what the header of a forwarded request tells of it. Its
// service and deadline are those of the forwarding instance.
type Describe struct {
	Reader Reader
}

// Name implements Filter.
func (Describe) Name() string { return "describe" }

// Handle implements Filter.
func (f Describe) Handle(x *Exchange, next Handler) *outcome.Error {
	if _, err := f.Reader.Read(x); err != nil {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "bad header: %v", err)
	}
	return next(x)
}
