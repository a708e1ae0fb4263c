package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// feed is an in-memory key-value service.
type feed struct {
	mu        sync.Mutex
	entries   map[string]store.Entry
	changes   []store.Change
	era       uint64
	revision  uint64
	compacted uint64 // changes after an earlier revision are not available
	down      bool
	pageCalls int
}

func newFeed() *feed { return &feed{entries: make(map[string]store.Entry)} }

func (f *feed) write(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	e := store.Entry{Key: key, Value: []byte(value), Version: f.revision, Era: f.era}
	f.entries[key] = e
	f.changes = append(f.changes, store.Change{Entry: e})
}

func (f *feed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.entries, key)
	f.changes = append(f.changes, store.Change{Entry: store.Entry{Key: key, Version: f.revision, Era: f.era}, Removed: true})
}

func (f *feed) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *feed) Page(_ context.Context, prefix, after string) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Page{}, store.ErrUnavailable
	}
	f.pageCalls++
	page := store.Page{Revision: store.Revision{Era: f.era, Number: f.revision}}
	for key, e := range f.entries {
		if key > after && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func (f *feed) Changes(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		switch {
		case f.down:
			f.mu.Unlock()
			return nil, store.Revision{}, store.ErrUnavailable
		case since.Number < f.compacted || since.Number > f.revision:
			f.mu.Unlock()
			return nil, store.Revision{}, store.ErrCompacted
		}
		var found []store.Change
		for _, c := range f.changes {
			if c.Version > since.Number {
				found = append(found, c)
			}
		}
		revision := store.Revision{Era: f.era, Number: f.revision}
		f.mu.Unlock()
		if len(found) > 0 || !time.Now().Before(end) {
			return found, revision, nil
		}
		loop.Sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return nil, store.Revision{}, ctx.Err()
		}
	}
}

// runMirror runs test with a running mirror in virtual time.
func runMirror(t *testing.T, test func(c *qt.C, f *feed, m *Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		m := &Mirror{Feed: f, Prefixes: []string{"a/"}}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { m.Run(ctx) })
		defer group.Wait()
		defer cancel()
		time.Sleep(time.Second)
		test(qt.New(t), f, m)
	})
}

func value(m *Mirror, key string) string {
	e, ok := m.Get(key)
	if !ok {
		return "-"
	}
	return string(e.Value)
}

func TestFollowsChanges(t *testing.T) {
	runMirror(t, func(c *qt.C, f *feed, m *Mirror) {
		f.write("a/1", "x")
		f.write("b/1", "not copied")
		time.Sleep(time.Second)
		c.Assert(value(m, "a/1"), qt.Equals, "x")
		c.Assert(value(m, "b/1"), qt.Equals, "-")
		f.remove("a/1")
		time.Sleep(time.Second)
		c.Assert(value(m, "a/1"), qt.Equals, "-")
	})
}

// TestCompactedHistory guards against keeping a key that was removed during an
// outage when the service has compacted the history with the removal.
func TestCompactedHistory(t *testing.T) {
	runMirror(t, func(c *qt.C, f *feed, m *Mirror) {
		f.write("a/1", "x")
		f.write("a/2", "y")
		time.Sleep(time.Second)
		f.withLock(func() { f.down = true })
		time.Sleep(3 * time.Second)
		f.remove("a/1")
		f.withLock(func() { f.down, f.changes, f.compacted = false, nil, f.revision })
		time.Sleep(2 * time.Second)
		c.Assert(value(m, "a/1"), qt.Equals, "-")
		c.Assert(value(m, "a/2"), qt.Equals, "y")
	})
}

// TestPeersSupplyChangesDuringOutage checks that an instance for which the service
// is unavailable receives the changes that another instance has applied.
func TestPeersSupplyChangesDuringOutage(t *testing.T) {
	runMirror(t, func(c *qt.C, f *feed, m *Mirror) {
		f.write("a/1", "x")
		time.Sleep(time.Second)
		downFeed := newFeed()
		downFeed.down = true
		other := &Mirror{Feed: downFeed, Prefixes: []string{"a/"}, Peers: func() []Peer {
			return []Peer{func(_ context.Context, since store.Revision) (Update, error) { return m.Since(since), nil }}
		}}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { other.Run(ctx) })
		time.Sleep(time.Second)
		c.Assert(value(other, "a/1"), qt.Equals, "x")
		f.write("a/1", "z")
		f.write("a/2", "y")
		f.remove("a/2")
		time.Sleep(2 * time.Second)
		c.Assert(value(other, "a/1"), qt.Equals, "z")
		c.Assert(value(other, "a/2"), qt.Equals, "-")
		c.Assert(other.Outage() > 0, qt.IsTrue)
		cancel()
		group.Wait()
	})
}

// TestVersionsNeverDecrease applies changes in any order, some of them twice. The
// version of a key must never decrease, and its newest change must win.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Mirror{Prefixes: []string{"a/"}}
		newest := make(map[string]store.Change)
		var all []store.Change
		for revision := uint64(1); revision <= 12; revision++ {
			key := rapid.SampledFrom([]string{"a/1", "a/2", "a/3"}).Draw(t, "key")
			change := store.Change{Entry: store.Entry{Key: key, Version: revision}, Removed: rapid.Bool().Draw(t, "removed")}
			newest[key] = change
			all = append(all, change)
		}
		seen := make(map[string]uint64)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 11, 5, 0}).Draw(t, "order") {
			m.Apply(all[i:i+1], store.Revision{})
			if e, ok := m.Get(all[i].Key); ok && e.Version < seen[all[i].Key] {
				t.Fatalf("version of %s decreased to %d", all[i].Key, e.Version)
			}
			seen[all[i].Key] = max(seen[all[i].Key], all[i].Version)
		}
		for key, change := range newest {
			if _, ok := m.Get(key); ok == change.Removed {
				t.Fatalf("%s: present %v after %+v", key, ok, change)
			}
		}
	})
}
