package catalog

import "github.com/go-faster/errors"

// Errors of Snapshot.Resolve.
var (
	ErrUnknownService = errors.New("unknown service")
	ErrUnknownWork    = errors.New("unknown work")
)
