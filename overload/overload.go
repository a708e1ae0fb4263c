// Package overload keeps an instance from collapsing: it bounds the requests
// in flight, the memory of request bodies, the heap and the connections, and
// sheds what exceeds them before any work is done.
package overload

import (
	"runtime/metrics"
	"sync/atomic"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// batchPart is the part of a bound from which batch work is shed. What is left
// is for urgent work.
const batchPart = 0.8

// Limits bound an instance. Zero means unlimited.
type Limits struct {
	InFlight  int64 // requests
	BodyBytes int64 // memory of the request bodies held
	HeapBytes int64 // live heap
}

// Reason names the bound that a request exceeds.
type Reason string

// The reasons to shed a request.
const (
	InFlight  Reason = "in_flight"
	BodyBytes Reason = "body_bytes"
	HeapBytes Reason = "heap_bytes"
)

// Guard counts what an instance holds. Its methods are safe for concurrent use
// and take no lock.
type Guard struct {
	limits   Limits
	inFlight atomic.Int64
	body     atomic.Int64
	heap     atomic.Int64
}

// NewGuard returns a Guard with nothing held.
func NewGuard(limits Limits) *Guard { return &Guard{limits: limits} }

// Enter counts a request in, or returns the bound that it exceeds. Leave must
// follow unless a bound is returned.
func (g *Guard) Enter() Reason {
	if over(g.heap.Load(), g.limits.HeapBytes, 1) {
		return HeapBytes
	}
	if over(g.inFlight.Add(1)-1, g.limits.InFlight, 1) {
		g.inFlight.Add(-1)
		return InFlight
	}
	return ""
}

// Leave counts a request out.
func (g *Guard) Leave() { g.inFlight.Add(-1) }

// Check returns the bound that leaves no room for work of a rank, or "".
// Batch work is shed earlier, so that urgent work finds room in a flood of it.
func (g *Guard) Check(rank catalog.Rank) Reason {
	if rank == catalog.Urgent {
		return ""
	}
	switch {
	case over(g.heap.Load(), g.limits.HeapBytes, batchPart):
		return HeapBytes
	case over(g.inFlight.Load()-1, g.limits.InFlight, batchPart):
		return InFlight
	case over(g.body.Load(), g.limits.BodyBytes, batchPart):
		return BodyBytes
	}
	return ""
}

func over(held, limit int64, part float64) bool {
	return limit > 0 && held >= int64(float64(limit)*part)
}

// Reserve counts memory of a body in and reports whether it fits. Return must
// follow if it does.
func (g *Guard) Reserve(bytes int64) bool {
	if total := g.body.Add(bytes); g.limits.BodyBytes > 0 && total > g.limits.BodyBytes {
		g.body.Add(-bytes)
		return false
	}
	return true
}

// Return counts memory of a body out.
func (g *Guard) Return(bytes int64) { g.body.Add(-bytes) }

// SetHeap states the size of the live heap, in bytes.
func (g *Guard) SetHeap(bytes int64) { g.heap.Store(bytes) }

// Held returns what the instance holds now.
func (g *Guard) Held() Limits {
	return Limits{InFlight: g.inFlight.Load(), BodyBytes: g.body.Load(), HeapBytes: g.heap.Load()}
}

// heapMetric is the memory of objects that are live or not yet swept.
const heapMetric = "/memory/classes/heap/objects:bytes"

// ReadHeap reads the size of the process's heap, in bytes. It does not stop
// the process.
func ReadHeap() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
