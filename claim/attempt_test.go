package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

func newTestClaimer(tb testing.TB, s store.Store) *Claimer {
	c, err := New(s, Config{Secret: []byte("0123456789abcdef"), Retention: time.Hour})
	qt.Assert(tb, err, qt.IsNil)
	return c
}

// duplicatingStore is a store that applies the next write twice and calls
// beforeSecond in between.
type duplicatingStore struct {
	store.Store
	beforeSecond func()
}

func (d *duplicatingStore) Txn(ctx context.Context, ops []store.Op) error {
	if d.beforeSecond != nil {
		beforeSecond := d.beforeSecond
		d.beforeSecond = nil
		if err := d.Store.Txn(ctx, ops); err != nil {
			return err
		}
		beforeSecond()
	}
	return d.Store.Txn(ctx, ops)
}

// TestLateReleaseKeepsAnotherClaim guards against a release that is delivered
// twice and releases the claim that another attempt acquired in between.
func TestLateReleaseKeepsAnotherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := consul.NewWithTransport("http://kv", kv.New().Transport())
		duplicating := &duplicatingStore{Store: client}
		first, second, third := newTestClaimer(t, duplicating), newTestClaimer(t, client), newTestClaimer(t, client)
		req := Request{Caller: "press", Service: "orders", Key: NewKey(time.Now(), "random-0")}
		a, err := first.Claim(context.Background(), req)
		qt.Assert(t, err, qt.IsNil)
		duplicating.beforeSecond = func() {
			_, err := second.Claim(context.Background(), req)
			qt.Check(t, err, qt.IsNil)
		}
		a.Finish(outcome.NotRun)
		qt.Assert(t, first.Flush(context.Background()), qt.IsNil)
		_, err = third.Claim(context.Background(), req)
		var duplicate *DuplicateError
		qt.Assert(t, errors.As(err, &duplicate), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// TestOldKeyIsRefusedAfterTheWrite covers an instance that is suspended between
// the first check of the age of a key and its write, until an older record of the
// key may have been deleted.
func TestOldKeyIsRefusedAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClaimer(t, consul.NewWithTransport("http://kv", kv.New().Transport()))
		a := c.newAttempt(Request{}, time.Now().Add(-2*time.Hour))
		qt.Assert(t, c.register(a), qt.IsNil)
		_, err := c.claimResult(a, writeResult{})
		qt.Assert(t, err, qt.ErrorIs, ErrExpiredKey)
		qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
	})
}

// throttledStore is a store that rejects the next writes with ErrThrottled.
type throttledStore struct {
	store.Store
	throttledWrites int
}

func (s *throttledStore) Txn(ctx context.Context, ops []store.Op) error {
	if s.throttledWrites > 0 {
		s.throttledWrites--
		return &store.Error{Op: "txn", Cause: store.ErrThrottled}
	}
	return s.Store.Txn(ctx, ops)
}

// TestClaimWaitsWhileThrottled checks that a claim is retried while the call rate
// limit of the store rejects it.
func TestClaimWaitsWhileThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &throttledStore{Store: consul.NewWithTransport("http://kv", kv.New().Transport())}
		c := newTestClaimer(t, s)
		for i, throttledWrites := range []int{0, 10} {
			s.throttledWrites = throttledWrites
			a, err := c.Claim(context.Background(), Request{Key: NewKey(time.Now(), fmt.Sprint("random-", i))})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("after %d throttled writes", throttledWrites))
			a.Finish(outcome.Served)
		}
		qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
	})
}
