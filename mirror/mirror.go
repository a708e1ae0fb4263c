// Package mirror keeps a copy of a part of the platform's key-value service in
// memory. The copy follows the service's changes; while the service does not
// answer, it follows the copies of other instances, which tell the same
// changes. Revisions order everything: a key never goes back to an older one,
// whoever tells of it.
package mirror

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// defaultWait is how long a watch waits for a change.
	defaultWait = 2 * time.Second
	// settleTime collects changes that come in a row into one call: calls are
	// billed, and each change would wake every instance.
	settleTime = 200 * time.Millisecond
	// retryDelay is the mean time between two tries after a failure.
	retryDelay = 250 * time.Millisecond
	// peerTimeout bounds a question to another instance. One that does not answer
	// ends sooner; this is for a large answer over a thin link.
	peerTimeout = 5 * time.Second
	// maxRemoved bounds the removed keys that are remembered.
	maxRemoved = 8192
)

// Peer asks another instance for the changes after a revision, and for the
// revision up to which it knows all. It gives up soon if nothing arrives.
type Peer func(ctx context.Context, since uint64) ([]store.Change, uint64, error)

// Observer is told when the copy loses and regains its source.
type Observer interface {
	SourceLost(err error)
	SourceBack(revision uint64, away time.Duration)
}

// Mirror is the copy. Its methods are safe for concurrent use.
type Mirror struct {
	Feed     store.Feed
	Prefixes []string // what is copied
	// Wait is how long a watch waits for a change; 0 for 2 s. It bounds, with
	// the client's slack, how long a connection that went silent is not noticed.
	Wait time.Duration
	// Peers returns some instances to ask while the service does not answer.
	Peers func() []Peer
	// Changed is called after each change of the copy with the changed keys.
	Changed  func(keys []string)
	Observer Observer

	mu       sync.Mutex
	entries  map[string]store.Entry
	removed  map[string]uint64 // revision of the removal
	revision uint64            // all changes up to it are known
	lostAt   time.Time         // when the service stopped answering; zero: it answers
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for listed := false; ctx.Err() == nil; {
		err := m.step(ctx, &listed)
		if err == nil {
			m.back()
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			listed = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.lost(err)
		m.askPeers(ctx)
		loop.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

// step reads the whole part once, and changes after that.
func (m *Mirror) step(ctx context.Context, listed *bool) error {
	if !*listed {
		if err := m.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	limit := m.Wait
	if limit <= 0 {
		limit = defaultWait
	}
	changes, revision, err := m.Feed.Changes(ctx, "", m.Revision(), limit)
	if err != nil {
		return err
	}
	m.Apply(changes, revision)
	if len(changes) > 0 {
		loop.Sleep(ctx, settleTime)
	}
	return nil
}

// list reads all keys. A key that is missing has been removed, unless it was
// written after the first page was read.
func (m *Mirror) list(ctx context.Context) error {
	present := make(map[string]bool)
	first := uint64(0)
	for _, prefix := range m.Prefixes {
		after := ""
		for {
			page, err := m.Feed.Page(ctx, prefix, after)
			if err != nil {
				return err
			}
			if first == 0 {
				first = page.Revision
			}
			changes := make([]store.Change, 0, len(page.Entries))
			for _, e := range page.Entries {
				present[e.Key] = true
				changes = append(changes, store.Change{Entry: e})
			}
			m.apply(changes)
			if !page.More || len(page.Entries) == 0 {
				break
			}
			after = page.Entries[len(page.Entries)-1].Key
		}
	}
	m.Apply(m.missing(present, first), first)
	return nil
}

// missing returns the removal of every key that a listing did not show.
func (m *Mirror) missing(present map[string]bool, revision uint64) []store.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []store.Change
	for key, e := range m.entries {
		if !present[key] && e.Version <= revision {
			gone = append(gone, store.Change{Entry: store.Entry{Key: key, Version: revision}, Removed: true})
		}
	}
	return gone
}

// Apply takes in changes, and the revision up to which they are complete.
func (m *Mirror) Apply(changes []store.Change, revision uint64) {
	m.apply(changes)
	m.mu.Lock()
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
}

func (m *Mirror) apply(changes []store.Change) {
	var keys []string
	m.mu.Lock()
	for _, change := range changes {
		if m.copies(change.Key) && m.take(change) {
			keys = append(keys, change.Key)
		}
	}
	m.mu.Unlock()
	if len(keys) > 0 && m.Changed != nil {
		m.Changed(keys)
	}
}

// take applies one change, unless a newer one of the key is known. m.mu is held.
func (m *Mirror) take(change store.Change) bool {
	if m.entries == nil {
		m.entries = make(map[string]store.Entry)
		m.removed = make(map[string]uint64)
	}
	known, present := m.entries[change.Key]
	if present && known.Version >= change.Version || m.removed[change.Key] > change.Version {
		return false
	}
	if !change.Removed {
		m.entries[change.Key] = change.Entry
		delete(m.removed, change.Key)
		return true
	}
	if m.removed[change.Key] == change.Version {
		return false
	}
	delete(m.entries, change.Key)
	m.forget()
	m.removed[change.Key] = change.Version
	return present
}

// forget makes room for one more removed key. m.mu is held.
func (m *Mirror) forget() {
	for key := range m.removed {
		if len(m.removed) < maxRemoved {
			return
		}
		delete(m.removed, key)
	}
}

func (m *Mirror) copies(key string) bool {
	for _, prefix := range m.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Revision returns the revision up to which all changes are known; 0 before
// the first listing.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// Below returns the entries whose keys begin with prefix.
func (m *Mirror) Below(prefix string) []store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []store.Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// Since returns what has changed after a revision, and the revision up to
// which that is complete.
func (m *Mirror) Since(revision uint64) ([]store.Change, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []store.Change
	for _, e := range m.entries {
		if e.Version > revision {
			changes = append(changes, store.Change{Entry: e})
		}
	}
	for key, version := range m.removed {
		if version > revision {
			changes = append(changes, store.Change{Entry: store.Entry{Key: key, Version: version}, Removed: true})
		}
	}
	return changes, m.revision
}

// Away returns how long the service has not answered; 0 if it does.
func (m *Mirror) Away() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lostAt.IsZero() {
		return 0
	}
	return time.Since(m.lostAt)
}

func (m *Mirror) lost(err error) {
	m.mu.Lock()
	first := m.lostAt.IsZero()
	if first {
		m.lostAt = time.Now()
	}
	m.mu.Unlock()
	if first && m.Observer != nil {
		m.Observer.SourceLost(err)
	}
}

func (m *Mirror) back() {
	m.mu.Lock()
	since, revision := m.lostAt, m.revision
	m.lostAt = time.Time{}
	m.mu.Unlock()
	if !since.IsZero() && m.Observer != nil {
		m.Observer.SourceBack(revision, time.Since(since))
	}
}

// askPeers takes in what other instances know.
func (m *Mirror) askPeers(ctx context.Context) {
	if m.Peers == nil {
		return
	}
	var group sync.WaitGroup
	for _, peer := range m.Peers() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			// An instance that does not answer is noticed by whoever lists them.
			if changes, revision, err := peer(ctx, m.Revision()); err == nil {
				m.Apply(changes, revision)
			}
		})
	}
	group.Wait()
}
