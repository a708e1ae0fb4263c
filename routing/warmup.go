package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Warmup bounds what is sent to servers with cold caches. The bound of a
// server holds for all instances together, so that only a few of them use a
// cold server and each keeps to its part.
type Warmup struct {
	// Instances returns the instances that may use a cold server together, and
	// whether this one is among them.
	Instances func(server *backend.Server) (count int, self bool)
}

// Keep implements Filter.
func (w Warmup) Keep(now time.Time, req *Request, server *backend.Server) bool {
	rate, burst, bounded := w.pace(now, req, server)
	return !bounded || burst >= 1 && server.PaceAllows(now, rate, burst)
}

// Take uses one request of the pace of a cold server. It reports false if
// another request was quicker.
func (w Warmup) Take(now time.Time, req *Request, server *backend.Server) bool {
	rate, burst, bounded := w.pace(now, req, server)
	return !bounded || burst >= 1 && server.TakePace(now, rate, burst)
}

// pace returns the part of a cold server's pace that this instance may use.
func (w Warmup) pace(now time.Time, req *Request, server *backend.Server) (rate, burst float64, bounded bool) {
	if req.Service == nil || req.Service.Warmup.Rate <= 0 || !server.Cold(now) {
		return 0, 0, false
	}
	count, self := w.Instances(server)
	if !self || count == 0 {
		return 0, 0, true
	}
	// One more part than there are instances: those that are out of touch may
	// choose another one.
	parts := float64(count + 1)
	bound := req.Service.Warmup
	return bound.Rate / parts, bound.Burst / parts, true
}
