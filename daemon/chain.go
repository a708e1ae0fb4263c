package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// Limits of the connections to backend servers and other instances, and the
// Retry-After of requests that are refused while the instance drains.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 256
	drainRetryAfter     = time.Second
)

// callerChain returns the filter chain for requests from callers.
func (d *Daemon) callerChain(last filters.Handler) filters.Handler {
	home := filters.Home{Region: d.settings.Region, InstanceURL: d.peers.URL}
	return filters.Chain(
		last,
		d.overloadFilter(),
		filters.RejectHops{},
		filters.Ready{Table: d.table},
		filters.Authenticate{},
		filters.API{},
		filters.Resolve{},
		home,
		drainFilter{d},
		filters.ReadBody{MaxBytes: d.settings.MaxBodyBytes},
		home,
		d.shedFilter(),
		d.limitFilter(),
		d.admitFilter(),
		d.claimFilter(),
	)
}

// peerChain returns the filter chain for requests forwarded by other instances.
func (d *Daemon) peerChain(last filters.Handler) filters.Handler {
	return filters.Chain(
		last,
		d.overloadFilter(),
		filters.Ready{Table: d.table},
		filters.AcceptHop{Instance: d.settings.Instance, Region: d.settings.Region, Sender: d.peering.hopSenderFunc()},
		filters.Home{Region: d.settings.Region, InstanceURL: d.peers.URL},
		drainFilter{d},
		filters.ReadBody{MaxBytes: d.settings.MaxBodyBytes},
		d.shedFilter(),
		d.admitFilter(),
	)
}

// drainFilter refuses new requests while the instance drains. The refusal's
// Location is the URL of another instance of the region.
type drainFilter struct{ daemon *Daemon }

// Name implements filters.Filter.
func (drainFilter) Name() string { return "drain" }

// Handle implements filters.Filter.
func (f drainFilter) Handle(x *filters.Exchange, next filters.Handler) *outcome.Error {
	d := f.daemon
	if !d.draining.Load() {
		return next(x)
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "this instance is shutting down").WithRetryAfter(drainRetryAfter)
	refusal.Location = d.peers.URL(d.settings.Region)
	return refusal
}

func (d *Daemon) newTransport() *http.Transport {
	dial := dispatch.GuardDial((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return &http.Transport{
		DialContext:         dial,
		DialTLSContext:      d.peering.dialTLS(peer.DialFunc(dial), d.peers.identityAt),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dispatch.MaxResponseHeaderBytes,
	}
}
