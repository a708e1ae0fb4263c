package backend

import (
	"math"
	"strconv"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

const (
	// MaxSlowdown is the highest valid Slowdown.
	MaxSlowdown Slowdown = 1000
	// MinSlowdown is the lowest valid Slowdown other than 0.
	MinSlowdown Slowdown = 0.001
	// slowdownLifetime is the mean time for which a reported slowdown is assumed to
	// last. Servers share their machines with others, whose work changes several
	// times a second.
	slowdownLifetime = 300 * time.Millisecond
)

// Slowdown is how long work takes on a server now, as a multiple of the usual time:
// 1 is as usual, 2.5 is two and a half times as long. 0 means that it is not known.
type Slowdown float64

// Validate returns a *check.FieldError if the slowdown is neither 0 nor from
// MinSlowdown to MaxSlowdown.
func (s Slowdown) Validate() error {
	if s == 0 || s >= MinSlowdown && s <= MaxSlowdown {
		return nil
	}
	return check.Field("slowdown", strconv.FormatFloat(float64(s), 'g', -1, 64), check.ErrOutOfRange)
}

// SlowdownReport is a slowdown that a server has reported.
type SlowdownReport struct {
	Slowdown
	ReceivedAt time.Time // when it was received, by this or another instance
}

// Age returns the time since the report was received, or 0 for the zero report.
func (r SlowdownReport) Age(now time.Time) time.Duration {
	if r.Slowdown == 0 {
		return 0
	}
	return max(now.Sub(r.ReceivedAt), 0)
}

// RecordSlowdown records a slowdown unless a later one is known. It is received with
// a load report, or through another instance.
func (s *Server) RecordSlowdown(report SlowdownReport) {
	if report.Slowdown == 0 {
		return
	}
	for {
		last := s.slowdown.Load()
		if last != nil && !report.ReceivedAt.After(last.ReceivedAt) || s.slowdown.CompareAndSwap(last, &report) {
			return
		}
	}
}

// LastSlowdown returns the newest slowdown, or the zero SlowdownReport if the server
// has reported none.
func (s *Server) LastSlowdown() SlowdownReport {
	if last := s.slowdown.Load(); last != nil {
		return *last
	}
	return SlowdownReport{}
}

// Delay returns by how much longer than usual the given work is expected to take on
// the server because of its slowdown. It is less than 0 if the server is faster than
// usual. The slowdown is assumed to end at a constant rate: at a random time after it
// was reported, possibly before the work begins or while it runs.
func (s *Server) Delay(now time.Time, work time.Duration) time.Duration {
	last := s.slowdown.Load()
	if last == nil || last.Slowdown == 1 || work <= 0 {
		return 0
	}
	lifetime := slowdownLifetime.Seconds()
	persists := math.Exp(-last.Age(now).Seconds() / lifetime)
	factor := float64(last.Slowdown)
	// The time during which work and slowdown overlap has this mean.
	overlap := lifetime * -math.Expm1(-work.Seconds()*factor/lifetime)
	return seconds(persists * overlap * (1 - 1/factor))
}

// steadySlowdown returns the slowdown during an attempt: 1 if the server reports
// none, and false if it changed meanwhile.
func steadySlowdown(first, last Slowdown) (Slowdown, bool) {
	if first == 0 {
		first = 1
	}
	if last == 0 {
		last = 1
	}
	return last, first == last
}
