package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted means that the changes asked for are not kept any more: the
// keys must be listed again.
var ErrCompacted = errors.New("history is compacted")

// Change is one write or removal of a key.
type Change struct {
	Entry   // Version is the revision of the change
	Removed bool
}

// Page is a part of a listing, in the order of the keys. The pages of one
// listing are no snapshot: each shows the keys as of its own revision.
type Page struct {
	Entries  []Entry
	Revision uint64 // of the service, when the page was read
	More     bool   // more entries follow the last one
}

// Feed is a key-value service with one revision for all keys, whose watches
// return single changes.
type Feed interface {
	// Page lists entries below prefix whose keys follow after.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits until something below prefix changes after a revision, or
	// until wait has passed. It returns the changes and the revision to go on
	// from, or ErrCompacted.
	Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Change, uint64, error)
}

// Leases is the part of a Store that keeps keys alive.
type Leases interface {
	// Grant creates a lease that ends ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. A lapsed lease gives ErrNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys acquired under it.
	Revoke(ctx context.Context, id LeaseID) error
	// Acquire writes key under a lease.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) error
}
