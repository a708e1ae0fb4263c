package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Warmup limits the request rate of servers with cold caches. The limit of a server
// applies to all instances together: only a few instances use a cold server, and
// each of them enforces its share of the limit.
type Warmup struct {
	// Instances returns the number of instances that may use a cold server, and
	// whether this instance is one of them.
	Instances func(server *backend.Server) (count int, self bool)
}

// Keep implements Filter.
func (w Warmup) Keep(now time.Time, req *Request, server *backend.Server) bool {
	rate, burst, limited := w.localLimit(now, req, server)
	return !limited || burst >= 1 && server.WarmupAllows(now, rate, burst)
}

// Take consumes one request of a cold server's limit. It reports false if the limit
// is exhausted, for example by a concurrent request that passed Keep as well.
func (w Warmup) Take(now time.Time, req *Request, server *backend.Server) bool {
	rate, burst, limited := w.localLimit(now, req, server)
	return !limited || burst >= 1 && server.ReserveWarmup(now, rate, burst)
}

// localLimit returns this instance's share of a cold server's request rate and
// burst. limited is false if no limit applies.
func (w Warmup) localLimit(now time.Time, req *Request, server *backend.Server) (rate, burst float64, limited bool) {
	if req.Service == nil || req.Service.Warmup.Rate <= 0 || !server.Cold(now) {
		return 0, 0, false
	}
	count, self := w.Instances(server)
	if !self || count == 0 {
		return 0, 0, true
	}
	// The limit is divided into one share more than there are instances, because
	// partitioned instances may select a different instance for the server.
	shares := float64(count + 1)
	limit := req.Service.Warmup
	return limit.Rate / shares, limit.Burst / shares, true
}
