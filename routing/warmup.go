package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Warmup limits the request rate of servers with cold caches. The limit of a server
// applies to all instances together: only a few instances use a cold server, and
// each of them enforces its share of the limit.
type Warmup struct {
	// Select returns which instances may use a cold server.
	Select func(server *backend.Server) WarmupSelection
}

// WarmupSelection describes the instances that may use a cold server.
type WarmupSelection struct {
	Count int       // number of instances
	Self  bool      // this instance is one of them
	Since time.Time // when the selection last may have changed
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
	selection := w.Select(server)
	if !selection.Self || selection.Count == 0 {
		server.ForbidWarmup()
		return limit, true
	}
	// The limit is divided into one share more than there are instances, because
	// partitioned instances may select a different instance for the server.
	shares := float64(selection.Count + 1)
	total := req.Service.Warmup
	return backend.RequestLimit{Rate: total.Rate / shares, Burst: total.Burst / shares, Since: selection.Since}, true
}
