package store

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Effect states what is known about a write that returned an error.
type Effect uint8

const (
	// DidNotHappen means that the write had no effect.
	DidNotHappen Effect = iota
	// MayHaveHappened means that the write may have taken effect; read back
	// before writing again.
	MayHaveHappened
)

// String returns the name of the effect.
func (e Effect) String() string {
	if e == DidNotHappen {
		return "did not happen"
	}
	return "may have happened"
}

// Causes of an Error.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("conflict")
	ErrUnavailable = errors.New("unavailable")
	ErrThrottled   = errors.New("over the call budget")
)

// Error is a failed call.
type Error struct {
	Op     string // name of the Store method
	Key    string
	Effect Effect
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s %s: %s: %v", e.Op, e.Key, e.Effect, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// EffectOf returns what is known about the write that gave err. An error that
// is not of this package counts as MayHaveHappened.
func EffectOf(err error) Effect {
	var e *Error
	if errors.As(err, &e) {
		return e.Effect
	}
	return MayHaveHappened
}
