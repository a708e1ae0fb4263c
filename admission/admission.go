// Package admission decides when a request may start. Requests wait in the
// gateway rather than in the engines, which keeps the engines' queues short
// and the ordering in one place.
//
// A Scheduler is the queue of one service. It orders requests by rank, then by
// priority, then by the tokens that their callers were served (fair queuing), then by StartBy less their
// Duration: a long request cannot make up for the time that it waits, and one that is
// refused can end in time if it returns only if it is short.
// It does no I/O, reads no clock and is not safe for concurrent use. A Queue
// has one Scheduler for each service, guards each with a lock and blocks the
// goroutines of waiting requests.
package admission

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Request asks for one slot of a service.
type Request struct {
	Caller string
	Rank   catalog.Rank
	// Priority precedes the tokens of the callers in the order of a rank; 0 is the first.
	Priority int
	Tokens   int       // estimated prompt and completion tokens; at least 1 is charged
	Bytes    int64     // memory held while the request waits
	StartBy  time.Time // latest start time that still meets the target
	// Duration is how long the request is expected to run. It is 0 if that is unknown, or if
	// the request is not expected to end in time. Requests of a caller that run longer start
	// earlier.
	Duration time.Duration
}

// Reason is the cause of a Refusal.
type Reason string

// The reasons of a Refusal. A refused request has not run.
const (
	ReasonLate       Reason = "late"        // on arrival, the expected wait exceeded the time until StartBy
	ReasonExpired    Reason = "expired"     // StartBy passed while the request waited
	ReasonQueueFull  Reason = "queue_full"  // the queue of the rank is full
	ReasonCallerFull Reason = "caller_full" // the caller has reached its own bound in the queue
	ReasonDisplaced  Reason = "displaced"   // removed from a full queue for a caller that uses less of it
	ReasonCanceled   Reason = "canceled"    // the context of the request ended while it waited
	ReasonNoServer   Reason = "no_server"   // no backend server accepts requests any more; see Queue.ReleaseWaiting
)

// Refusal describes why a request may not start, and when to retry.
type Refusal struct {
	Reason       Reason
	RetryAfter   time.Duration // expected wait, limited to 1 s to 1 min, plus jitter; 0 if canceled
	ExpectedWait time.Duration // expected wait when the request arrived; 0 if canceled
}

// MissesStartBy reports whether the request was refused because no slot became
// free, or was expected to become free, before its StartBy.
func (r *Refusal) MissesStartBy() bool { return r.Reason == ReasonLate || r.Reason == ReasonExpired }

// String returns the reason and RetryAfter on one line, for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("admission: %s, retry after %v", r.Reason, r.RetryAfter)
}

// Bounds are the limits of the queue of one rank of a service.
type Bounds struct {
	Entries       int   // waiting requests
	Bytes         int64 // memory of the waiting requests
	CallerEntries int   // waiting requests of one caller
	CallerBytes   int64 // memory of the waiting requests of one caller
}

// DefaultBounds returns bounds suited to an instance with little memory.
func DefaultBounds() Bounds {
	return Bounds{Entries: 4096, Bytes: 64 << 20, CallerEntries: 512, CallerBytes: 16 << 20}
}

// RankConfig configures one rank of a Scheduler.
type RankConfig struct {
	Target   time.Duration // target for the time to first token
	MinShare float64       // minimum fraction of the slots while the other rank overloads the service, 0..1
	Bounds   Bounds
}

// Config configures a Scheduler.
type Config struct {
	Ranks [catalog.RankCount]RankConfig
}

// ConfigOf returns the Config for a service's policy, with the same bounds for
// each rank.
func ConfigOf(service *catalog.Service, bounds Bounds) Config {
	var c Config
	for rank, policy := range service.Ranks {
		c.Ranks[rank] = RankConfig{Target: policy.Target, MinShare: policy.MinShare, Bounds: bounds}
	}
	return c
}
