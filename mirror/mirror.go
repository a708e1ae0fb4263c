// Package mirror keeps an in-memory copy of some key prefixes of the platform's
// key-value service. A few instances follow the service itself and relay its changes
// to the others, which return to the service when their relay fails. While the service
// is unavailable, a copy applies changes fetched from the copies of other instances.
// All changes are ordered by era and revision: a key is never set back to an older
// revision, whatever the source of a change. In a new era, in which the service has
// returned from an older copy, the keys are listed again; until that is complete, the
// entries of the earlier era are kept.
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
	// batchDelay is the pause after a watch that returned changes. Changes in quick
	// succession are then fetched in one call: calls are billed, and each change
	// would otherwise wake the watches of all instances.
	batchDelay = 200 * time.Millisecond
	// retryDelay is the mean delay before a retry after a failure.
	retryDelay = 250 * time.Millisecond
	// peerTimeout bounds a query to another instance. It allows for a large
	// response over a slow link; a Peer aborts sooner if no data arrives.
	peerTimeout = 5 * time.Second
	// maxTombstones is the largest number of removed keys that are kept with the
	// revision of their removal.
	maxTombstones = 8192
)

// Peer fetches from another instance the changes after a revision. It aborts early
// if no response data arrives.
type Peer func(ctx context.Context, since store.Revision) (Update, error)

// Update holds the changes of a copy after a revision.
type Update struct {
	Changes  []store.Change
	Revision store.Revision // the changes are complete up to it
	// Full means that Changes are all entries of the copy, because it does not know
	// all removals after the requested revision. A key that is missing was removed.
	Full bool
	// Age is the time since the service confirmed that Changes are complete. Only Await
	// sets it.
	Age time.Duration
}

// Observer is notified when the service becomes unavailable and when it is
// available again.
type Observer interface {
	// SourceLost is called with the first error of an outage.
	SourceLost(err error)
	// SourceRecovered is called with the revision up to which the copy is complete,
	// and with the duration of the outage.
	SourceRecovered(revision store.Revision, outage time.Duration)
	// EraChanged is called when the copy has the entries of a later era.
	EraChanged(change EraChange)
}

// Mirror is a copy of the entries below some key prefixes. Its methods are safe
// for concurrent use.
type Mirror struct {
	Feed     store.Feed
	Prefixes []string // prefixes of the keys to copy
	// Wait is how long a watch waits for a change; 0 means 2 s. A dead connection
	// is detected at the latest after Wait plus the slack that the client adds.
	Wait time.Duration
	// Peers returns some instances to query while the service is unavailable. Nil
	// for none.
	Peers func() []Peer
	// Changed is called with the changed keys after changes have been applied. Nil
	// for none.
	Changed  func(keys []string)
	Observer Observer // nil for none
	// Relay returns the instance to follow, or nil to follow the service itself. A
	// nil Relay means to follow the service always.
	Relay func() Relay

	mu         sync.Mutex
	entries    map[string]store.Entry
	tombstones map[string]store.Revision // of the removal by key
	revision   store.Revision            // all changes up to it have been applied
	knownEra   uint64                    // highest era that is known; that of revision, or a later one
	relist     context.CancelFunc        // ends the call in progress, so that the keys are listed again; nil for none
	// completeSince is the revision after which all removals are known. Earlier ones
	// are missing from tombstones if the copy began, or was listed anew, after them.
	completeSince store.Revision
	outageStart   time.Time     // when the service became unavailable; zero: it is available
	confirmedAt   time.Time     // when the service itself confirmed the copy; zero: it is not followed
	currentAt     time.Time     // up to when the copy is known to be complete; zero: it never was
	detached      bool          // the relay has stopped to follow the service
	advanced      chan struct{} // closed when revision or confirmedAt changes; nil if nobody waits
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var directUntil time.Time
	for listed := false; ctx.Err() == nil; {
		if m.behindEra() {
			listed = false
		}
		if relay := m.relay(); listed && relay != nil && !time.Now().Before(directUntil) {
			switch m.followRelay(ctx, relay) {
			case RelayCurrent:
				continue
			case RelayBehind:
			default:
				directUntil = time.Now().Add(directTime + rand.N(directTime))
			}
		}
		err := m.step(ctx, &listed)
		if err == nil {
			m.confirm()
			m.sourceAvailable()
			continue
		}
		if errors.Is(err, store.ErrCompacted) || m.behindEra() && errors.Is(err, context.Canceled) {
			listed = false
			continue
		}
		m.unconfirm()
		if ctx.Err() != nil {
			return
		}
		m.sourceUnavailable(err)
		m.pullFromPeers(ctx)
		loop.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

// step lists all keys if *listed is false, and waits for changes otherwise.
func (m *Mirror) step(ctx context.Context, listed *bool) error {
	if !*listed {
		if m.behindEra() && m.relay() != nil {
			loop.Sleep(ctx, rand.N(relistSpread))
		}
		if err := m.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	ctx, done := m.interruptible(ctx)
	defer done()
	since := m.Revision()
	changes, revision, err := m.Feed.Changes(ctx, "", since, m.wait())
	if err != nil {
		return err
	}
	if revision.Era != since.Era {
		m.LearnEra(revision.Era)
		return errors.Wrapf(store.ErrCompacted, "changes since %v are of era %d", since, revision.Era)
	}
	m.Apply(changes, revision)
	if len(changes) > 0 {
		loop.Sleep(ctx, batchDelay)
	}
	return nil
}

// list reads all entries. A key that is in the copy but not in the listing has
// been removed, unless it was written after the first page was read.
func (m *Mirror) list(ctx context.Context) error {
	present := make(map[string]bool)
	var first store.Revision
	for _, prefix := range m.Prefixes {
		after := ""
		for {
			page, err := m.Feed.Page(ctx, prefix, after)
			if err != nil {
				return err
			}
			m.LearnEra(page.Revision.Era)
			if first.IsZero() {
				first = page.Revision
			}
			if page.Revision.Era != first.Era {
				return errors.Wrapf(store.ErrCompacted, "listing began in era %d, the service is in era %d", first.Era, page.Revision.Era)
			}
			if page.Revision.Era < m.era() {
				return errors.Wrapf(errEarlierEra, "list %q: era %d", prefix, page.Revision.Era)
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
	m.replaceUpTo(present, first)
	return nil
}

// replaceUpTo removes every key that is not in present, the keys of a listing that is
// complete at revision.
func (m *Mirror) replaceUpTo(present map[string]bool, revision store.Revision) {
	removals := m.missingKeys(present, revision)
	m.mu.Lock()
	m.completeSince = m.completeSince.Later(revision)
	change := EraChange{From: m.revision, To: revision, Dropped: len(removals), Kept: len(present)}
	m.mu.Unlock()
	m.Apply(removals, revision)
	if change.To.Era > change.From.Era && m.Observer != nil {
		m.Observer.EraChanged(change)
	}
}

// missingKeys returns a removal for every key that is not in present and whose
// revision in the copy is not after the given one, that of the listing's first
// page.
func (m *Mirror) missingKeys(present map[string]bool, revision store.Revision) []store.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var removals []store.Change
	for key, e := range m.entries {
		if !present[key] && !e.Revision().After(revision) {
			removals = append(removals, removal(key, revision))
		}
	}
	return removals
}

func removal(key string, revision store.Revision) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Version: revision.Number, Era: revision.Era}, Removed: true}
}

// Apply applies changes to the copy, and records that all changes up to revision
// have been applied.
func (m *Mirror) Apply(changes []store.Change, revision store.Revision) {
	m.apply(changes)
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision.After(m.revision) {
		m.revision = revision
		m.knownEra = max(m.knownEra, revision.Era)
		m.wake()
	}
}

// Merge applies an update of another instance, unless it is of an earlier era than the
// known one. One of a later era is applied if it has all entries, as the copy is otherwise
// not complete in that era.
func (m *Mirror) Merge(update Update) {
	m.LearnEra(update.Revision.Era)
	if update.Revision.Era < m.era() || !update.Full && update.Revision.Era > m.Revision().Era {
		return
	}
	if !update.Full {
		m.Apply(update.Changes, update.Revision)
		return
	}
	present := make(map[string]bool, len(update.Changes))
	for _, change := range update.Changes {
		present[change.Key] = !change.Removed
	}
	m.apply(update.Changes)
	m.replaceUpTo(present, update.Revision)
}

func (m *Mirror) apply(changes []store.Change) {
	var keys []string
	m.mu.Lock()
	for _, change := range changes {
		if m.covers(change.Key) && m.applyChange(change) {
			keys = append(keys, change.Key)
		}
	}
	m.mu.Unlock()
	if len(keys) > 0 && m.Changed != nil {
		m.Changed(keys)
	}
}

// applyChange applies one change, unless the copy has the same or a newer revision
// of the key, and reports whether the copy has changed. m.mu is held.
func (m *Mirror) applyChange(change store.Change) bool {
	if m.entries == nil {
		m.entries = make(map[string]store.Entry)
		m.tombstones = make(map[string]store.Revision)
	}
	known, present := m.entries[change.Key]
	revision := change.Revision()
	if revision.Era < m.revision.Era {
		return false // the copy is complete in a later era
	}
	if present && !revision.After(known.Revision()) || m.tombstones[change.Key].After(revision) {
		return false
	}
	if !change.Removed {
		m.entries[change.Key] = change.Entry
		delete(m.tombstones, change.Key)
		return true
	}
	if m.tombstones[change.Key] == revision {
		return false
	}
	delete(m.entries, change.Key)
	m.evictTombstones()
	m.tombstones[change.Key] = revision
	return present
}

// evictTombstones deletes arbitrary tombstones until fewer than maxTombstones are
// left. m.mu is held.
func (m *Mirror) evictTombstones() {
	for key, removed := range m.tombstones {
		if len(m.tombstones) < maxTombstones {
			return
		}
		m.completeSince = m.completeSince.Later(removed)
		delete(m.tombstones, key)
	}
}

func (m *Mirror) covers(key string) bool {
	for _, prefix := range m.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Revision returns the revision up to which all changes have been applied; the zero Revision
// before the first listing or the first response of a peer.
func (m *Mirror) Revision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get returns the entry of a key, and whether the key is present.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// ByPrefix returns the entries whose keys begin with prefix, in no particular
// order.
func (m *Mirror) ByPrefix(prefix string) []store.Entry {
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

// Since returns the changes after a revision.
func (m *Mirror) Since(revision store.Revision) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since(revision)
}

// since implements Since. m.mu is held.
func (m *Mirror) since(revision store.Revision) Update {
	full := revision.Before(m.completeSince)
	if full {
		revision = store.Revision{}
	}
	var changes []store.Change
	for _, e := range m.entries {
		if e.Revision().After(revision) {
			changes = append(changes, store.Change{Entry: e})
		}
	}
	for key, removed := range m.tombstones {
		if removed.After(revision) && !full {
			changes = append(changes, removal(key, removed))
		}
	}
	return Update{Changes: changes, Revision: m.revision, Full: full}
}

// Outage returns for how long the service has been unavailable; 0 if it is
// available.
func (m *Mirror) Outage() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outageStart.IsZero() {
		return 0
	}
	return time.Since(m.outageStart)
}

func (m *Mirror) sourceUnavailable(err error) {
	m.mu.Lock()
	first := m.outageStart.IsZero()
	if first {
		m.outageStart = time.Now()
	}
	m.mu.Unlock()
	if first && m.Observer != nil {
		m.Observer.SourceLost(err)
	}
}

func (m *Mirror) sourceAvailable() {
	m.mu.Lock()
	start, revision := m.outageStart, m.revision
	m.outageStart = time.Time{}
	m.mu.Unlock()
	if !start.IsZero() && m.Observer != nil {
		m.Observer.SourceRecovered(revision, time.Since(start))
	}
}

// pullFromPeers fetches changes from other instances and applies them.
func (m *Mirror) pullFromPeers(ctx context.Context) {
	if m.Peers == nil {
		return
	}
	var group sync.WaitGroup
	for _, peer := range m.Peers() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			// The error is dropped: the provider of Peers detects failed instances.
			if update, err := peer(ctx, m.Revision()); err == nil {
				m.Merge(update)
			}
		})
	}
	group.Wait()
}
