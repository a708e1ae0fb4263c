package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// zone runs mirrors of one service in virtual time. The first ones follow the service,
// the others follow one of these.
type zone struct {
	feed     *feed
	mirrors  []*Mirror
	watchers int
	choice   []int // watcher of each mirror
	ctx      context.Context
	group    sync.WaitGroup

	mu         sync.Mutex
	frozen     map[int]bool // mirrors that neither respond to others nor notice anything
	cutOff     map[int]bool // mirrors whose calls of the service get no response
	storeCalls map[int]int
}

// relayStall is how much longer than its wait a call of a relay may take.
const relayStall = 400 * time.Millisecond

// detectionTime is the longest time after which a change that a relay does not pass on
// is read from the service: the longer of the wait of a silent relay and of a watch that
// is silent at the relay itself, and the pauses between calls.
const detectionTime = defaultWait + relayStall + time.Second

var errSilent = errors.New("no response")

// watchedFeed is the service as one mirror reaches it.
type watchedFeed struct {
	zone   *zone
	mirror int
}

func (f watchedFeed) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	if err := f.zone.reach(ctx, f.mirror, 0); err != nil {
		return store.Page{}, err
	}
	return f.zone.feed.Page(ctx, prefix, after)
}

func (f watchedFeed) Changes(ctx context.Context, prefix string, since store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	if err := f.zone.reach(ctx, f.mirror, wait); err != nil {
		return nil, store.Revision{}, err
	}
	changes, revision, err := f.zone.feed.Changes(ctx, prefix, since, wait)
	if f.zone.is(f.zone.cutOff, f.mirror) {
		loop.Sleep(ctx, relayStall)
		return nil, store.Revision{}, errSilent
	}
	return changes, revision, err
}

// reach counts a call of the service and fails after the given wait if the mirror is cut
// off from it.
func (z *zone) reach(ctx context.Context, mirror int, wait time.Duration) error {
	z.mu.Lock()
	z.storeCalls[mirror]++
	z.mu.Unlock()
	if !z.is(z.cutOff, mirror) {
		return nil
	}
	loop.Sleep(ctx, wait+relayStall)
	return errSilent
}

func (z *zone) is(set map[int]bool, mirror int) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return set[mirror]
}

func (z *zone) set(set map[int]bool, mirror int, value bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	set[mirror] = value
}

// runZone runs test with a zone of mirrors.
func runZone(t *testing.T, watchers, count int, test func(c *qt.C, z *zone)) {
	synctest.Test(t, func(t *testing.T) { runZoneIn(qt.New(t), watchers, count, test) })
}

func runZoneIn(c *qt.C, watchers, count int, test func(c *qt.C, z *zone)) {
	ctx, cancel := context.WithCancel(context.Background())
	z := &zone{
		feed: newFeed(), watchers: watchers, choice: make([]int, count), ctx: ctx,
		frozen: make(map[int]bool), cutOff: make(map[int]bool), storeCalls: make(map[int]int),
	}
	for n := range count {
		z.choice[n] = n % watchers
		z.mirrors = append(z.mirrors, z.newMirror(n))
	}
	defer z.group.Wait()
	defer cancel()
	for _, m := range z.mirrors {
		z.group.Go(func() { m.Run(ctx) })
	}
	// At the start the relays do not follow the service yet.
	time.Sleep(3 * directTime)
	test(c, z)
}

func (z *zone) newMirror(n int) *Mirror {
	m := &Mirror{Feed: watchedFeed{z, n}, Prefixes: []string{"a/"}}
	if n >= z.watchers {
		m.Relay = func() Relay { return z.relay(z.choice[n]) }
	}
	return m
}

// mirror returns the n-th mirror, which may have been replaced.
func (z *zone) mirror(n int) *Mirror {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.mirrors[n]
}

// relay returns the relay that a mirror is for others.
func (z *zone) relay(watcher int) Relay {
	return func(ctx context.Context, since store.Revision, wait time.Duration) (Update, RelayStatus, error) {
		end := time.Now().Add(wait + relayStall)
		if !z.is(z.frozen, watcher) {
			update, status := z.mirror(watcher).Await(ctx, since, wait)
			if !z.is(z.frozen, watcher) {
				return update, status, nil
			}
		}
		loop.Sleep(ctx, time.Until(end))
		return Update{}, RelayDetached, errSilent
	}
}

// awaitEverywhere returns how long it takes until all mirrors but the given ones have a
// value.
func (z *zone) awaitEverywhere(key, want string, but map[int]bool) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		lagging := 0
		for n, m := range z.mirrors {
			if value(m, key) != want && !z.is(but, n) {
				lagging++
			}
		}
		if lagging == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// TestRelaySavesCalls checks that instances that follow a relay make no calls of the
// service, and have changes as soon as it.
func TestRelaySavesCalls(t *testing.T) {
	runZone(t, 2, 20, func(c *qt.C, z *zone) {
		z.mu.Lock()
		clear(z.storeCalls)
		z.mu.Unlock()
		for k := range 20 {
			z.feed.write("a/1", fmt.Sprint(k))
			c.Check(z.awaitEverywhere("a/1", fmt.Sprint(k), nil) <= 2*batchDelay+50*time.Millisecond, qt.IsTrue)
			time.Sleep(time.Second)
		}
		z.mu.Lock()
		defer z.mu.Unlock()
		for n := 2; n < len(z.mirrors); n++ {
			c.Check(z.storeCalls[n], qt.Equals, 0, qt.Commentf("mirror %d", n))
		}
	})
}

// TestRelayFails guards against a change that does not arrive because the relay is
// frozen, cut off from the service, or both relays are. Instances that reach the service
// themselves must have it within detectionTime.
func TestRelayFails(t *testing.T) {
	for name, fail := range map[string]func(z *zone, n int){
		"frozen":             func(z *zone, n int) { z.set(z.frozen, n, true); z.set(z.cutOff, n, true) },
		"cut off from store": func(z *zone, n int) { z.set(z.cutOff, n, true) },
		"cut off from zone":  func(z *zone, n int) { z.set(z.frozen, n, true) },
	} {
		for failing := 1; failing <= 2; failing++ {
			for delay := time.Duration(0); delay < defaultWait; delay += 350 * time.Millisecond {
				t.Run(fmt.Sprint(name, failing, delay), func(t *testing.T) {
					runZone(t, 2, 8, func(c *qt.C, z *zone) {
						time.Sleep(delay)
						failed := make(map[int]bool)
						for n := range failing {
							fail(z, n)
							failed[n] = true
						}
						z.feed.write("a/1", "new")
						took := z.awaitEverywhere("a/1", "new", failed)
						c.Check(took <= detectionTime, qt.IsTrue, qt.Commentf("%v", took))
						for n := range failing {
							z.set(z.frozen, n, false)
							z.set(z.cutOff, n, false)
						}
						z.feed.write("a/1", "newer")
						took = z.awaitEverywhere("a/1", "newer", nil)
						c.Check(took <= detectionTime, qt.IsTrue, qt.Commentf("after the failure: %v", took))
					})
				})
			}
		}
	}
}

// TestRemovalBeforeTheListingOfARelay guards against a key that stays forever because
// the relay, or a peer during an outage, was started after its removal and has never
// known it.
func TestRemovalBeforeTheListingOfARelay(t *testing.T) {
	for _, way := range []string{"relay", "peer"} {
		t.Run(way, func(t *testing.T) {
			runZone(t, 1, 2, func(c *qt.C, z *zone) {
				z.feed.write("a/removed", "x")
				z.feed.write("a/kept", "x")
				c.Assert(z.awaitEverywhere("a/kept", "x", nil) < time.Second, qt.IsTrue)
				follower := z.mirrors[1]
				z.set(z.cutOff, 1, true)
				z.set(z.frozen, 0, true)
				time.Sleep(detectionTime)
				z.feed.remove("a/removed")
				z.feed.write("a/later", "x")
				restarted := z.newMirror(0)
				z.group.Go(func() { restarted.Run(z.ctx) })
				time.Sleep(time.Second)
				switch way {
				case "relay":
					z.mu.Lock()
					z.mirrors[0] = restarted
					z.frozen[0], z.cutOff[1] = false, false
					z.mu.Unlock()
					update, status := restarted.Await(z.ctx, follower.Revision(), time.Second)
					c.Check(status, qt.Equals, RelayBehind)
					c.Check(update.Changes, qt.HasLen, 0)
					time.Sleep(2 * detectionTime)
				case "peer":
					follower.Merge(restarted.Since(follower.Revision()))
				}
				c.Check(value(follower, "a/later"), qt.Equals, "x")
				c.Check(value(follower, "a/kept"), qt.Equals, "x")
				c.Check(value(follower, "a/removed"), qt.Equals, "-")
			})
		})
	}
}

// TestSuspendedRelayIsNotReliedOn guards against a relay that was suspended and passes on
// its old copy as confirmed: the monotonic clock stood still meanwhile.
func TestSuspendedRelayIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &Mirror{}
		_, status := m.Await(t.Context(), store.Revision{}, time.Second)
		c.Check(status, qt.Equals, RelayDetached, qt.Commentf("before the first listing"))
		m.confirm()
		_, status = m.Await(t.Context(), store.Revision{}, time.Second)
		c.Check(status, qt.Equals, RelayCurrent)
		c.Check(m.confirmed(time.Now().Round(0).Add(10*time.Second)), qt.IsFalse, qt.Commentf("by the wall clock alone"))
		time.Sleep(defaultWait + maxConfirmationAge)
		c.Check(m.FollowsService(), qt.IsFalse)
	})
}

// TestRelaysUnderFaults freezes and cuts off mirrors at random while keys are written and
// removed, and the service compacts its history. No copy goes back to an older value, and
// once the faults end, all have the state of the service within detectionTime.
func TestRelaysUnderFaults(t *testing.T) {
	const mirrors = 5
	type step struct {
		op, key string
		mirror  int
		pause   time.Duration
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			op:     rapid.SampledFrom([]string{"write", "write", "remove", "freeze", "wake", "cut", "join", "compact"}).Draw(t, "op"),
			key:    "a/" + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"),
			mirror: rapid.IntRange(0, mirrors-1).Draw(t, "mirror"),
			pause:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25)
	rapid.Check(t, func(r *rapid.T) {
		drawn := steps.Draw(r, "steps")
		runZone(t, 2, mirrors, func(c *qt.C, z *zone) {
			highest := make([]map[string]uint64, mirrors)
			for n := range highest {
				highest[n] = make(map[string]uint64)
			}
			checkVersions := func() {
				for n, m := range z.mirrors {
					for _, e := range m.ByPrefix("a/") {
						c.Assert(e.Version >= highest[n][e.Key], qt.IsTrue, qt.Commentf("mirror %d went back on %s", n, e.Key))
						highest[n][e.Key] = e.Version
					}
				}
			}
			for _, s := range drawn {
				switch s.op {
				case "write":
					z.feed.write(s.key, s.key)
				case "remove":
					z.feed.remove(s.key)
				case "freeze", "wake":
					z.set(z.frozen, s.mirror, s.op == "freeze")
				case "cut", "join":
					z.set(z.cutOff, s.mirror, s.op == "cut")
				case "compact":
					z.feed.withLock(func() { z.feed.changes, z.feed.compacted = nil, z.feed.revision })
				}
				time.Sleep(s.pause)
				checkVersions()
			}
			for n := range mirrors {
				z.set(z.frozen, n, false)
				z.set(z.cutOff, n, false)
			}
			z.feed.write("a/last", "last")
			took := z.awaitEverywhere("a/last", "last", nil)
			c.Check(took <= detectionTime, qt.IsTrue, qt.Commentf("%v", took))
			checkVersions()
			for n, m := range z.mirrors {
				z.feed.withLock(func() {
					c.Check(len(m.ByPrefix("a/")), qt.Equals, len(z.feed.entries), qt.Commentf("mirror %d", n))
				})
			}
		})
	})
}

// TestAgeOfRelayedCopy guards against a relayed copy that looks newer than what the service
// has last confirmed to its relay.
func TestAgeOfRelayedCopy(t *testing.T) {
	runZone(t, 1, 3, func(c *qt.C, z *zone) {
		for _, m := range z.mirrors {
			c.Check(m.Age() <= 2*defaultWait, qt.IsTrue, qt.Commentf("%v", m.Age()))
		}
		for n := range z.mirrors {
			z.set(z.cutOff, n, true)
		}
		const outage = 10 * time.Second
		time.Sleep(outage)
		for n, m := range z.mirrors {
			c.Check(m.Age() >= outage, qt.IsTrue, qt.Commentf("mirror %d: %v", n, m.Age()))
		}
	})
}

// TestRelayedCopyIsNotCurrentDuringOutage guards against a copy that counts as current
// although the relay, or the service behind it, has failed.
func TestRelayedCopyIsNotCurrentDuringOutage(t *testing.T) {
	runZone(t, 1, 3, func(c *qt.C, z *zone) {
		for _, m := range z.mirrors {
			c.Check(m.Current(), qt.IsTrue)
		}
		for n := range z.mirrors {
			z.set(z.cutOff, n, true)
		}
		time.Sleep(2*defaultWait + maxConfirmationAge)
		for n, m := range z.mirrors {
			c.Check(m.Current(), qt.IsFalse, qt.Commentf("mirror %d", n))
		}
		for n := range z.mirrors {
			z.set(z.cutOff, n, false)
		}
		time.Sleep(3 * directTime)
		for n, m := range z.mirrors {
			c.Check(m.Current(), qt.IsTrue, qt.Commentf("mirror %d", n))
		}
	})
}

// TestDetachedRelayIsNotCurrent guards against a copy that counts as current although its
// relay has said that it may not reach the service.
func TestDetachedRelayIsNotCurrent(t *testing.T) {
	runZone(t, 1, 2, func(c *qt.C, z *zone) {
		time.Sleep(defaultWait / 4) // amid a watch, whose response would confirm the relay again
		c.Check(z.mirrors[1].Current(), qt.IsTrue)
		z.set(z.cutOff, 1, true)
		z.mirrors[0].Detach()
		time.Sleep(10 * time.Millisecond)
		c.Check(z.mirrors[1].Current(), qt.IsFalse)
	})
}
