package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Defaults of an Ejector.
const (
	defaultFailures           = 3                      // consecutive failures
	defaultSlowFactor         = 3.0                    // multiple of the median time to first token
	defaultMaxEjectedFraction = 0.3                    // fraction of the servers of a service
	defaultProbeAfter         = 2 * time.Second        // first backoff
	maxProbeBackoff           = 2 * time.Minute        // longest backoff
	backoffResetAfter         = 5 * time.Minute        // time in use until the backoff starts from its first value
	minLatencySamples         = 8                      // samples before a server can be an outlier
	minSlowExcess             = 250 * time.Millisecond // a server this close to the median is not an outlier
	minMedianServers          = 3                      // the median of fewer servers is not meaningful
)

// Ejector takes failing and slow servers out of use and restores them after a
// successful probe. Ejections for failures and slowness are limited to a fraction
// of a service's servers, so that a fault common to all of them does not make the
// whole service unavailable. Unreachable servers are not subject to the limit.
// Ejector is safe for concurrent use. Zero fields stand for defaults.
type Ejector struct {
	Registry           *backend.Registry
	Failures           int           // consecutive failures that eject a server
	SlowFactor         float64       // multiple of the median time to first token that ejects a server
	MaxEjectedFraction float64       // largest fraction of a service's servers that may be ejected, 0..1
	ProbeAfter         time.Duration // time to the first probe; doubles with each consecutive ejection
	Random             Random        // for the jitter of probe times; nil for the global generator of math/rand/v2

	mu sync.Mutex // serializes ejections, which depend on the number of ejected servers
}

// Ejection describes the ejection or the restoration of a server.
type Ejection struct {
	Server   *backend.Server
	Restored bool          // the server was restored, not ejected
	Cause    EjectionCause // empty if the server was restored
	ProbeAt  time.Time     // next probe; zero if the server was restored
}

// EjectionCause is the reason for an ejection.
type EjectionCause string

// The causes of ejections.
const (
	CauseFailures EjectionCause = "consecutive_failures"
	CauseSlow     EjectionCause = "slow"
	CauseProbe    EjectionCause = "probe_failed"

	CauseUnreachable EjectionCause = "unreachable"
)

// Failed records an attempt that failed because of the server. probe states that
// the attempt was sent as a probe of an ejected server. Other attempts that fail
// while the server is ejected were started earlier and are ignored. Failed returns
// the resulting ejection, if any.
func (e *Ejector) Failed(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	failures := health.RecordFailure()
	e.mu.Lock()
	defer e.mu.Unlock()
	if health.Ejected() && !probe {
		return Ejection{}, false
	}
	if health.Ejected() {
		return e.eject(now, server, CauseProbe), true
	}
	// A recently ejected server is ejected again by its first failure.
	if failures < e.failures() && health.ConsecutiveEjections() == 0 || !e.canEject(server.Service) {
		return Ejection{}, false
	}
	return e.eject(now, server, CauseFailures), true
}

// Unreachable records a failed connection to a server. The server is ejected at
// once, regardless of MaxEjectedFraction: an unreachable server adds no capacity,
// and each request that tries it loses time.
func (e *Ejector) Unreachable(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	health.RecordFailure()
	e.mu.Lock()
	defer e.mu.Unlock()
	if health.Ejected() && !probe {
		return Ejection{}, false
	}
	return e.eject(now, server, CauseUnreachable), true
}

// Succeeded records an attempt that received a response. The success of a probe
// ends the ejection; that of an attempt started before the ejection does not.
func (e *Ejector) Succeeded(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	health.RecordSuccess()
	if !probe || !health.Ejected() {
		return Ejection{}, false
	}
	health.Restore(now)
	return Ejection{Server: server, Restored: true}, true
}

// Evaluate ejects the servers of a service whose time to first token is far above
// the median, and resets the backoff of servers that have been in use long enough.
// It must be called periodically, about once a second.
func (e *Ejector) Evaluate(now time.Time, service string) []Ejection {
	for _, server := range e.Registry.Servers(service) {
		server.Health().ExpireEjectionCount(now, backoffResetAfter)
	}
	outliers := e.outliers(service)
	if len(outliers) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var ejections []Ejection
	for _, server := range outliers {
		if server.Health().Ejected() || !e.canEject(service) {
			continue
		}
		ejections = append(ejections, e.eject(now, server, CauseSlow))
	}
	return ejections
}

// outliers returns the servers of a service that are much slower than the median,
// the slowest first.
func (e *Ejector) outliers(service string) []*backend.Server {
	type measured struct {
		server  *backend.Server
		latency time.Duration
	}
	var all []measured
	for _, server := range e.Registry.Servers(service) {
		latency, samples := server.Health().Latency()
		if samples >= minLatencySamples && !server.Health().Ejected() {
			all = append(all, measured{server, latency})
		}
	}
	if len(all) < minMedianServers {
		return nil
	}
	slices.SortFunc(all, func(a, b measured) int { return cmp.Compare(b.latency, a.latency) })
	median := all[len(all)/2].latency
	limit := max(time.Duration(float64(median)*e.slowFactor()), median+minSlowExcess)
	var outliers []*backend.Server
	for _, m := range all {
		if m.latency > limit {
			outliers = append(outliers, m.server)
		}
	}
	return outliers
}

// canEject reports whether one more server of the service may be ejected. The
// caller must hold e.mu.
func (e *Ejector) canEject(service string) bool {
	servers := e.Registry.Servers(service)
	ejected := 0
	for _, server := range servers {
		if server.Health().Ejected() {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, e.maxEjectedFraction()*float64(len(servers))) && len(servers) > 1
}

// eject takes a server out of use until its next probe succeeds. The caller must
// hold e.mu.
func (e *Ejector) eject(now time.Time, server *backend.Server, cause EjectionCause) Ejection {
	health := server.Health()
	ejections := health.RecordEjection()
	backoff := e.probeAfter()
	for range ejections - 1 {
		backoff = min(2*backoff, maxProbeBackoff)
	}
	probeAt := now.Add(e.jitter(backoff))
	health.Eject(probeAt)
	return Ejection{Server: server, Cause: cause, ProbeAt: probeAt}
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that the instances
// of a region do not probe a server at the same time.
func (e *Ejector) jitter(d time.Duration) time.Duration {
	random := e.Random
	if random == nil {
		random = sharedRandom{}
	}
	return d*3/4 + time.Duration(randomIndex(random, 1000))*d/2000
}

func (e *Ejector) failures() int {
	if e.Failures <= 0 {
		return defaultFailures
	}
	return e.Failures
}

func (e *Ejector) slowFactor() float64 {
	if e.SlowFactor <= 0 {
		return defaultSlowFactor
	}
	return e.SlowFactor
}

func (e *Ejector) maxEjectedFraction() float64 {
	if e.MaxEjectedFraction <= 0 {
		return defaultMaxEjectedFraction
	}
	return e.MaxEjectedFraction
}

func (e *Ejector) probeAfter() time.Duration {
	if e.ProbeAfter <= 0 {
		return defaultProbeAfter
	}
	return e.ProbeAfter
}
