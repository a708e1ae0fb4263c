package routing

import (
	"math"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// SharedLimits limits the request rate of servers whose limit holds for all instances
// together: those with cold caches, and those that name a limit in their responses. Each
// instance enforces its share of the limit, and the shares must add up to 1 at most,
// whatever the instances know of each other.
type SharedLimits struct {
	// Share returns this instance's share of the limit of a server.
	Share func(server *backend.Server) LimitShare
	// Shares is the number of shares into which the limit of a server is divided.
	Shares int
	// ListAge returns the age of the list of servers, which tells which of them are cold. Nil
	// if it is unknown.
	ListAge func() time.Duration
	// ListCurrent reports whether a server that has become cold is in the list of servers as
	// such. Nil means always.
	ListCurrent func() bool
}

// LimitShare is an instance's share of a limit that holds for all instances together.
type LimitShare struct {
	Count int       // how many of the shares the instance has
	Since time.Time // when it got the last of them
}

// reservedShares are not given to anyone where a server does not survive more than its
// limit. They cover a former holder of a share that still sends while its successor begins.
const reservedShares = 1

// Limited reports whether the request rate of a server is limited for all instances
// together. service may be nil.
func Limited(now time.Time, service *catalog.Service, server *backend.Server) bool {
	_, named := server.RateLimit()
	return named || warmsUp(now, service, server)
}

// warmsUp reports whether the warm-up limit of a service applies to a server.
func warmsUp(now time.Time, service *catalog.Service, server *backend.Server) bool {
	return service != nil && service.Warmup.Rate > 0 && server.Cold(now)
}

// MayBeCold reports whether a server of a service with a warm-up limit may have become cold
// unnoticed, because the list of servers is out of date. A service whose servers cannot be
// asked counts as warm.
func (l *SharedLimits) MayBeCold(now time.Time, service *catalog.Service, server *backend.Server) bool {
	if l == nil || l.ListCurrent == nil || service == nil {
		return false
	}
	return service.Warmup.Rate > 0 && service.HealthPath != "" && !server.Cold(now) && !l.ListCurrent()
}

// Keep implements Filter.
func (l *SharedLimits) Keep(now time.Time, req *Request, server *backend.Server) bool {
	if l != nil && (req.Unchecked[server.ID] || server.Unchecked(now)) && l.MayBeCold(now, req.Service, server) {
		return false
	}
	limit, limited := l.localLimit(now, req, server)
	return !limited || limit.Burst >= 1 && server.LimitAllows(now, limit)
}

// Take consumes one request of a server's limit. It reports false if the limit is
// exhausted, for example by a concurrent request that passed Keep as well.
func (l *SharedLimits) Take(now time.Time, req *Request, server *backend.Server) bool {
	limit, limited := l.localLimit(now, req, server)
	return !limited || limit.Burst >= 1 && server.ReserveLimit(now, limit)
}

// listAge returns the age of the list of servers, 0 if it is unknown.
func (l *SharedLimits) listAge() time.Duration {
	if l == nil || l.ListAge == nil {
		return 0
	}
	return l.ListAge()
}

// localLimit returns this instance's share of a server's limit, the lowest one if several
// apply. limited is false if none does. Requests without a service only ask which servers
// are in use; no limit applies to them.
func (l *SharedLimits) localLimit(now time.Time, req *Request, server *backend.Server) (limit backend.RequestLimit, limited bool) {
	if l == nil || req.Service == nil || !Limited(now, req.Service, server) {
		return limit, false
	}
	share := l.Share(server)
	if share.Count == 0 {
		server.ForbidLimit()
		return limit, true
	}
	limit = backend.RequestLimit{Rate: math.Inf(1), Burst: math.Inf(1), Since: share.Since}
	if warmsUp(now, req.Service, server) {
		// Of several shares only one is used, so that the reserve covers a former holder
		// of all of them as well.
		fraction := 1 / float64(l.Shares+reservedShares)
		limit.Rate, limit.Burst = req.Service.Warmup.Rate*fraction, req.Service.Warmup.Burst*fraction
	}
	if rate, named := server.RateLimit(); named {
		limit.Rate = min(limit.Rate, rate*float64(share.Count)/float64(l.Shares))
		limit.Burst = min(limit.Burst, float64(share.Count))
	}
	return limit, true
}
