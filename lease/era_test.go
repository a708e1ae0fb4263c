package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// eraStore grants sessions and keys, and returns from a copy without them.
type eraStore struct {
	Store
	era    uint64
	grants int
	holder map[string][]byte
}

func (s *eraStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.grants++
	return "1", nil
}

func (s *eraStore) KeepAlive(context.Context, store.LeaseID) error { return nil }

func (s *eraStore) Revoke(context.Context, store.LeaseID) error { return nil }

func (s *eraStore) Acquire(_ context.Context, key string, value []byte, _ store.LeaseID) error {
	if s.holder[key] != nil {
		return &store.Error{Effect: store.NotApplied, Cause: store.ErrConflict}
	}
	s.holder[key] = value
	return nil
}

func (s *eraStore) Get(_ context.Context, key string) (store.Entry, error) {
	return store.Entry{Key: key, Value: s.holder[key], Version: 1, Era: s.era}, nil
}

// cutStore is an eraStore as an instance reaches it.
type cutStore struct {
	*eraStore
	cut atomic.Bool
}

func (s *cutStore) KeepAlive(context.Context, store.LeaseID) error {
	if s.cut.Load() {
		return store.ErrUnavailable
	}
	return nil
}

// TestOneHolderThroughEras guards against two holders of a key after the store has returned
// from a copy without the first one's lease: the first one has renewed its session just
// before and learns of the new era last, the second one learns at once. The lease grants
// nothing from the moment at which its holder learns of the era.
func TestOneHolderThroughEras(t *testing.T) {
	for _, learnsAfter := range []time.Duration{0, time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			config := Config{TTL: 4 * time.Second, Margin: 400 * time.Millisecond}
			s := &eraStore{holder: make(map[string][]byte)}
			firstStore := &cutStore{eraStore: s}
			first, second := NewKeeper(firstStore, config), NewKeeper(s, config)
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			go first.Run(ctx)
			go second.Run(ctx)
			first.RequestSession()
			synctest.Wait()
			held, err := first.Acquire(ctx, "key")
			c.Assert(err, qt.IsNil)
			time.Sleep(config.TTL / renewalsPerTTL) // a renewal ends now
			synctest.Wait()
			rolledBack := time.Now()
			s.era, s.holder = 1, make(map[string][]byte)
			firstStore.cut.Store(true)
			c.Check(second.EnterEra(1), qt.Equals, 0)
			grants := s.grants
			for time.Since(rolledBack) < 3*config.TTL {
				if held.Valid() && time.Since(rolledBack) >= learnsAfter {
					c.Check(first.EnterEra(1), qt.Equals, 1)
					c.Check(held.Valid(), qt.IsFalse)
				}
				next, err := second.Acquire(ctx, "key")
				if err == nil {
					c.Check(held.Valid(), qt.IsFalse)
					c.Check(next.Valid(), qt.IsTrue)
					c.Check(next.Era, qt.Equals, uint64(1))
					c.Check(time.Since(rolledBack) >= config.TTL, qt.IsTrue)
					c.Check(s.grants, qt.Equals, grants+1)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.Fatalf("the second instance has no lease after %v", time.Since(rolledBack))
		})
	}
}

// TestEarlierEraDoesNotEndSession guards against a late report of the known era, or of an
// earlier one, that ends a session or delays the next.
func TestEarlierEraDoesNotEndSession(t *testing.T) {
	c := qt.New(t)
	k := NewKeeper(&eraStore{}, DefaultConfig)
	k.EnterEra(3)
	c.Check(k.waitsForEra(), qt.IsTrue)
	k.held = expiry{}
	k.session = &session{expires: k.sessionExpiry(time.Now()), leases: make(map[*Lease]bool)}
	for _, era := range []uint64{0, 2, 3} {
		c.Check(k.EnterEra(era), qt.Equals, 0)
		c.Check(k.HasSession(), qt.IsTrue)
		c.Check(k.waitsForEra(), qt.IsFalse)
	}
}

// newEraStore returns from an older copy before it acquires a key, as if the lease had the
// number of one of the new era.
type newEraStore struct {
	*eraStore
	keeper  *Keeper
	deleted []store.Op
}

func (s *newEraStore) Acquire(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	s.era = 1
	s.keeper.EnterEra(1)
	_ = s.eraStore.Acquire(ctx, key, value, id)
	return &store.Error{Effect: store.MayBeApplied}
}

func (s *newEraStore) Txn(_ context.Context, ops []store.Op) error {
	s.deleted = ops
	return nil
}

// TestKeyOfEarlierSessionIsDeleted guards against a key that nobody can acquire, because it
// was written in a new era under a lease that is another instance's there.
func TestKeyOfEarlierSessionIsDeleted(t *testing.T) {
	c := qt.New(t)
	s := &newEraStore{eraStore: &eraStore{holder: make(map[string][]byte)}}
	s.keeper = NewKeeper(s, DefaultConfig)
	s.keeper.session = &session{id: "1", value: []byte("v"), expires: s.keeper.sessionExpiry(time.Now()), leases: make(map[*Lease]bool)}
	_, err := s.keeper.Acquire(t.Context(), "key")
	c.Check(err, qt.ErrorIs, ErrNoSession)
	c.Check(s.deleted, qt.DeepEquals, []store.Op{{Kind: store.OpCheck, Key: "key", Version: 1, Era: 1}, {Kind: store.OpDelete, Key: "key"}})
}
