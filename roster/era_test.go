package roster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// countedLeases counts the grants and writes of each tenth of a second.
type countedLeases struct {
	*leases
	counts sync.Map // by tenth of a second: *int, guarded by leases.mu
}

func (l *countedLeases) count() {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.counts.LoadOrStore(time.Now().UnixMilli()/100, new(int))
	*n.(*int)++
}

func (l *countedLeases) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	l.count()
	return l.leases.Grant(ctx, ttl)
}

func (l *countedLeases) Acquire(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	l.count()
	return l.leases.Acquire(ctx, key, value, id)
}

// TestRegistrationsAreSpreadInNewEra guards against 350 instances that all write to the
// store as soon as it has lost their leases: it allows 1,200 writes per second. The renewals
// that find the lease gone do not register the instance before its time either.
func TestRegistrationsAreSpreadInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const instances = 350
		l := &countedLeases{leases: newLeases()}
		ctx, cancel := context.WithCancel(t.Context())
		var rosters []*Roster
		for n := range instances {
			r := &Roster{Self: Instance{ID: fmt.Sprint(n)}, Leases: l, Prefix: "i/", Observer: noopObserver{}, StoreOutage: func() time.Duration { return 0 }}
			rosters = append(rosters, r)
			go r.Run(ctx)
			time.Sleep(probeInterval / instances)
		}
		time.Sleep(time.Second)
		c.Assert(l.entries(), qt.HasLen, instances)
		l.mu.Lock()
		clear(l.keys)
		clear(l.expires)
		l.counts.Clear()
		l.mu.Unlock()
		for _, r := range rosters {
			r.EnterEra(1)
		}
		time.Sleep(reregisterSpread + probeInterval)
		c.Check(l.entries(), qt.HasLen, instances)
		l.counts.Range(func(_, n any) bool {
			c.Check(*n.(*int) <= 120, qt.IsTrue, qt.Commentf("%d writes in 0.1 s", *n.(*int)))
			return true
		})
		cancel()
		synctest.Wait()
	})
}
