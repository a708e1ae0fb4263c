package backend

import (
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// serviceSampleWeight is the weight of a new sample in the prefill rate of a service. It
// is lower than that of a server, as the samples come from all servers.
const serviceSampleWeight = 0.1

// rateEstimate is the estimate of a prefill rate in tokens per second. It is safe for
// concurrent use; its zero value has no samples.
type rateEstimate struct {
	average average
	at      monotonic.Atomic // last update
	// exact is true if the average is that of prompts whose number of uncached tokens
	// was known exactly.
	exact atomic.Bool
}

// add adds a sample. exact reports whether its number of computed tokens was certain.
// Samples of prompts that another instance may have sent before are used only until
// there is an exact one: if the server had such a prompt cached, the measured rate is
// several times too high.
func (e *rateEstimate) add(now time.Time, sample, weight float64, exact bool) {
	stale := e.at.Load().Since(now) > maxSampleAge
	if !exact && e.exact.Load() && !stale {
		return
	}
	if stale || exact != e.exact.Load() {
		e.average.bits.Store(0)
	}
	e.exact.Store(exact)
	e.average.addWeighted(sample, weight)
	e.at.Store(monotonic.Of(now))
}

// addPrefillSample adds a sample of the server's prefill rate, in tokens per second, to
// the estimates of the server and of its service.
func (s *Server) addPrefillSample(now time.Time, sample float64, exact bool) {
	s.prefillRate.add(now, sample, newSampleWeight, exact)
	if s.service != nil {
		s.service.prefillRate.add(now, sample, serviceSampleWeight, exact)
	}
}

// PrefillRate returns the prefill rate in tokens per second as estimated from the
// server's own samples, or 0 if there is none.
func (s *Server) PrefillRate() float64 { return s.prefillRate.average.value() }

// PrefillRateAge returns the time since the last sample of the prefill rate. It is
// the longest duration before the first one.
func (s *Server) PrefillRateAge(now time.Time) time.Duration {
	return s.prefillRate.at.Load().Since(now)
}

// ExpectedPrefillRate returns the prefill rate to expect of the server, in tokens per
// second, or 0 if nothing is known of its service. A server without samples, or only
// with ones older than maxAge, counts as one like the others of its service: where many
// instances share many servers, each sends to a single one every many seconds only.
func (s *Server) ExpectedPrefillRate(now time.Time, maxAge time.Duration) float64 {
	if own := s.PrefillRate(); own > 0 && s.PrefillRateAge(now) <= maxAge {
		return own
	}
	if s.service == nil {
		return 0
	}
	return s.service.prefillRate.average.value()
}
