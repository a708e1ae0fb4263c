// Package admission decides when a request may start. Requests wait in the
// gateway, so that the queues of the engines stay short and the order stays in
// one place.
//
// A Scheduler is the queue of one service. It orders by rank, then fairly
// among callers by the tokens they were served, then by deadline. It does no
// I/O, reads no clock and is not safe for concurrent use. A Queue puts a lock
// and waiting goroutines around one Scheduler for each service.
package admission

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Request asks for one slot of a service.
type Request struct {
	Caller  string
	Rank    catalog.Rank
	Tokens  int       // estimate of prompt and answer; at least 1 is charged
	Bytes   int64     // memory that the request holds while it waits
	StartBy time.Time // latest start that still meets the target
}

// Reason says why a request was refused.
type Reason string

// The reasons of a Refusal. No refused request has run.
const (
	ReasonLate       Reason = "late"        // the expected wait ends after StartBy
	ReasonExpired    Reason = "expired"     // StartBy passed in the queue
	ReasonQueueFull  Reason = "queue_full"  // the rank's queue is full
	ReasonCallerFull Reason = "caller_full" // the caller's part of the queue is full
	ReasonDisplaced  Reason = "displaced"   // a caller with a shorter queue took the place
	ReasonCanceled   Reason = "canceled"    // the caller gave up
)

// Refusal is the answer to a request that may not start.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when a slot is expected
	Wait       time.Duration // expected wait at the time of the decision
}

// Late reports whether the request was refused only because no slot becomes
// free in time.
func (r *Refusal) Late() bool { return r.Reason == ReasonLate || r.Reason == ReasonExpired }

// String returns one line for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("admission: %s, retry after %v", r.Reason, r.RetryAfter)
}

// Bounds limit the queue of one rank of a service.
type Bounds struct {
	Entries       int   // requests that wait
	Bytes         int64 // memory of the requests that wait
	CallerEntries int   // requests of one caller that wait
	CallerBytes   int64 // memory of the requests of one caller that wait
}

// DefaultBounds returns bounds for an instance of modest memory.
func DefaultBounds() Bounds {
	return Bounds{Entries: 4096, Bytes: 64 << 20, CallerEntries: 512, CallerBytes: 16 << 20}
}

// RankConfig configures one rank of a Scheduler.
type RankConfig struct {
	Target   time.Duration // time to first token that the rank is held to
	MinShare float64       // part of the slots kept in a flood of the other rank, 0..1
	Bounds   Bounds
}

// Config configures a Scheduler.
type Config struct {
	Ranks [catalog.RankCount]RankConfig
}

// ConfigOf returns the configuration of a service's queue.
func ConfigOf(service *catalog.Service, bounds Bounds) Config {
	var c Config
	for rank, policy := range service.Ranks {
		c.Ranks[rank] = RankConfig{Target: policy.Target, MinShare: policy.MinShare, Bounds: bounds}
	}
	return c
}
