package lease_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/lease"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

const key = "fuchsia/orders/cairo/desk"

func newStore(server *kv.Server) store.Store {
	return consul.NewWithTransport("http://kv", server.Transport())
}

// start starts a keeper with an open session. The returned function stops it.
func start(ctx context.Context, server *kv.Server) (*lease.Keeper, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	k := lease.NewKeeper(newStore(server), lease.DefaultConfig)
	go k.Run(ctx)
	_, _ = k.Acquire(ctx, "fuchsia/opens/the/session")
	synctest.Wait()
	return k, cancel
}

func inVirtualTime(t *testing.T, test func(c *qt.C, ctx context.Context, server *kv.Server)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		test(qt.New(t), ctx, kv.New())
	})
}

func TestOneHolderAndIncreasingFence(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		a, stopA := start(ctx, server)
		b, _ := start(ctx, server)
		first, err := a.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		_, err = b.Acquire(ctx, key)
		c.Assert(err, qt.ErrorIs, lease.ErrHeld)
		stopA()
		synctest.Wait()
		c.Assert(first.Valid(), qt.IsFalse)
		second, err := b.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(second.Fence > first.Fence, qt.IsTrue)
	})
}

// TestNeverTwoHolders checks that the lease of an instance that has lost the
// connection to the store becomes invalid before another instance can acquire it.
func TestNeverTwoHolders(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		var partitioned atomic.Bool
		transport := roundTripper(func(req *http.Request) (*http.Response, error) {
			if partitioned.Load() {
				return nil, errors.New("connection to the store lost")
			}
			return server.Transport().RoundTrip(req)
		})
		a := lease.NewKeeper(consul.NewWithTransport("http://kv", transport), lease.DefaultConfig)
		go a.Run(ctx)
		_, _ = a.Acquire(ctx, key)
		b, _ := start(ctx, server)
		first, err := a.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		partitioned.Store(true)
		var invalidSince time.Time
		for {
			time.Sleep(100 * time.Millisecond)
			if invalidSince.IsZero() && !first.Valid() {
				invalidSince = time.Now()
			}
			if _, err := b.Acquire(ctx, key); err == nil {
				break
			}
		}
		c.Assert(first.Valid(), qt.IsFalse)
		c.Assert(time.Since(invalidSince) >= lease.DefaultConfig.Margin-200*time.Millisecond, qt.IsTrue)
		<-first.Lost()
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

func TestAcquireAfterLostResponse(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		a, _ := start(ctx, server)
		server.SetFaults(kv.Faults{LoseWriteResponses: 1})
		held, err := a.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(held.Valid(), qt.IsTrue)
	})
}

// TestWritesDoNotGrowWithLeases checks that the number of writes that renew leases
// does not depend on the number of leases.
func TestWritesDoNotGrowWithLeases(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		a, _ := start(ctx, server)
		for i := range 100 {
			_, err := a.Acquire(ctx, fmt.Sprint(key, i))
			c.Assert(err, qt.IsNil)
		}
		before := server.Counters().Writes
		time.Sleep(time.Minute)
		renewals := uint64(time.Minute / (lease.DefaultConfig.TTL / 3))
		c.Assert(server.Counters().Writes-before <= renewals, qt.IsTrue)
	})
}

// TestIdleKeeperDoesNotWrite checks that an instance without leases makes no writes
// to the store.
func TestIdleKeeperDoesNotWrite(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		k := lease.NewKeeper(newStore(server), lease.DefaultConfig)
		go k.Run(ctx)
		time.Sleep(time.Hour)
		c.Assert(server.Counters().Writes, qt.Equals, uint64(0))
	})
}

// TestReleasedLease checks that a released lease is invalid and free for another instance,
// also if its key could not be deleted: the former holder acquires it again.
func TestReleasedLease(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, ctx context.Context, server *kv.Server) {
		a, _ := start(ctx, server)
		b, _ := start(ctx, server)
		first, err := a.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Release(ctx, first), qt.IsNil)
		c.Check(first.Valid(), qt.IsFalse)
		<-first.Lost()
		second, err := b.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Check(second.Valid(), qt.IsTrue)
		c.Check(a.Release(ctx, first), qt.IsNotNil) // the key of another holder stays
		c.Check(second.Valid(), qt.IsTrue)

		canceled, cancel := context.WithCancel(ctx)
		cancel()
		c.Check(b.Release(canceled, second), qt.IsNotNil)
		c.Check(second.Valid(), qt.IsFalse)
		again, err := b.Acquire(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Check(again.Valid(), qt.IsTrue)
	})
}

// ExampleKeeper acquires a lease and checks that it is valid.
func ExampleKeeper() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keeper := lease.NewKeeper(newStore(kv.New()), lease.DefaultConfig)
	go keeper.Run(ctx)
	for {
		held, err := keeper.Acquire(ctx, "fuchsia/example")
		if err != nil {
			time.Sleep(time.Millisecond) // the session is being opened
			continue
		}
		fmt.Println("held:", held.Valid())
		return
	}
	// Output: held: true
}
