package backend

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// stateChecks holds the results of this instance's queries of a server for its state.
type stateChecks struct {
	warmAt        monotonic.Atomic // start of the last query that found the caches warm; zero: none did
	excludedUntil monotonic.Atomic
}

// SetWarm records that a query which was sent at the given time found the caches of the
// server warm.
func (s *Server) SetWarm(askedAt time.Time) { s.checks.warmAt.Raise(monotonic.Of(askedAt)) }

// WarmWithin reports whether a query of the last maxAge found the caches warm.
func (s *Server) WarmWithin(now time.Time, maxAge time.Duration) bool {
	return s.checks.warmAt.Load().Since(now) <= maxAge
}

// ExcludeUnchecked records that a query for the state of the server failed. Until the given
// time the server is not used while its state is unknown.
func (s *Server) ExcludeUnchecked(until time.Time) {
	s.checks.excludedUntil.Raise(monotonic.Of(until))
}

// Unchecked reports whether the server is excluded because its state could not be queried.
func (s *Server) Unchecked(now time.Time) bool {
	return monotonic.Of(now) < s.checks.excludedUntil.Load()
}
