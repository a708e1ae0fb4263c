package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Warmup limits the request rate of servers with cold caches. The limit of a server
// applies to all instances together: each of them enforces its share of the limit, and
// the shares must add up to 1 at most, whatever the instances know of each other.
type Warmup struct {
	// Share returns this instance's share of the limit of a cold server.
	Share func(server *backend.Server) LimitShare
}

// LimitShare is an instance's share of a limit that applies to all instances together.
type LimitShare struct {
	Fraction float64   // 0 for none
	Since    time.Time // when the instance got it
}

// Keep implements Filter.
func (w Warmup) Keep(now time.Time, req *Request, server *backend.Server) bool {
	limit, limited := w.localLimit(now, req, server)
	return !limited || limit.Burst >= 1 && server.WarmupAllows(now, limit)
}

// Take consumes one request of a cold server's limit. It reports false if the limit
// is exhausted, for example by a concurrent request that passed Keep as well.
func (w Warmup) Take(now time.Time, req *Request, server *backend.Server) bool {
	limit, limited := w.localLimit(now, req, server)
	return !limited || limit.Burst >= 1 && server.ReserveWarmup(now, limit)
}

// limit is like localLimit, and returns no limit if w is nil.
func (w *Warmup) limit(now time.Time, req *Request, server *backend.Server) (limit backend.RequestLimit, limited bool) {
	if w == nil {
		return limit, false
	}
	return w.localLimit(now, req, server)
}

// localLimit returns this instance's share of a cold server's limit. limited is false
// if no limit applies.
func (w Warmup) localLimit(now time.Time, req *Request, server *backend.Server) (limit backend.RequestLimit, limited bool) {
	if req.Service == nil || req.Service.Warmup.Rate <= 0 || !server.Cold(now) {
		return limit, false
	}
	share := w.Share(server)
	if share.Fraction <= 0 {
		server.ForbidWarmup()
		return limit, true
	}
	total := req.Service.Warmup
	return backend.RequestLimit{Rate: total.Rate * share.Fraction, Burst: total.Burst * share.Fraction, Since: share.Since}, true
}
