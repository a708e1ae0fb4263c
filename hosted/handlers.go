package hosted

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	// spillEnterDelay is how long the target must be missed before requests
	// spill: longer than the noise of a single estimate, and well below the
	// latency targets.
	spillEnterDelay = 50 * time.Millisecond
	spillExitDelay  = time.Second
	// spillTargetFraction is the fraction of the remaining target that the local
	// cost must exceed before another region is considered. It leaves most of the
	// target for estimation errors and for the response itself.
	spillTargetFraction = 0.15
	// spillEndFraction is the fraction of the time until its deadline that a stream may be
	// expected to take before another region is considered. Callers' estimates of the
	// length are often too low by a half or more.
	spillEndFraction = 0.5
	// rampStartRate is the number of requests per second that may be sent to a
	// region that has just become reachable again: about the capacity of one
	// backend server with cold caches.
	rampStartRate = 20
	// sampleSize covers all backend servers of a service in most regions.
	sampleSize = 16
	// interferenceWeight is the fraction of a server's running requests that a
	// prompt delays so much that their callers notice.
	interferenceWeight = 0.4
	// maxWaitFraction is the fraction of its target that a prompt may wait for
	// others. The rest is left for the prompt itself and for network latency.
	maxWaitFraction = 0.7
	// expectedReuses is the number of later prompts expected to use a cached
	// prefix: one, as caches keep a prefix for seconds only.
	expectedReuses = 1
	// recomputeWeight is the additional cost of computing a cached token again,
	// relative to its prefill time, for the requests that wait behind the prompt.
	recomputeWeight = 1
)

type handlers struct{ callers, peers, ready, directory http.Handler }

func (i *Instance) newHandlers() *handlers {
	callerProtocol := platform.CallerProtocol{}
	dispatcher := &dispatch.Dispatcher{
		Instance: i.settings.Instance, Region: i.settings.Region, Router: i.router, Peers: regionPeers{i},
		Transport: i.transport, PeerScheme: "http", Observer: i.observer, Protocol: platform.ServerProtocol{}, Passthrough: true, PromisesNotRun: callerProtocol.PromisesNotRun,
		Retry: i.retry, Ejector: i.ejector, Memory: i.guard, Parts: i.parts, RefuseAttempt: i.refuseWhileDraining,
		CheckServer: i.serverChecker.check,
		StreamBegan: i.origins.streamBegan, OnlyVersion: i.onlyVersion,
	}
	callers := &gateway.Handler{Chain: i.callerChain(callerProtocol, dispatcher), Observer: i.observer, Codec: callerProtocol, AbortOnError: true}
	forwarded := &gateway.Handler{Chain: i.peerChain(callerProtocol, dispatcher), Observer: i.observer, Codec: gateway.ForwardedCodec{}, Acknowledge: true, AbortOnError: true}
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPattern, i.serveReady)
	directory := http.NewServeMux()
	directory.HandleFunc(platform.DirectoryPattern, i.serveDirectory)
	return &handlers{
		callers: i.countNoticedRequests(i.closeConnections(callers)), peers: i.closeConnections(i.newPeerHandler(i.countNoticedRequests(forwarded))), ready: ready, directory: directory,
	}
}

// callerChain returns the filter chain for requests of callers.
func (i *Instance) callerChain(callerProtocol platform.CallerProtocol, dispatcher *dispatch.Dispatcher) filters.Handler {
	return filters.Chain(
		dispatcher.Handle,
		i.overloadFilter(),
		filters.SpreadReturn{},
		filters.Ready{Table: i.table},
		filters.Match{Reader: callerProtocol},
		i.organizationFilter(),
		i.resumeFilter(i.hasVersion),
		countRoute{i.usage},
		filters.Quota{Limiter: i.quotas, Observer: i.quotaObserver},
		filters.ReadBody{MaxBytes: maxBodyBytes, Opaque: true},
		filters.RefuseParts{Known: i.partsKnown, Refuse: dispatcher.RefusePart},
		drainFilter{i},
		i.admitFilter(),
	)
}

// peerChain returns the filter chain for requests that other instances forward.
func (i *Instance) peerChain(callerProtocol platform.CallerProtocol, dispatcher *dispatch.Dispatcher) filters.Handler {
	organization := i.organizationFilter()
	return filters.Chain(
		dispatcher.Handle,
		i.overloadFilter(),
		filters.Ready{Table: i.table},
		filters.AcceptHop{Instance: i.settings.Instance, Region: i.settings.Region, Organization: &organization},
		filters.Describe{Reader: callerProtocol},
		i.resumeFilter(i.hasLocalVersion),
		filters.ReadBody{MaxBytes: maxBodyBytes, Opaque: true},
		filters.RefuseParts{Known: i.partsKnown, Refuse: dispatcher.RefusePart},
		drainFilter{i},
		i.admitFilter(),
	)
}

func (i *Instance) overloadFilter() filters.Filter {
	return filters.Overload{Guard: i.guard, Observer: i.admission, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout}
}

func (i *Instance) organizationFilter() filters.Organization {
	return filters.Organization{KeyHeader: platform.KeyHeader, NameHeader: platform.TenantHeader, Observer: i.admission}
}

func (i *Instance) admitFilter() filters.Filter {
	return filters.Admit{Queue: i.queue, CanServeLocally: i.canServeLocally, CanSpill: i.canSpill, StreamTime: i.streamTime, Observer: i.admission}
}

// resumeFilter returns the filter of requests for the rest of a stream. hasServer reports
// whether a server that this instance may send them to has a version.
func (i *Instance) resumeFilter(hasServer func(service string, version origin.Version) bool) filters.Filter {
	return filters.Resume{
		FindLocal: i.origins.findLocal, Find: i.origins.find, Possible: i.versions.possible, ListCurrent: i.serverChecker.listCurrent,
		HasServer: hasServer, Observer: i.admission,
	}
}

// onlyVersion returns the version of a service that no other one can have, or 0.
func (i *Instance) onlyVersion(service string) origin.Version {
	if possible := i.versions.possible(service); len(possible) == 1 {
		return possible[0]
	}
	return 0
}

// hasVersion reports whether a server of any region has a version of a service.
func (i *Instance) hasVersion(service string, version origin.Version) bool {
	return i.hasLocalVersion(service, version) || slices.ContainsFunc((regionPeers{i}).Reachable(), func(region string) bool {
		return i.router.Remote.HasVersion(region, service, version)
	})
}

// hasLocalVersion reports whether a server of this region has a version of a service.
func (i *Instance) hasLocalVersion(service string, version origin.Version) bool {
	return slices.ContainsFunc(i.registry.Servers(service), func(s *backend.Server) bool {
		return s.Origin() == version && s.Accepts()
	})
}

func (i *Instance) canSpill(x *filters.Exchange) bool {
	return i.router.CanSpill(dispatch.RoutingRequest(x))
}

func (i *Instance) streamTime(x *filters.Exchange) time.Duration {
	return i.registry.ExpectedStreamTime(time.Now(), x.Service.Name, x.OutputTokensHint)
}

// canServeLocally reports whether a backend server of this region may run the request.
func (i *Instance) canServeLocally(x *filters.Exchange) bool {
	if !x.Work.MayRunIn(i.settings.Region) {
		return false
	}
	if x.Version != 0 && !i.hasLocalVersion(x.Service.Name, x.Version) {
		return false
	}
	return i.registry.MayReceive(x.Service.Name, time.Now())
}

// closeConnections closes the connection after each response that starts while the
// instance drains, so that no request is sent on it when the server closes it, and
// always after a request with a chunked body. If such a request also had a
// Content-Length, which net/http does not report, the bytes after the body may have
// been meant as a part of it (request smuggling).
func (i *Instance) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, draining: &i.draining}, r)
	})
}

// closingWriter adds "Connection: close" to a response that starts while the
// instance drains.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	started  bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.start()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

func (w *closingWriter) start() {
	if !w.started && w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.started = true
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) newRouter() *routing.Router {
	i.ejector = &routing.Ejector{Registry: i.registry}
	return &routing.Router{
		Region: i.settings.Region, Registry: i.registry, Regions: regionPeers{i},
		Filters:         []routing.Filter{routing.AcceptingFilter{}, routing.WeightsFilter{}, routing.VersionFilter{}, routing.PauseFilter{}},
		Health:          []routing.Filter{routing.HealthyFilter{}, routing.UntriedFilter{}, settledVersions{i.versions}},
		Limits:          &routing.SharedLimits{Share: i.serverLeases.share, Shares: serverShares, ListAge: i.mirror.Age, ListCurrent: i.serverChecker.listCurrent},
		Scorer:          routing.FirstTokenScorer{Zone: i.settings.Zone, ByRank: true},
		Prefix:          routing.NewPrefixIndex(0),
		Remote:          routing.NewRemoteCaches(),
		Waiting:         i.waitingRequests,
		RecomputeWeight: recomputeWeight, ExpectedReuses: expectedReuses, InterferenceWeight: interferenceWeight, MaxWaitFraction: maxWaitFraction,
		SampleSize: sampleSize,
		Spill: &routing.Spiller{
			Summaries: i.summaries, Share: i.share, SpillOverdue: true, CountFreedSlots: true, TargetFraction: spillTargetFraction, EndFraction: spillEndFraction, EnterAfter: spillEnterDelay, ExitAfter: spillExitDelay, RampStart: rampStartRate,
		},
	}
}
