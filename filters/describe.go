package filters

import (
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Describe reads the routing hints in the header of a forwarded request. The
// timeout that HeaderReader returns is ignored: service and deadline are those
// that the forwarding instance sent.
type Describe struct {
	Reader HeaderReader
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
