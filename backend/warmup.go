package backend

import (
	"sync"
	"time"
)

// requestLimiter is a token bucket that limits the requests which this instance
// sends to a server.
type requestLimiter struct {
	mu         sync.Mutex
	available  float64   // requests that may be sent now
	refilledAt time.Time // zero before the first refill, which fills the bucket
}

// SetCold records that the caches of the server are cold until the given time.
func (s *Server) SetCold(until time.Time) { s.coldUntil.Store(until.UnixNano()) }

// ExtendCold is like SetCold, but keeps a later time that is already recorded.
func (s *Server) ExtendCold(until time.Time) {
	if at := until.UnixNano(); at > s.coldUntil.Load() {
		s.coldUntil.Store(at)
	}
}

// Cold reports whether the caches of the server are cold.
func (s *Server) Cold(now time.Time) bool { return now.UnixNano() < s.coldUntil.Load() }

// WarmupAllows reports whether one more request may be sent to a cold server
// under a limit of rate requests per second with the given burst.
func (s *Server) WarmupAllows(now time.Time, rate, burst float64) bool {
	return s.warmup.allows(now, rate, burst)
}

// ReserveWarmup counts one request against the limit and returns true, or
// returns false if the limit is reached.
func (s *Server) ReserveWarmup(now time.Time, rate, burst float64) bool {
	return s.warmup.reserve(now, rate, burst)
}

// allows reports whether one more request may be sent.
func (l *requestLimiter) allows(now time.Time, rate, burst float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now, rate, burst)
	return l.available >= 1
}

// reserve counts one request and returns true, or returns false if the limit is
// reached.
func (l *requestLimiter) reserve(now time.Time, rate, burst float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now, rate, burst)
	if l.available < 1 {
		return false
	}
	l.available--
	return true
}

func (l *requestLimiter) refill(now time.Time, rate, burst float64) {
	if l.refilledAt.IsZero() {
		l.available = burst
	} else {
		l.available = min(burst, l.available+rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}
