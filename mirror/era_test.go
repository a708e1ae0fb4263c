package mirror

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// copied is a copy of the entries of a feed.
type copied struct {
	entries  map[string]store.Entry
	revision uint64
}

func (f *feed) copyEntries() copied {
	f.mu.Lock()
	defer f.mu.Unlock()
	return copied{maps.Clone(f.entries), f.revision}
}

// rollBack starts a new era with the entries of a copy.
func (f *feed) rollBack(c copied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.entries = make(map[string]store.Entry)
	for key, e := range c.entries {
		e.Era = f.era
		f.entries[key] = e
	}
	f.revision, f.compacted, f.changes = c.revision, c.revision, nil
}

// configured is a mirror with the configuration that an instance takes from it.
type configured struct {
	table    catalog.Table
	mu       sync.Mutex
	versions []uint64 // in force one after the other
}

func (n *configured) follow(m *Mirror) {
	m.Changed = func([]string) {
		e, ok := m.Get("a/config")
		if !ok {
			return
		}
		version, _ := strconv.ParseUint(string(e.Value), 10, 64)
		if n.table.Advance(&catalog.Snapshot{Revision: version}) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.versions = append(n.versions, version)
		}
	}
}

// TestErasUnderFaults returns the service from older copies while keys and the
// configuration are written, and mirrors are frozen, cut off and restarted. A key never goes
// back within an era, and no copy to an earlier era; the version of a configuration never
// goes back on an instance, though its revision does. Once the faults end, all copies have
// the entries of the service, with their revisions.
func TestErasUnderFaults(t *testing.T) {
	const mirrors = 5
	type step struct {
		op, key string
		mirror  int
		pause   time.Duration
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			op:     rapid.SampledFrom([]string{"write", "write", "remove", "config", "config", "copy", "roll back", "roll back", "freeze", "wake", "cut", "join", "compact", "restart"}).Draw(t, "op"),
			key:    "a/" + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"),
			mirror: rapid.IntRange(0, mirrors-1).Draw(t, "mirror"),
			pause:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 30)
	rapid.Check(t, func(r *rapid.T) {
		drawn := steps.Draw(r, "steps")
		runZone(t, 2, mirrors, func(c *qt.C, z *zone) {
			nodes := make([]*configured, mirrors)
			seen := make([]map[string]store.Revision, mirrors)
			replace := func(n int) {
				m := z.newMirror(n)
				m.Peers = func() []Peer {
					return []Peer{func(_ context.Context, since store.Revision) (Update, error) {
						return z.mirror((n + 1) % mirrors).Since(since), nil
					}}
				}
				nodes[n], seen[n] = &configured{}, make(map[string]store.Revision)
				nodes[n].follow(m)
				z.mu.Lock()
				z.mirrors[n] = m
				z.mu.Unlock()
				z.group.Go(func() { m.Run(z.ctx) })
			}
			for n := range mirrors {
				replace(n)
			}
			time.Sleep(3 * directTime)
			version := 1
			z.feed.write("a/config", "1")
			saved := z.feed.copyEntries()
			check := func() {
				for n, m := range z.mirrors {
					for _, e := range m.ByPrefix("a/") {
						c.Assert(e.Revision().Before(seen[n][e.Key]), qt.IsFalse, qt.Commentf("mirror %d went back on %s to %v", n, e.Key, e.Revision()))
						seen[n][e.Key] = e.Revision()
					}
				}
			}
			for _, s := range drawn {
				switch s.op {
				case "write":
					z.feed.write(s.key, s.key+s.pause.String())
				case "remove":
					z.feed.remove(s.key)
				case "config":
					version++
					z.feed.write("a/config", fmt.Sprint(version))
				case "copy":
					saved = z.feed.copyEntries()
				case "roll back":
					z.feed.rollBack(saved)
				case "freeze", "wake":
					z.set(z.frozen, s.mirror, s.op == "freeze")
				case "cut", "join":
					z.set(z.cutOff, s.mirror, s.op == "cut")
				case "compact":
					z.feed.withLock(func() { z.feed.changes, z.feed.compacted = nil, z.feed.revision })
				case "restart":
					replace(s.mirror)
				}
				time.Sleep(s.pause)
				check()
			}
			for n := range mirrors {
				z.set(z.frozen, n, false)
				z.set(z.cutOff, n, false)
			}
			z.feed.write("a/config", fmt.Sprint(version+1)) // the operator writes again
			z.feed.write("a/last", "last")
			took := z.awaitEverywhere("a/last", "last", nil)
			c.Check(took <= detectionTime+relistSpread, qt.IsTrue, qt.Commentf("%v after %v", took, drawn))
			time.Sleep(relistSpread + time.Second)
			check()
			for n, m := range z.mirrors {
				got := make(map[string]store.Entry)
				for _, e := range m.ByPrefix("a/") {
					got[e.Key] = e
				}
				z.feed.withLock(func() { c.Check(got, qt.DeepEquals, z.feed.entries, qt.Commentf("mirror %d", n)) })
				c.Check(nodes[n].table.Current().Revision, qt.Equals, uint64(version+1))
				nodes[n].mu.Lock()
				c.Check(slices.IsSorted(nodes[n].versions), qt.IsTrue)
				nodes[n].mu.Unlock()
			}
		})
	})
}

// TestLateUpdateOfEarlierEra guards against entries of an earlier era that another instance
// sends late: none of them, nor their revision, counts in a copy of a later era.
func TestLateUpdateOfEarlierEra(t *testing.T) {
	c := qt.New(t)
	entry := func(key string, era, number uint64) store.Change {
		return store.Change{Entry: store.Entry{Key: key, Value: []byte(fmt.Sprint(era)), Version: number, Era: era}}
	}
	m := &Mirror{Prefixes: []string{"a/"}}
	m.Merge(Update{Full: true, Revision: store.Revision{Era: 1, Number: 90}, Changes: []store.Change{entry("a/1", 1, 80), entry("a/2", 1, 90)}})
	m.Merge(Update{Full: true, Revision: store.Revision{Era: 2, Number: 40}, Changes: []store.Change{entry("a/1", 2, 30)}})
	want := func() {
		c.Check(value(m, "a/1"), qt.Equals, "2")
		c.Check(value(m, "a/2"), qt.Equals, "-")
		c.Check(m.Revision(), qt.Equals, store.Revision{Era: 2, Number: 40})
	}
	want()
	removed, _ := m.Removal("a/2")
	c.Check(removed, qt.Equals, store.Revision{Era: 2, Number: 40})
	for _, full := range []bool{true, false} {
		m.Merge(Update{Full: full, Revision: store.Revision{Era: 1, Number: 99}, Changes: []store.Change{entry("a/1", 1, 99), entry("a/2", 1, 99), entry("a/3", 1, 99)}})
		m.Apply([]store.Change{entry("a/2", 1, 99), entry("a/4", 1, 99)}, store.Revision{Era: 1, Number: 99})
		want()
		c.Check(value(m, "a/3")+value(m, "a/4"), qt.Equals, "--")
	}
	update, status := m.Await(t.Context(), store.Revision{Era: 1, Number: 90}, time.Millisecond)
	c.Check(status, qt.Equals, RelayDetached)
	c.Check(update.Changes, qt.HasLen, 0)
	m.confirm()
	_, status = m.Await(t.Context(), store.Revision{Era: 1, Number: 90}, time.Millisecond)
	c.Check(status, qt.Equals, RelayBehind)
	_, status = m.Await(t.Context(), store.Revision{Era: 3, Number: 1}, time.Millisecond)
	c.Check(status, qt.Equals, RelayDetached)
}

// TestEraLearnedElsewhereEndsWatch guards against a copy that stays in an earlier era until
// its watch ends, though another call has named the new era.
func TestEraLearnedElsewhereEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runZoneIn(qt.New(t), 1, 1, func(c *qt.C, z *zone) {
			z.feed.write("a/1", "old")
			saved := z.feed.copyEntries()
			time.Sleep(time.Second)
			z.feed.write("a/1", "lost")
			time.Sleep(time.Second)
			z.feed.rollBack(saved)
			z.feed.withLock(func() { z.feed.revision += 10; z.feed.compacted = 0 }) // so that the watch goes on
			z.mirrors[0].LearnEra(1)
			time.Sleep(50 * time.Millisecond)
			c.Check(value(z.mirrors[0], "a/1"), qt.Equals, "old")
			c.Check(z.mirrors[0].Revision().Era, qt.Equals, uint64(1))
		})
	})
}
