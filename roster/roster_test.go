package roster

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// leases is a store of keys under leases.
type leases struct {
	mu     sync.Mutex
	next   int
	live   map[store.LeaseID]time.Time
	keys   map[string]store.Entry
	under  map[string]store.LeaseID
	writes int
	// entering is called before a key is written.
	entering func()
}

func newLeases() *leases {
	return &leases{live: make(map[store.LeaseID]time.Time), keys: make(map[string]store.Entry), under: make(map[string]store.LeaseID)}
}

func (l *leases) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := store.LeaseID(strconv.Itoa(l.next))
	l.live[id] = time.Now().Add(ttl)
	return id, nil
}

func (l *leases) KeepAlive(_ context.Context, id store.LeaseID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.live[id]; !ok {
		return store.ErrNotFound
	}
	l.live[id] = time.Now().Add(leaseTime)
	return nil
}

func (l *leases) Revoke(_ context.Context, id store.LeaseID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.live, id)
	for key, under := range l.under {
		if under == id {
			delete(l.keys, key)
		}
	}
	return nil
}

func (l *leases) Acquire(_ context.Context, key string, value []byte, id store.LeaseID) error {
	if l.entering != nil {
		l.entering()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	l.keys[key] = store.Entry{Key: key, Value: value, Version: uint64(l.writes)}
	l.under[key] = id
	return nil
}

func (l *leases) entries() []store.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []store.Entry
	for _, e := range l.keys {
		all = append(all, e)
	}
	return all
}

// forget removes a key though its lease lives.
func (l *leases) forget(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.keys, key)
}

type silent struct{}

func (silent) InstanceSeen(Instance, bool)   {}
func (silent) InstanceGone(Instance, error)  {}
func (silent) RegistrationFailed(error)      {}
func (silent) EntryUnreadable(string, error) {}

// world is an instance and another one that may be dead.
type world struct {
	*qt.C
	*leases
	roster *Roster
	dead   atomic.Bool
}

func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{C: qt.New(t), leases: newLeases()}
		w.roster = &Roster{
			Self: Instance{ID: "self", Region: "cairo"}, Leases: w.leases, Observer: silent{},
			Away: func() time.Duration { return 0 },
			Ask: func(context.Context, Instance) error {
				if w.dead.Load() {
					return errors.New("no answer")
				}
				return nil
			},
		}
		value, err := json.Marshal(Instance{ID: "other", Region: "cairo"})
		w.Assert(err, qt.IsNil)
		w.Assert(w.Acquire(context.Background(), "other", value, "0"), qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { w.roster.Run(ctx) })
		w.pass(time.Second)
		test(w)
		cancel()
		group.Wait()
	})
}

// pass lets time pass while the store's entries are followed.
func (w *world) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.roster.Update(w.entries())
	}
}

func (w *world) live() int { return len(w.roster.In("cairo")) }

// TestKeyVanishesOfLiveInstance checks that an instance that still answers
// stays, and one that does not is dropped.
func TestKeyVanishesOfLiveInstance(t *testing.T) {
	inWorld(t, func(w *world) {
		w.Assert(w.live(), qt.Equals, 2)
		w.forget("other")
		w.pass(10 * time.Second)
		w.Assert(w.live(), qt.Equals, 2)
		w.dead.Store(true)
		w.pass(trustTime + 2*askInterval)
		w.Assert(w.live(), qt.Equals, 1)
	})
}

// TestOwnKeyVanishes checks that an instance enters itself again though its
// lease is said to live.
func TestOwnKeyVanishes(t *testing.T) {
	inWorld(t, func(w *world) {
		w.forget("self")
		w.pass(2 * askInterval)
		w.Assert(w.entries(), qt.HasLen, 2)
	})
}

// TestLeave checks that an instance that leaves is gone from the store and from
// its own view, and does not come back.
func TestLeave(t *testing.T) {
	inWorld(t, func(w *world) {
		w.Assert(w.roster.Leave(context.Background()), qt.IsNil)
		w.pass(5 * time.Second)
		w.Assert(w.entries(), qt.HasLen, 1)
		w.Assert(w.live(), qt.Equals, 1)
	})
}

// TestLeaveOvertakesRegistration leaves while the instance enters itself again.
// Its key must not stay.
func TestLeaveOvertakesRegistration(t *testing.T) {
	c := qt.New(t)
	l := newLeases()
	r := &Roster{Self: Instance{ID: "self"}, Leases: l, Observer: silent{}}
	l.entering = func() {
		l.entering = nil
		c.Assert(r.Leave(context.Background()), qt.IsNil)
	}
	r.register(context.Background())
	c.Assert(l.entries(), qt.HasLen, 0)
	r.register(context.Background())
	c.Assert(l.entries(), qt.HasLen, 0)
}
