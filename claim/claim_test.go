package claim_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

var testConfig = claim.Config{Secret: []byte("0123456789abcdef"), Retention: time.Hour}

func newClaimer(tb testing.TB, server *kv.Server) *claim.Claimer {
	c, err := claim.New(consul.NewWithTransport("http://kv", server.Transport()), testConfig)
	qt.Assert(tb, err, qt.IsNil)
	return c
}

func request(key string) claim.Request {
	return claim.Request{Caller: "press", Service: "orders", Key: key, Content: [][]byte{[]byte("two swatches")}}
}

func newKey(i int) string { return claim.NewKey(time.Now(), "random-"+strconv.Itoa(i)) }

// TestClaimsPerWrite checks how many claims share one write transaction. Each call
// writes its record twice: the claim and the outcome.
func TestClaimsPerWrite(t *testing.T) {
	for _, test := range []struct {
		perSecond  int
		storeDelay time.Duration
		minRatio   float64 // lower bound of claims per write; 0 at low load
	}{
		{20, 5 * time.Millisecond, 0},
		{200, 5 * time.Millisecond, 0},
		{1000, 5 * time.Millisecond, 10},
		{1500, 5 * time.Millisecond, 10},
		{1000, 60 * time.Millisecond, 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 5
			server := kv.New()
			server.SetFaults(kv.Faults{Delay: test.storeDelay})
			c := newClaimer(t, server)
			var group sync.WaitGroup
			for i := range test.perSecond * seconds {
				group.Go(func() {
					a, err := c.Claim(context.Background(), request(newKey(i)))
					if err == nil {
						time.Sleep(10 * time.Millisecond) // duration of the call
						a.Finish(outcome.Served)
					}
				})
				time.Sleep(time.Second / time.Duration(test.perSecond))
			}
			group.Wait()
			qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
			stats, writes := c.Stats(), server.Counters().Writes
			ratio := float64(stats.Claims) / float64(writes)
			t.Logf("%d calls/s, store delay %v: %d claims, %d writes, %.1f claims per write",
				test.perSecond, test.storeDelay, stats.Claims, writes, ratio)
			qt.Assert(t, stats.Claims, qt.Equals, uint64(test.perSecond*seconds))
			qt.Assert(t, ratio >= test.minRatio, qt.IsTrue)
		})
	}
}

func TestConflictFailsOnlyItsOwnClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		a, err := newClaimer(t, server).Claim(context.Background(), request(newKey(0)))
		qt.Assert(t, err, qt.IsNil)
		a.Finish(outcome.Served)
		time.Sleep(time.Second)
		other := newClaimer(t, server)
		errs := make([]error, 50)
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() {
				_, errs[i] = other.Claim(context.Background(), request(claim.NewKey(time.Now().Add(-time.Second), "random-"+strconv.Itoa(i))))
			})
		}
		group.Wait()
		qt.Assert(t, errs[0], qt.ErrorMatches, ".*outcome served")
		for _, err := range errs[1:] {
			qt.Assert(t, err, qt.IsNil)
		}
	})
}

func TestLostResponseIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		c := newClaimer(t, server)
		_, err := c.Claim(context.Background(), request(newKey(0)))
		qt.Assert(t, err, qt.IsNil)
		server.SetFaults(kv.Faults{LoseWriteResponses: 1})
		_, err = c.Claim(context.Background(), request(newKey(1)))
		qt.Assert(t, err, qt.IsNil)
	})
}

func TestNotRunReleasesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		first, second := newClaimer(t, server), newClaimer(t, server)
		key := newKey(0)
		a, err := first.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.IsNil)
		_, err = second.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.ErrorMatches, ".*outcome unknown")
		a.Finish(outcome.NotRun)
		_, err = second.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.IsNil)
		_, err = first.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.ErrorMatches, ".*outcome unknown")
	})
}

func TestOutcomeIsWrittenAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		c, other := newClaimer(t, server), newClaimer(t, server)
		key := newKey(0)
		a, err := c.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.IsNil)
		server.SetFaults(kv.Faults{Down: true})
		a.Finish(outcome.Served)
		time.Sleep(10 * time.Second)
		server.SetFaults(kv.Faults{})
		qt.Assert(t, c.Flush(context.Background()), qt.IsNil)
		_, err = other.Claim(context.Background(), request(key))
		qt.Assert(t, err, qt.ErrorMatches, ".*outcome served")
	})
}

func TestClaimFailsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		c := newClaimer(t, server)
		server.SetFaults(kv.Faults{Down: true})
		_, err := c.Claim(context.Background(), request(newKey(0)))
		qt.Assert(t, err, qt.ErrorIs, claim.ErrUnavailable)
	})
}

func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaimer(t, kv.New())
		ctx := context.Background()
		_, err := c.Claim(ctx, request(claim.NewKey(time.Now().Add(-time.Hour-time.Second), "random-0")))
		qt.Assert(t, err, qt.ErrorIs, claim.ErrExpiredKey)
		for _, key := range []string{"", "order-17", newKey(0)[:17], claim.NewKey(time.Now().Add(time.Hour), "random-0")} {
			_, err = c.Claim(ctx, request(key))
			qt.Assert(t, err, qt.ErrorIs, claim.ErrMalformedKey, qt.Commentf("%q", key))
		}
		_, err = c.Claim(ctx, request(newKey(1)))
		qt.Assert(t, err, qt.IsNil)
		other := request(newKey(1))
		other.Content = [][]byte{[]byte("three swatches")}
		_, err = c.Claim(ctx, other)
		qt.Assert(t, err, qt.ErrorIs, claim.ErrReusedKey)
		other.Caller = "ministry"
		_, err = c.Claim(ctx, other)
		qt.Assert(t, err, qt.IsNil)
	})
}

func TestDifferentParametersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		_, err := newClaimer(t, server).Claim(context.Background(), request(newKey(0)))
		qt.Assert(t, err, qt.IsNil)
		for _, config := range []claim.Config{
			{Secret: []byte("another secret..."), Retention: time.Hour},
			{Secret: testConfig.Secret, Retention: 2 * time.Hour},
		} {
			c, err := claim.New(consul.NewWithTransport("http://kv", server.Transport()), config)
			qt.Assert(t, err, qt.IsNil)
			_, err = c.Claim(context.Background(), request(newKey(1)))
			qt.Assert(t, err, qt.ErrorMatches, ".*secret or retention differ.*")
		}
	})
}

// TestStoreHoldsDigestsOnly checks that no plaintext of a request is stored.
func TestStoreHoldsDigestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New()
		_, err := newClaimer(t, server).Claim(context.Background(), request(newKey(0)))
		qt.Assert(t, err, qt.IsNil)
		var s store.Store = consul.NewWithTransport("http://kv", server.Transport())
		entries, _, err := s.List(context.Background(), "claims/")
		qt.Assert(t, err, qt.IsNil)
		for _, entry := range entries {
			qt.Assert(t, entry.Key+string(entry.Value), qt.Not(qt.Matches), "(?s).*(press|orders|random-0|swatches).*")
		}
		qt.Assert(t, entries, qt.HasLen, 2)
	})
}
