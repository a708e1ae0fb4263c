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
	defaultFailures   = 3                      // failures in a row
	defaultSlowFactor = 3.0                    // times the median time to first token
	defaultMaxShare   = 0.3                    // of the servers of a service
	defaultProbeAfter = 2 * time.Second        // first backoff
	maxProbeBackoff   = 2 * time.Minute        // longest backoff
	forgiveAfter      = 5 * time.Minute        // without an ejection until the backoff starts anew
	minLatencySamples = 8                      // answers before a server is called slow
	minSlowExcess     = 250 * time.Millisecond // a server this close to the median is not slow
	minMedianServers  = 3                      // a median of fewer tells nothing
)

// Ejector takes failing and slow servers out of use and lets them back in by
// probes. Ejections of servers that can be reached cover a bounded share of a
// service's servers, so that a fault common to all does not take the whole
// service away. It is safe for concurrent use. Zero fields stand for defaults.
type Ejector struct {
	Registry   *backend.Registry
	Failures   int           // failures in a row that eject a server
	SlowFactor float64       // times the median time to first token that ejects a server
	MaxShare   float64       // largest share of a service's servers ejected, 0..1
	ProbeAfter time.Duration // time to the first probe; doubles with each ejection in a row
	Random     Random        // jitter of the probes

	mu sync.Mutex // serializes ejections, which count the ejected
}

// Ejection describes a server taken out of use or let back in.
type Ejection struct {
	Server  *backend.Server
	Back    bool          // let back in
	Cause   EjectionCause // why it was ejected
	ProbeAt time.Time     // when it is probed next
}

// EjectionCause says why a server was ejected.
type EjectionCause string

// The causes of ejections.
const (
	CauseFailures EjectionCause = "consecutive_failures"
	CauseSlow     EjectionCause = "slow"
	CauseProbe    EjectionCause = "probe_failed"

	CauseUnreachable EjectionCause = "unreachable"
)

// Failed records an attempt that failed by the server's fault. probe tells
// whether the attempt was sent to an ejected server; others that fail after an
// ejection say nothing new. Failed returns the ejection that follows, if any.
func (e *Ejector) Failed(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	failures := health.Fail()
	e.mu.Lock()
	defer e.mu.Unlock()
	if health.Ejected() && !probe {
		return Ejection{}, false
	}
	if health.Ejected() {
		return e.eject(now, server, CauseProbe), true
	}
	// A server that was ejected not long ago is ejected by its first failure.
	if failures < e.failures() && health.Strikes() == 0 || !e.room(server.Service) {
		return Ejection{}, false
	}
	return e.eject(now, server, CauseFailures), true
}

// Unreachable records that a server could not be connected to. It is ejected
// at once and without regard to the share: nothing is lost with a server that
// cannot be reached, and each request that tries it loses time.
func (e *Ejector) Unreachable(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	health.Fail()
	e.mu.Lock()
	defer e.mu.Unlock()
	if health.Ejected() && !probe {
		return Ejection{}, false
	}
	return e.eject(now, server, CauseUnreachable), true
}

// Succeeded records an attempt that was answered. A probe ends the ejection;
// an answer that was on its way when the server was ejected does not.
func (e *Ejector) Succeeded(now time.Time, server *backend.Server, probe bool) (Ejection, bool) {
	health := server.Health()
	health.Succeed()
	if !probe || !health.Ejected() {
		return Ejection{}, false
	}
	health.Restore(now)
	return Ejection{Server: server, Back: true}, true
}

// Evaluate ejects the servers of a service whose time to first token is far
// above the median. It is called about once a second.
func (e *Ejector) Evaluate(now time.Time, service string) []Ejection {
	for _, server := range e.Registry.Of(service) {
		server.Health().Forgive(now, forgiveAfter)
	}
	slow := e.slow(service)
	if len(slow) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var ejections []Ejection
	for _, server := range slow {
		if server.Health().Ejected() || !e.room(service) {
			continue
		}
		ejections = append(ejections, e.eject(now, server, CauseSlow))
	}
	return ejections
}

// slow returns the outliers of a service, the slowest first.
func (e *Ejector) slow(service string) []*backend.Server {
	type measured struct {
		server  *backend.Server
		latency time.Duration
	}
	var all []measured
	for _, server := range e.Registry.Of(service) {
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
	var slow []*backend.Server
	for _, m := range all {
		if m.latency > limit {
			slow = append(slow, m.server)
		}
	}
	return slow
}

// room reports whether one more server of the service may be ejected. e.mu is
// held.
func (e *Ejector) room(service string) bool {
	servers := e.Registry.Of(service)
	ejected := 0
	for _, server := range servers {
		if server.Health().Ejected() {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, e.maxShare()*float64(len(servers))) && len(servers) > 1
}

// eject takes a server out of use until its next probe. e.mu is held.
func (e *Ejector) eject(now time.Time, server *backend.Server, cause EjectionCause) Ejection {
	health := server.Health()
	strikes := health.Strike()
	backoff := e.probeAfter()
	for range strikes - 1 {
		backoff = min(2*backoff, maxProbeBackoff)
	}
	probeAt := now.Add(e.jitter(backoff))
	health.Eject(probeAt)
	return Ejection{Server: server, Cause: cause, ProbeAt: probeAt}
}

// jitter returns a time between 3/4 and 5/4 of d, so that the instances of a
// region do not probe a server all at once.
func (e *Ejector) jitter(d time.Duration) time.Duration {
	random := e.Random
	if random == nil {
		random = sharedRandom{}
	}
	return d*3/4 + time.Duration(index(random, 1000))*d/2000
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

func (e *Ejector) maxShare() float64 {
	if e.MaxShare <= 0 {
		return defaultMaxShare
	}
	return e.MaxShare
}

func (e *Ejector) probeAfter() time.Duration {
	if e.ProbeAfter <= 0 {
		return defaultProbeAfter
	}
	return e.ProbeAfter
}
