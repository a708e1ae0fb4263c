package backend

import (
	"sync"
	"time"
)

// pace bounds the requests that this instance sends to a cold server.
type pace struct {
	mu    sync.Mutex
	level float64
	at    time.Time // zero: full
}

// SetCold records that the caches of the server are cold until a time.
func (s *Server) SetCold(until time.Time) { s.cold.Store(until.UnixNano()) }

// ExtendCold does the same unless a later time is known.
func (s *Server) ExtendCold(until time.Time) {
	if at := until.UnixNano(); at > s.cold.Load() {
		s.cold.Store(at)
	}
}

// Cold reports whether the caches of the server are cold.
func (s *Server) Cold(now time.Time) bool { return now.UnixNano() < s.cold.Load() }

// PaceAllows reports whether a cold server may be sent one more request, at
// most rate requests a second and burst at once.
func (s *Server) PaceAllows(now time.Time, rate, burst float64) bool {
	s.pace.mu.Lock()
	defer s.pace.mu.Unlock()
	s.pace.fill(now, rate, burst)
	return s.pace.level >= 1
}

// TakePace uses one request of the pace.
func (s *Server) TakePace(now time.Time, rate, burst float64) bool {
	s.pace.mu.Lock()
	defer s.pace.mu.Unlock()
	s.pace.fill(now, rate, burst)
	if s.pace.level < 1 {
		return false
	}
	s.pace.level--
	return true
}

func (p *pace) fill(now time.Time, rate, burst float64) {
	if p.at.IsZero() {
		p.level = burst
	} else {
		p.level = min(burst, p.level+rate*now.Sub(p.at).Seconds())
	}
	p.at = now
}
