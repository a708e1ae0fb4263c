package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// AcceptingFilter keeps servers that accept new work.
type AcceptingFilter struct{}

// Keep implements Filter.
func (AcceptingFilter) Keep(_ *Request, server *backend.Server) bool { return server.Accepts() }

// UntriedFilter removes servers that an earlier attempt used.
type UntriedFilter struct{}

// Keep implements Filter.
func (UntriedFilter) Keep(req *Request, server *backend.Server) bool { return !req.Tried[server.ID] }

// QueueScorer estimates the wait from the last load report and the work that
// this instance has in flight.
type QueueScorer struct {
	ServiceTime time.Duration // time a slot is held by one request
}

// Score implements Scorer.
func (s QueueScorer) Score(_ *Request, server *backend.Server) time.Duration {
	load := server.Load()
	slots := max(load.Slots, 1)
	queued := load.Waiting + max(load.Running, server.InFlight())
	return s.ServiceTime * time.Duration(queued) / time.Duration(slots)
}
