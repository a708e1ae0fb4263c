// Package overload protects an instance from overload. It limits the requests in
// flight, the memory of request bodies and buffered responses, the heap and the
// connections, so that excess load can be shed before any work is done for it.
package overload

import (
	"runtime/metrics"
	"sync/atomic"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// batchFraction is the fraction of each limit at which batch requests are shed.
// The rest is reserved for urgent requests.
const batchFraction = 0.8

// Limits are the limits of an instance, or what it uses of them. As a limit, zero
// means unlimited.
type Limits struct {
	InFlight  int64 // requests in flight
	BodyBytes int64 // memory of request bodies and buffered responses
	HeapBytes int64 // size of the heap
}

// Reason is the limit that a request would exceed.
type Reason string

// The reasons to shed a request.
const (
	ReasonInFlight  Reason = "in_flight"
	ReasonBodyBytes Reason = "body_bytes"
	ReasonHeapBytes Reason = "heap_bytes"
)

// Guard counts an instance's use of its Limits. Its methods are safe for
// concurrent use and take no lock.
type Guard struct {
	limits    Limits
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	heapBytes atomic.Int64
}

// NewGuard returns a Guard with nothing in use.
func NewGuard(limits Limits) *Guard { return &Guard{limits: limits} }

// StartRequest adds a request to those in flight and returns "", or returns the
// limit that is reached. EndRequest must be called later if it returns "".
func (g *Guard) StartRequest() Reason {
	if atLimit(g.heapBytes.Load(), g.limits.HeapBytes, 1) {
		return ReasonHeapBytes
	}
	if atLimit(g.inFlight.Add(1)-1, g.limits.InFlight, 1) {
		g.inFlight.Add(-1)
		return ReasonInFlight
	}
	return ""
}

// EndRequest removes a request from those in flight.
func (g *Guard) EndRequest() { g.inFlight.Add(-1) }

// Check returns the limit that does not permit a request of the rank, or "".
// The request itself has already been added by StartRequest. Batch requests are
// refused below the limits, so that capacity remains for urgent requests when
// there are many batch requests.
func (g *Guard) Check(rank catalog.Rank) Reason {
	if rank == catalog.Urgent {
		return ""
	}
	switch {
	case atLimit(g.heapBytes.Load(), g.limits.HeapBytes, batchFraction):
		return ReasonHeapBytes
	case atLimit(g.inFlight.Load()-1, g.limits.InFlight, batchFraction):
		return ReasonInFlight
	case atLimit(g.bodyBytes.Load(), g.limits.BodyBytes, batchFraction):
		return ReasonBodyBytes
	}
	return ""
}

// atLimit reports whether used has reached the fraction of limit.
func atLimit(used, limit int64, fraction float64) bool {
	return limit > 0 && used >= int64(float64(limit)*fraction)
}

// Reserve adds memory of a body and reports whether the total is within the
// limit. If it is, Return must be called later for the same number of bytes.
func (g *Guard) Reserve(bytes int64) bool {
	if total := g.bodyBytes.Add(bytes); g.limits.BodyBytes > 0 && total > g.limits.BodyBytes {
		g.bodyBytes.Add(-bytes)
		return false
	}
	return true
}

// Release subtracts memory of a body.
func (g *Guard) Release(bytes int64) { g.bodyBytes.Add(-bytes) }

// SetHeap sets the size of the heap, in bytes, that is compared with the limit.
func (g *Guard) SetHeap(bytes int64) { g.heapBytes.Store(bytes) }

// Usage returns the current use of each of the Limits.
func (g *Guard) Usage() Limits {
	return Limits{InFlight: g.inFlight.Load(), BodyBytes: g.bodyBytes.Load(), HeapBytes: g.heapBytes.Load()}
}

// heapMetric is the memory of heap objects that are live, or dead but not yet
// swept.
const heapMetric = "/memory/classes/heap/objects:bytes"

// ReadHeap returns the size of the process's heap, in bytes. Reading it does not
// stop the world.
func ReadHeap() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
