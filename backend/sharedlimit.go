package backend

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// requestLimiter is a token bucket that limits the requests which this instance
// sends to a server.
type requestLimiter struct {
	mu         sync.Mutex
	permitted  bool      // this instance may use the server
	since      time.Time // RequestLimit.Since of the last call
	available  float64   // requests that may be sent now
	refilledAt time.Time // zero if not permitted yet
}

// RequestLimit is the share of this instance in the request rate that a server may
// receive.
type RequestLimit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
	// Since is when this instance got its share. The burst accrues from then on, as the
	// instance that had the share before may have just used it. If it is zero, the burst
	// is available at once.
	Since time.Time
}

// SetCold records that the caches of the server are cold until the given time.
func (s *Server) SetCold(until time.Time) { s.coldUntil.Store(monotonic.Of(until)) }

// ExtendCold is like SetCold, but keeps a later time that is already recorded.
func (s *Server) ExtendCold(until time.Time) { s.coldUntil.Raise(monotonic.Of(until)) }

// Cold reports whether the caches of the server are cold.
func (s *Server) Cold(now time.Time) bool { return monotonic.Of(now) < s.coldUntil.Load() }

// ColdFor returns the time until the caches of the server count as warm, or 0.
func (s *Server) ColdFor(now time.Time) time.Duration {
	return max(0, s.coldUntil.Load().Sub(monotonic.Of(now)))
}

// LimitAllows reports whether one more request may be sent to a server under a limit that
// holds for all instances together.
func (s *Server) LimitAllows(now time.Time, limit RequestLimit) bool {
	return s.shared.allows(now, limit)
}

// ReserveLimit counts one request against that limit and returns true, or returns
// false if the limit is reached.
func (s *Server) ReserveLimit(now time.Time, limit RequestLimit) bool {
	return s.shared.reserve(now, limit)
}

// ForbidLimit records that this instance has no share of that limit.
func (s *Server) ForbidLimit() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.permitted = false
}

// allows reports whether one more request may be sent.
func (l *requestLimiter) allows(now time.Time, limit RequestLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now, limit)
	return l.available >= 1
}

// reserve counts one request and returns true, or returns false if the limit is
// reached.
func (l *requestLimiter) reserve(now time.Time, limit RequestLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now, limit)
	if l.available < 1 {
		return false
	}
	l.available--
	return true
}

func (l *requestLimiter) refill(now time.Time, limit RequestLimit) {
	if !l.permitted || !limit.Since.Equal(l.since) {
		l.permitted, l.since, l.available = true, limit.Since, 0
		if limit.Since.After(l.refilledAt) {
			l.refilledAt = limit.Since
		}
	}
	l.available = min(limit.Burst, l.available+limit.Rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}
