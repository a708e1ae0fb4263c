package backend

import (
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// Health holds the outlier detection state of a server: consecutive failures,
// latency and ejection. Its methods are safe for concurrent use.
type Health struct {
	consecutiveFailures  atomic.Int32
	latencySamples       atomic.Int64
	latency              average          // time to first token in seconds, scaled to an empty prompt
	probeAt              monotonic.Atomic // when the next probe is due; 0 if not ejected
	consecutiveEjections atomic.Int32
	restoredAt           monotonic.Atomic // when the last ejection ended
}

// latencyScaleTokens is the prompt length at which the expected time to first
// token is twice that of an empty prompt. It weighs the fixed part of the
// latency against prefill when latencies are scaled to an empty prompt.
const latencyScaleTokens = 512

// addLatency adds the time to first token, in seconds, of a prompt with the given
// number of tokens.
func (h *Health) addLatency(elapsed float64, tokens int) {
	h.latencySamples.Add(1)
	h.latency.add(elapsed * latencyScaleTokens / float64(tokens+latencyScaleTokens))
}

// RecordFailure records a failure and returns the number of consecutive
// failures.
func (h *Health) RecordFailure() int { return int(h.consecutiveFailures.Add(1)) }

// ConsecutiveFailures returns the number of consecutive failures.
func (h *Health) ConsecutiveFailures() int { return int(h.consecutiveFailures.Load()) }

// RecordSuccess records a success, which resets the number of consecutive
// failures.
func (h *Health) RecordSuccess() { h.consecutiveFailures.Store(0) }

// Latency returns the average time to first token, scaled to an empty prompt,
// and the number of samples since the last Restore.
func (h *Health) Latency() (time.Duration, int) {
	return seconds(h.latency.value()), int(h.latencySamples.Load())
}

// Ejected reports whether the server is ejected.
func (h *Health) Ejected() bool { return h.probeAt.Load() != 0 }

// ProbeDue reports whether the server is ejected and its next probe is due.
func (h *Health) ProbeDue(now time.Time) bool {
	at := h.probeAt.Load()
	return at != 0 && monotonic.Of(now) >= at
}

// Eject ejects the server until Restore is called. The first probe is due at
// probeAt.
func (h *Health) Eject(probeAt time.Time) { h.probeAt.Store(monotonic.Of(probeAt)) }

// RecordEjection records an ejection and returns the number of consecutive
// ejections.
func (h *Health) RecordEjection() int { return int(h.consecutiveEjections.Add(1)) }

// ConsecutiveEjections returns the number of consecutive ejections.
func (h *Health) ConsecutiveEjections() int { return int(h.consecutiveEjections.Load()) }

// ReserveProbe reserves the probe that is due and reports whether it did. It
// returns false if no probe is due or another request has reserved it. If the
// result of the probe is never reported, the next probe is due at retryAt.
func (h *Health) ReserveProbe(now, retryAt time.Time) bool {
	at := h.probeAt.Load()
	return at != 0 && monotonic.Of(now) >= at && h.probeAt.CompareAndSwap(at, monotonic.Of(retryAt))
}

// Restore ends the ejection. It resets the failures and the average latency,
// which was measured before the fault ended.
func (h *Health) Restore(now time.Time) {
	h.consecutiveFailures.Store(0)
	h.latencySamples.Store(0)
	h.latency.bits.Store(0)
	h.restoredAt.Store(monotonic.Of(now))
	h.probeAt.Store(0)
}

// ExpireEjectionCount resets the number of consecutive ejections if the server is not ejected
// and its last ejection ended more than minAge ago.
func (h *Health) ExpireEjectionCount(now time.Time, minAge time.Duration) {
	if h.consecutiveEjections.Load() > 0 && !h.Ejected() && h.restoredAt.Load().Since(now) > minAge {
		h.consecutiveEjections.Store(0)
	}
}
