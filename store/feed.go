package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted means that the service no longer has the requested changes; the
// keys must be listed again.
var ErrCompacted = errors.New("requested changes have been compacted")

// Change is one write or deletion of a key.
type Change struct {
	Entry        // Version is the revision of the change
	Removed bool // the key was deleted
}

// Page is one page of a listing, sorted by key. The pages of a listing do not
// form a consistent snapshot: each shows the keys at its own revision.
type Page struct {
	Entries  []Entry
	Revision Revision // of the service when the page was read
	More     bool     // more entries follow the last one
}

// Feed is a key-value service that has one revision for all keys and returns the
// individual changes since a revision.
type Feed interface {
	// Page lists entries whose keys start with prefix and are greater than after.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits until a key that starts with prefix changes after the
	// revision since, or until wait has passed. It returns the changes and the
	// revision for the next call, or ErrCompacted. A revision of a later era than that
	// of since means that changes may be missing.
	Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Change, Revision, error)
}

// Leases manages keys that are deleted when their lease ends. It is a part of
// Store.
type Leases interface {
	// Grant creates a lease that expires ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. An expired lease gives ErrNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys acquired under it.
	Revoke(ctx context.Context, id LeaseID) error
	// Acquire writes key under a lease; the service deletes the key when the
	// lease ends.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) error
}
