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

// delaying is a store in which a write takes effect, and something else
// happens, before a repetition of that write arrives.
type delaying struct {
	store.Store
	between func()
}

func (d *delaying) Txn(ctx context.Context, ops []store.Op) error {
	if d.between != nil {
		between := d.between
		d.between = nil
		if err := d.Store.Txn(ctx, ops); err != nil {
			return err
		}
		between()
	}
	return d.Store.Txn(ctx, ops)
}

// TestLateReleaseKeepsAnotherClaim lets a release arrive twice, with the claim
// of another attempt in between.
func TestLateReleaseKeepsAnotherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := consul.NewWithTransport("http://kv", kv.New().Transport())
		slow := &delaying{Store: client}
		first, second, third := newTestClaimer(t, slow), newTestClaimer(t, client), newTestClaimer(t, client)
		req := Request{Caller: "press", Service: "orders", Key: NewKey(time.Now(), "random-0")}
		a, err := first.Claim(context.Background(), req)
		qt.Assert(t, err, qt.IsNil)
		slow.between = func() {
			_, err := second.Claim(context.Background(), req)
			qt.Check(t, err, qt.IsNil)
		}
		a.Finish(outcome.NotRun)
		qt.Assert(t, first.Flush(context.Background()), qt.IsNil)
		_, err = third.Claim(context.Background(), req)
		var taken *Taken
		qt.Assert(t, errors.As(err, &taken), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// TestOldKeyIsRefusedAfterTheWrite covers an instance that was frozen between
// the first check of a key and its write, until the record was deleted.
func TestOldKeyIsRefusedAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClaimer(t, consul.NewWithTransport("http://kv", kv.New().Transport()))
		a := c.newAttempt(Request{}, time.Now().Add(-2*time.Hour))
		qt.Assert(t, c.enter(a), qt.IsNil)
		_, err := c.judge(a, writeState{})
		qt.Assert(t, err, qt.ErrorIs, ErrExpiredKey)
		qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
	})
}

// scarce is a store whose budget refuses the first writes.
type scarce struct {
	store.Store
	refusals int
}

func (s *scarce) Txn(ctx context.Context, ops []store.Op) error {
	if s.refusals > 0 {
		s.refusals--
		return &store.Error{Op: "txn", Cause: store.ErrThrottled}
	}
	return s.Store.Txn(ctx, ops)
}

// TestClaimWaitsForTheBudget claims while the budget of the store is used up.
func TestClaimWaitsForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scarce{Store: consul.NewWithTransport("http://kv", kv.New().Transport())}
		c := newTestClaimer(t, s)
		for i, refusals := range []int{0, 10} {
			s.refusals = refusals
			a, err := c.Claim(context.Background(), Request{Key: NewKey(time.Now(), fmt.Sprint("random-", i))})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("after %d refusals", refusals))
			a.Finish(outcome.Served)
		}
		qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
	})
}
