package store

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Effect states what is known about a write that returned an error.
type Effect uint8

const (
	// NotApplied means that the write had no effect.
	NotApplied Effect = iota
	// MayBeApplied means that the write may have taken effect. Read the key
	// back before writing again.
	MayBeApplied
)

// String returns the form used in error messages.
func (e Effect) String() string {
	if e == NotApplied {
		return "not applied"
	}
	return "may have been applied"
}

// Causes of an Error, to be tested with errors.Is.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("conflict")
	ErrUnavailable = errors.New("unavailable")
	ErrThrottled   = errors.New("call rate limit exceeded")
)

// Error is a failed call of a Store or Feed.
type Error struct {
	Op     string // name of the operation, such as "get" or "txn"
	Key    string // key, prefix or lease id; the first key of a transaction
	Effect Effect
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s %s: %s: %v", e.Op, e.Key, e.Effect, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// EffectOf returns whether the write that failed with err may have taken effect.
// If err does not wrap an *Error, the result is MayBeApplied.
func EffectOf(err error) Effect {
	var e *Error
	if errors.As(err, &e) {
		return e.Effect
	}
	return MayBeApplied
}
