package hosted

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/lease"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// stalledStore is a store that opens sessions and does not respond to other calls.
type stalledStore struct {
	platform.ExclusiveLeases
	inFlight *atomic.Int64
}

func (s stalledStore) Acquire(ctx context.Context, _ string, _ []byte, _ store.LeaseID) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	<-ctx.Done()
	return ctx.Err()
}

// TestLeaseCallsAreBounded guards against a burst of calls to a slow store when many
// servers are cold: an update begins calls before it has counted those in flight.
func TestLeaseCallsAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureCold()
	const servers = 40
	for range servers {
		f.startColdServer()
	}
	n := f.start(f.settings("cairo")).waitForServers(servers)
	l := newServerLeases(n.Instance)
	var inFlight atomic.Int64
	l.keeper = lease.NewKeeper(stalledStore{platform.ExclusiveLeases{Store: n.store}, &inFlight}, serverLeaseConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(ctx)
	f.eventually("calls", func() bool { return inFlight.Load() > 0 })
	time.Sleep(2 * time.Second)
	f.Check(inFlight.Load() <= maxLeaseCalls, qt.IsTrue, qt.Commentf("%d calls in flight, limit %d", inFlight.Load(), maxLeaseCalls))
}
