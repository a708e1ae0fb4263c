package backend

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

const (
	// minRateSampleTokens is the shortest prompt from which the prefill rate is
	// estimated. For shorter prompts, the fixed latency of a request dominates
	// the time to first token.
	minRateSampleTokens = 1024
	// maxBaseSampleTokens is the longest prompt from which the base latency is
	// estimated.
	maxBaseSampleTokens = 512
	// minBaseSamples is the number of samples required before the base latency
	// counts as known. The first request to a server may include opening a
	// connection and starting the server's process; an estimate from that
	// request alone would keep all further requests away from the server.
	minBaseSamples = 4
	// minPrefillFraction is the minimum fraction of the time to first token that
	// is attributed to prefill, even if the estimated base latency leaves less.
	minPrefillFraction = 0.3
)

// Job describes the prefill work that a request is expected to cause on a server.
type Job struct {
	Rank           catalog.Rank
	UncachedTokens int // estimated prompt tokens that are not in the server's cache
	// UncachedExact is true if UncachedTokens is exact: the server's cache cannot hold
	// any of these tokens.
	UncachedExact bool
	// Target is the time in which the response, or its first token, is due, and MaxGap the
	// longest permitted interval between events; 0: none.
	Target, MaxGap time.Duration
}

// Attempt is one request in flight on a server. It is not safe for concurrent
// use.
type Attempt struct {
	Job
	server         *Server
	startedAt      time.Time
	slowdown       Slowdown // last one reported before the start
	uncontended    bool     // at the start, no prefill was pending on the server and a slot was free
	firstTokenSeen bool     // the first token has been received
	ended          bool
	lastEvent      time.Time // of a stream; zero before the first one

	// The longest wait for more of the response, of the sample that began at waitsSince.
	waitsSince, longestBegan, longestEnd time.Time
}

// StartAttempt records a new request in flight on the server. The caller must
// call End when the request has ended.
func (s *Server) StartAttempt(now time.Time, job Job) *Attempt {
	load := s.Load()
	occupied := s.Occupied()
	a := &Attempt{
		server: s, startedAt: now, slowdown: s.LastSlowdown().Slowdown, Job: job,
		uncontended: s.PendingPrefill(catalog.Batch) == 0 && (occupied == 0 || occupied < load.Slots),
	}
	s.inFlight.Add(1)
	s.localPrefill[job.Rank].Add(int64(job.UncachedTokens))
	return a
}

// FirstToken records that the first token of the response was received, and adds
// the time to first token to the server's health. If the request did not have to
// queue, the time also updates the estimate of the prefill rate (long prompts) or
// of the base latency (short prompts). A time under a slowdown is converted to the
// usual one. If the slowdown changed meanwhile, the time updates no estimate, as it is
// not known how much of it was slow.
func (a *Attempt) FirstToken(now time.Time) {
	if a.firstTokenSeen || a.ended {
		return
	}
	a.firstTokenSeen = true
	a.server.localPrefill[a.Rank].Add(-int64(a.UncachedTokens))
	slowdown, steady := steadySlowdown(a.slowdown, a.server.LastSlowdown().Slowdown)
	if !steady {
		return
	}
	elapsed := now.Sub(a.startedAt).Seconds() / float64(slowdown)
	a.server.health.addLatency(elapsed, a.UncachedTokens)
	if elapsed <= 0 || !a.uncontended {
		return
	}
	switch {
	case a.UncachedTokens >= minRateSampleTokens:
		prefill := max(elapsed-a.server.baseLatency.value(), elapsed*minPrefillFraction)
		a.server.addPrefillSample(now, float64(a.UncachedTokens)/prefill, a.UncachedExact)
	case a.UncachedTokens <= maxBaseSampleTokens:
		a.server.updateBaseLatency(now, elapsed, a.UncachedTokens)
	}
}

// End records that the request is no longer in flight. served reports whether
// the response was received completely; only such requests update the estimate
// of the time that a request holds a slot.
func (a *Attempt) End(now time.Time, served bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.inFlight.Add(-1)
	if !a.firstTokenSeen {
		a.server.localPrefill[a.Rank].Add(-int64(a.UncachedTokens))
	}
	if elapsed := now.Sub(a.startedAt).Seconds(); served && elapsed > 0 {
		a.server.slotHold.add(elapsed)
	}
}

// maxSampleAge is the age beyond which an estimate is replaced by the next
// sample instead of averaged with it.
const maxSampleAge = 30 * time.Second

// updateBaseLatency updates the base latency from the time to first token of a
// short prompt, in seconds, less the estimated prefill time. While the prefill
// rate is unknown, the prefill time is included. The lowest of the first
// minBaseSamples samples is used; later samples are averaged.
func (s *Server) updateBaseLatency(now time.Time, elapsed float64, tokens int) {
	if rate := s.PrefillRate(); rate > 0 {
		elapsed -= float64(tokens) / rate
	}
	if elapsed <= 0 {
		return
	}
	if s.BaseLatencyAge(now) > maxSampleAge {
		s.baseLatency.bits.Store(0)
		s.baseLatencySamples.Store(0)
	}
	if s.baseLatencySamples.Add(1) <= minBaseSamples {
		s.baseLatency.lowerTo(elapsed)
	} else {
		s.baseLatency.add(elapsed)
	}
	s.baseLatencyAt.Store(monotonic.Of(now))
}
