package backend

import (
	"sync/atomic"
	"time"
)

// Health is what the outlier detection knows of a server. Its methods are
// safe for concurrent use.
type Health struct {
	failures atomic.Int32 // consecutive
	samples  atomic.Int64
	latency  average // seconds to first token, per latencyTokens
	probeAt  atomic.Int64
	strikes  atomic.Int32 // ejections in a row
	restored atomic.Int64 // when the last ejection ended
}

// latencyTokens weighs the fixed part of the time to first token: a prompt of
// this many tokens counts as one unit, an empty one as half.
const latencyTokens = 512

func (h *Health) sample(elapsed float64, tokens int) {
	h.samples.Add(1)
	h.latency.add(elapsed * latencyTokens / float64(tokens+latencyTokens))
}

// Fail counts a failure and returns the number of failures in a row.
func (h *Health) Fail() int { return int(h.failures.Add(1)) }

// Failures returns the number of failures in a row.
func (h *Health) Failures() int { return int(h.failures.Load()) }

// Succeed ends the row of failures.
func (h *Health) Succeed() { h.failures.Store(0) }

// Latency returns the average time to first token, scaled to an empty prompt,
// and the number of samples since the last Restore.
func (h *Health) Latency() (time.Duration, int) {
	return seconds(h.latency.value()), int(h.samples.Load())
}

// Ejected reports whether the server is ejected.
func (h *Health) Ejected() bool { return h.probeAt.Load() != 0 }

// ProbeDue reports whether an ejected server may receive a probe.
func (h *Health) ProbeDue(now time.Time) bool {
	at := h.probeAt.Load()
	return at != 0 && now.UnixNano() >= at
}

// Eject takes the server out of use until a probe at the given time succeeds.
func (h *Health) Eject(probeAt time.Time) { h.probeAt.Store(probeAt.UnixNano()) }

// Strike counts an ejection and returns the number of ejections in a row.
func (h *Health) Strike() int { return int(h.strikes.Add(1)) }

// Strikes returns the number of ejections in a row.
func (h *Health) Strikes() int { return int(h.strikes.Load()) }

// TakeProbe reserves the probe that is due. It reports false if another
// request took it. A probe whose end is not reported is due again at next.
func (h *Health) TakeProbe(now, next time.Time) bool {
	at := h.probeAt.Load()
	return at != 0 && now.UnixNano() >= at && h.probeAt.CompareAndSwap(at, next.UnixNano())
}

// Restore lets the server back in and forgets its latency, which was measured
// before the fault ended.
func (h *Health) Restore(now time.Time) {
	h.failures.Store(0)
	h.samples.Store(0)
	h.latency.bits.Store(0)
	h.restored.Store(now.UnixNano())
	h.probeAt.Store(0)
}

// Forgive forgets past ejections if the last one ended longer than after ago.
func (h *Health) Forgive(now time.Time, after time.Duration) {
	if h.strikes.Load() > 0 && !h.Ejected() && now.UnixNano()-h.restored.Load() > int64(after) {
		h.strikes.Store(0)
	}
}
