package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// waitTooLong reports whether the expected wait of a request at its chosen server
// exceeds the limit. A request that has been tried on a server, and may have run
// there, is never refused. Nor is any while no prefill rate of the service is known.
func (r *Router) waitTooLong(req *Request, d Decision) bool {
	return d.Server != nil && r.exceedsWait(req, d.Server, d.Wait)
}

func (r *Router) exceedsWait(req *Request, server *backend.Server, wait time.Duration) bool {
	target := req.Service.PolicyOf(req.Work).Target
	if r.MaxWaitFraction == 0 || target <= 0 || len(req.Tried) > 0 || req.PrefillRate(server) == 0 {
		return false
	}
	return wait > time.Duration(r.MaxWaitFraction*float64(target))
}

// roomFraction is the fraction of its slots up to which a server counts as having room. With
// 1, instances that see the same last free slots in an overload all send there.
const roomFraction = 0.75

// withRoom moves the candidates that have room by the latest load reports, and whose wait is
// within the limit, to the front and returns them.
func (r *Router) withRoom(req *Request, candidates []Candidate) []Candidate {
	n := 0
	for i := range candidates {
		c := candidates[i]
		c.Cost = r.Scorer.Score(req, c.Server, c.CachedTokens) + c.fetchTime
		room := float64(c.Server.Occupied()) <= roomFraction*float64(c.Server.SlotCount())
		if room && !r.exceedsWait(req, c.Server, c.wait(req)) {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	return candidates[:n]
}

// wait returns the part of the cost that is neither the base latency nor the request's own
// prefill.
func (c *Candidate) wait(req *Request) time.Duration {
	return c.Cost - req.BaseLatency(c.Server) - c.ownPrefillTime(req) - reducedSlotsWait(req, c.Server)
}
