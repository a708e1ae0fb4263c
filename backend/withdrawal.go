package backend

import (
	"slices"
	"sync/atomic"
	"time"
)

// MaxPause is the longest pause that a server obtains with one response. It is far
// longer than an instance runs between two releases.
const MaxPause = 30 * 24 * time.Hour

// pause is the time for which a server has asked this instance for no requests.
type pause struct {
	until       time.Time   // with a monotonic reading, so that a clock step does not move it
	endReported atomic.Bool // EndPause has returned true
}

// SetDraining records that the server itself has announced or shown that it
// accepts no more requests. It reports whether that is new. The mark applies to
// the server's process, not to its entry: it outlasts any change of the entry that
// denotes the same process.
func (s *Server) SetDraining() bool { return !s.draining.Swap(true) }

// Accepts reports whether the server may receive new requests apart from a pause:
// it is listed as live and not draining.
func (s *Server) Accepts() bool { return s.State == StateLive && !s.draining.Load() }

// Pause records that the server wants no requests of this instance for d, or for
// MaxPause if that is shorter. It never shortens an earlier pause. It returns the
// end of the pause in force, and whether the call has moved it.
func (s *Server) Pause(now time.Time, d time.Duration) (until time.Time, moved bool) {
	if d <= 0 {
		return s.PausedUntil(), false
	}
	next := &pause{until: now.Add(min(d, MaxPause))}
	for {
		last := s.pause.Load()
		if last != nil && !next.until.After(last.until) {
			return last.until, false
		}
		if s.pause.CompareAndSwap(last, next) {
			return next.until, true
		}
	}
}

// PausedUntil returns the end of the server's last pause, or the zero time if there
// was none.
func (s *Server) PausedUntil() time.Time {
	if p := s.pause.Load(); p != nil {
		return p.until
	}
	return time.Time{}
}

// Paused reports whether the server has asked this instance for no requests.
func (s *Server) Paused(now time.Time) bool { return now.Before(s.PausedUntil()) }

// MayReceive reports whether a request may be sent to the server now.
func (s *Server) MayReceive(now time.Time) bool { return s.Accepts() && !s.Paused(now) }

// EndPause returns true once for each pause that has ended, and the time at which
// it ended.
func (s *Server) EndPause(now time.Time) (until time.Time, ended bool) {
	p := s.pause.Load()
	if p == nil || now.Before(p.until) {
		return time.Time{}, false
	}
	return p.until, p.endReported.CompareAndSwap(false, true)
}

// ResumeAllows reports whether one more request may be sent to a server whose pause
// has ended, under a limit of rate requests per second.
func (s *Server) ResumeAllows(now time.Time, rate float64) bool {
	return s.resume.allows(now, RequestLimit{Rate: rate, Burst: 1})
}

// ReserveResume counts one request against that limit and returns true, or returns
// false if the limit is reached.
func (s *Server) ReserveResume(now time.Time, rate float64) bool {
	return s.resume.reserve(now, RequestLimit{Rate: rate, Burst: 1})
}

// withdrawn reports whether the server has withdrawn from new requests, for a time
// or for good.
func (s *Server) withdrawn() bool { return s.draining.Load() || s.pause.Load() != nil }

// MayReceive reports whether a request may be sent now to any server of a service.
func (r *Registry) MayReceive(service string, now time.Time) bool {
	return slices.ContainsFunc(r.Servers(service), func(s *Server) bool { return s.MayReceive(now) })
}

// EndPauses calls ended once for each pause that has ended, with the time since its
// end.
func (r *Registry) EndPauses(now time.Time, ended func(server *Server, since time.Duration)) {
	for _, server := range r.All() {
		if until, ok := server.EndPause(now); ok {
			ended(server, now.Sub(until))
		}
	}
}
