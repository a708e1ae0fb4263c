package backend

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// Bounds of a RateLimitReport's Rate other than 0.
const (
	MinRateLimit = 0.001 // requests per second
	MaxRateLimit = 1e6   // requests per second
)

// RateLimitReport is a limit on requests that a server has reported, or the absence of
// one.
type RateLimitReport struct {
	Rate       float64   // requests per second that the server takes from all instances together; 0: no limit
	ReceivedAt time.Time // when it was received, by this or another instance
	Relayed    bool      // it was received by another instance
}

// Validate returns a *check.FieldError if the rate is neither 0 nor from MinRateLimit
// to MaxRateLimit.
func (r RateLimitReport) Validate() error {
	if r.Rate == 0 || r.Rate >= MinRateLimit && r.Rate <= MaxRateLimit {
		return nil
	}
	return check.Field("rate", strconv.FormatFloat(r.Rate, 'g', -1, 64), check.ErrOutOfRange)
}

// rateLimit is the state of a server's limit on requests.
type rateLimit struct {
	newest   atomic.Pointer[rateLimitRecord] // nil if there was no report
	reported atomic.Uint64                   // bits of the last rate of a RateLimitChange
}

// rateLimitRecord is the newest report of a server's limit.
type rateLimitRecord struct {
	RateLimitReport
	// changedAt is when the first report with this rate was received; zero if no limit
	// was ever reported.
	changedAt time.Time
}

// RecordRateLimit records a report unless a later one is known. A limit stays in force
// until a later report has another one or none.
func (s *Server) RecordRateLimit(report RateLimitReport) {
	for {
		last := s.rateLimit.newest.Load()
		next := &rateLimitRecord{RateLimitReport: report}
		switch {
		case last != nil && !report.ReceivedAt.After(last.ReceivedAt):
			return
		case last != nil && last.Rate == report.Rate:
			next.changedAt = last.changedAt
		case last != nil || report.Rate > 0:
			next.changedAt = report.ReceivedAt
		}
		if s.rateLimit.newest.CompareAndSwap(last, next) {
			return
		}
	}
}

// RateLimit returns the requests per second that the server takes from all instances
// together, and whether there is such a limit.
func (s *Server) RateLimit() (rate float64, limited bool) {
	report, _ := s.LastRateLimit()
	return report.Rate, report.Rate > 0
}

// LastRateLimit returns the newest report and when the first one with its rate was
// received. Without a report, both are zero. The time is also zero if the server has
// never reported a limit.
func (s *Server) LastRateLimit() (report RateLimitReport, changedAt time.Time) {
	if last := s.rateLimit.newest.Load(); last != nil {
		return last.RateLimitReport, last.changedAt
	}
	return RateLimitReport{}, time.Time{}
}

// UsableSlots returns how many of the given number of slots the server needs at most for
// the request rate to which it limits all instances together: all of them without a limit,
// or while it is unknown how long requests take.
func (s *Server) UsableSlots(slots int) int {
	rate, limited := s.RateLimit()
	hold := s.HoldTime()
	if !limited || hold == 0 {
		return slots
	}
	return min(slots, max(1, int(math.Ceil(rate*hold.Seconds()))))
}

// RateLimitChange is the beginning, a change or the end of a server's limit.
type RateLimitChange struct {
	Server    *Server
	From      float64 // requests per second; 0: no limit
	Report    RateLimitReport
	ChangedAt time.Time // when the first report with the new rate was received
}

// RateLimitChanges calls report for each server whose limit differs from the one at the
// previous call.
func (r *Registry) RateLimitChanges(report func(RateLimitChange)) {
	for _, server := range r.All() {
		last, changedAt := server.LastRateLimit()
		from := math.Float64frombits(server.rateLimit.reported.Swap(math.Float64bits(last.Rate)))
		if from != last.Rate {
			report(RateLimitChange{Server: server, From: from, Report: last, ChangedAt: changedAt})
		}
	}
}
