package hosted

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	// spillEnter is above the noise of one estimate, and well below the targets.
	spillEnter = 50 * time.Millisecond
	spillLeave = time.Second
	// spillPart leaves most of the target for errors of the estimate and for the
	// answer itself.
	spillPart = 0.15
	// rampStart is the requests a second that a region may be sent right after
	// a heal: about what one backend server with cold caches takes.
	rampStart = 20
	// sampleSize covers all backend servers of a service in most regions.
	sampleSize = 16
	// crowdingWeight is the part of the requests of a server that a prompt
	// holds up in a way that its callers notice.
	crowdingWeight = 0.4
	// maxWait leaves the rest of a target for the prompt itself and the way.
	maxWait = 0.7
	// reuse counts one later prompt: caches keep a part for seconds only.
	reuse = 1
	// rereadWeight stands for the requests that wait behind a prompt.
	rereadWeight = 1
)

type handlers struct{ callers, peers, ready, directory http.Handler }

func (i *Instance) newHandlers() *handlers {
	dispatcher := &dispatch.Dispatcher{
		Instance: i.settings.Instance, Region: i.settings.Region, Router: i.router, Peers: regionPeers{i},
		Transport: i.transport, PeerScheme: "http", Observer: i.observer, Protocol: platform.ServerProtocol{}, Direct: true,
		Retry: i.retry, Ejector: i.ejector, Memory: i.guard,
	}
	front := platform.Front{}
	callers := &gateway.Handler{Chain: i.callerChain(front, dispatcher.Handle), Observer: i.observer, Codec: front, Abort: true}
	forwarded := &gateway.Handler{Chain: i.peerChain(front, dispatcher.Handle), Observer: i.observer, Acknowledge: true, Abort: true}
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, i.answerReady)
	directory := http.NewServeMux()
	directory.HandleFunc(platform.DirectoryPath, i.answerDirectory)
	return &handlers{
		callers: i.closing(callers), peers: i.newPeerHandler(forwarded), ready: ready, directory: directory,
	}
}

// callerChain is the chain of requests that arrive from callers.
func (i *Instance) callerChain(front platform.Front, last filters.Handler) filters.Handler {
	return filters.Chain(
		last,
		i.overloadFilter(),
		filters.Ready{Table: i.table},
		filters.Match{Reader: front},
		filters.ReadBody{MaxBytes: maxBodyBytes, Opaque: true},
		i.admitFilter(),
	)
}

// peerChain is the chain of requests that other instances forward.
func (i *Instance) peerChain(front platform.Front, last filters.Handler) filters.Handler {
	return filters.Chain(
		last,
		i.overloadFilter(),
		filters.Ready{Table: i.table},
		filters.AcceptHop{Instance: i.settings.Instance, Region: i.settings.Region},
		filters.Describe{Reader: front},
		filters.ReadBody{MaxBytes: maxBodyBytes, Opaque: true},
		i.admitFilter(),
	)
}

func (i *Instance) overloadFilter() filters.Filter {
	return filters.Overload{Guard: i.guard, Observer: i.admission, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout}
}

func (i *Instance) admitFilter() filters.Filter {
	return filters.Admit{Queue: i.queue, Serves: i.serves, Elsewhere: i.couldLeave, Observer: i.admission}
}

func (i *Instance) couldLeave(x *filters.Exchange) bool {
	return i.router.CouldLeave(dispatch.RouteRequest(x))
}

// serves reports whether a backend server of this region may run the request.
func (i *Instance) serves(x *filters.Exchange) bool {
	if !x.Work.RunsIn(i.settings.Region) {
		return false
	}
	for _, server := range i.registry.Of(x.Service.Name) {
		if server.Accepts() {
			return true
		}
	}
	return false
}

// closing asks callers to close their connections: all of them while the
// instance drains, and those that sent a body in chunks at any time. What
// follows such a body may be meant as a part of it, if the request also stated
// a length, which the server does not tell.
func (i *Instance) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.draining.Load() || len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (i *Instance) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) newRouter() *routing.Router {
	i.ejector = &routing.Ejector{Registry: i.registry}
	return &routing.Router{
		Region: i.settings.Region, Registry: i.registry, Regions: regionPeers{i},
		Filters: []routing.Filter{routing.AcceptingFilter{}},
		Health:  []routing.Filter{routing.HealthyFilter{}, routing.UntriedFilter{}},
		Warmup:  &routing.Warmup{Instances: i.warmupInstances},
		Scorer:  routing.FirstTokenScorer{Zone: i.settings.Zone, ByRank: true},
		Prefix:  routing.NewPrefixIndex(0),
		Remote:  routing.NewRemoteCaches(),
		Waiting: i.waiting,
		Reread:  rereadWeight, Reuse: reuse, Crowding: crowdingWeight, MaxWait: maxWait,
		Sample: sampleSize,
		Spill: &routing.Spiller{
			Summaries: i.summaries, Share: i.share, Late: true, Turnover: true, Part: spillPart, Enter: spillEnter, Leave: spillLeave, RampStart: rampStart,
		},
	}
}
