package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// region is a set of instances that exchange the states of their share tables once
// a second.
type region struct {
	now      time.Time
	random   *rand.Rand
	names    []string
	tables   []*share.Table
	limiters []*Limiter
	service  *catalog.Service
	isolated map[int]bool // instances that neither send nor receive states
	admitted []time.Time
}

func newRegion(instances int, limits catalog.Limits) *region {
	r := &region{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(2, 2)),
		service: &catalog.Service{Name: "drafting-desk", Limits: limits}, isolated: map[int]bool{},
	}
	for i := range instances {
		r.names = append(r.names, fmt.Sprintf("entry-%d", i))
	}
	for i := range instances {
		config := share.DefaultConfig("limits", r.names[i])
		config.Clock = func() time.Time { return r.now }
		table := share.NewTable(config)
		table.SetMembers(r.names)
		r.tables = append(r.tables, table)
		r.limiters = append(r.limiters, New(table, uint64(i)))
	}
	return r
}

const step = 10 * time.Millisecond

// run sends requests of one caller for duration, at the given rates per second by
// instance. Each admitted request is in flight for holdTime.
func (r *region) run(duration, holdTime time.Duration, rates map[int]float64) {
	type activeRequest struct {
		endsAt      time.Time
		reservation Reservation
	}
	var active []activeRequest
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(step) {
		if r.now.UnixNano()%int64(time.Second) == 0 {
			r.exchange()
		}
		for len(active) > 0 && !active[0].endsAt.After(r.now) {
			active[0].reservation.Done(100)
			active = active[1:]
		}
		for i := range r.limiters {
			if r.random.Float64() >= rates[i]*step.Seconds() {
				continue
			}
			if reservation, refusal := r.limiters[i].Admit(r.now, r.service, "press", 100); refusal == nil {
				r.admitted = append(r.admitted, r.now)
				active = append(active, activeRequest{r.now.Add(holdTime), reservation})
			}
		}
	}
	for _, a := range active {
		a.reservation.Done(100)
	}
}

func (r *region) exchange() {
	for i, from := range r.tables {
		state := from.State()
		for j, to := range r.tables {
			if i != j && !r.isolated[i] && !r.isolated[j] {
				_ = to.Merge(r.names[i], state)
			}
		}
	}
	for _, l := range r.limiters {
		l.Tick(r.now)
	}
}

// maxAdmittedWithin returns the largest number of requests admitted within any
// period of the length of window.
func (r *region) maxAdmittedWithin(window time.Duration) int {
	most, first := 0, 0
	for last, at := range r.admitted {
		for at.Sub(r.admitted[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestLimitHoldsOverAllInstances(t *testing.T) {
	const perSecond, instances, window = 20, 7, 10 * time.Second
	bound := perSecond*10 + perSecond + instances
	for _, test := range []struct {
		name  string
		rates map[int]float64
		least float64 // admitted requests per second; the shares first adjust to the demand
	}{
		{"one instance", map[int]float64{0: 60}, 0.7 * perSecond},
		{"two instances", map[int]float64{1: 20, 2: 40}, 0.75 * perSecond},
		{"all instances", map[int]float64{0: 60, 1: 60, 2: 60, 3: 60, 4: 60, 5: 60, 6: 60}, 0.9 * perSecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRegion(instances, catalog.Limits{RequestsPerSecond: perSecond})
			r.run(10*time.Second, 0, nil)
			r.run(60*time.Second, 0, test.rates)
			t.Logf("most requests admitted within 10 s: %d, bound %d; admitted in 60 s: %d", r.maxAdmittedWithin(window), bound, len(r.admitted))
			c.Check(r.maxAdmittedWithin(window) <= bound, qt.IsTrue)
			c.Check(float64(len(r.admitted)) >= test.least*60, qt.IsTrue)
		})
	}
}

// TestLimitHoldsWhileDemandMoves covers a caller that moves all its requests from one
// instance to another, and then sends to both while a partition isolates the second.
func TestLimitHoldsWhileDemandMoves(t *testing.T) {
	c := qt.New(t)
	r := newRegion(7, catalog.Limits{RequestsPerSecond: 20})
	r.run(10*time.Second, 0, nil)
	r.run(20*time.Second, 0, map[int]float64{0: 100})
	r.run(20*time.Second, 0, map[int]float64{1: 100})
	r.isolated[1] = true
	r.run(30*time.Second, 0, map[int]float64{0: 100, 1: 100})
	t.Logf("most requests admitted within 10 s: %d", r.maxAdmittedWithin(10*time.Second))
	c.Check(r.maxAdmittedWithin(10*time.Second) <= 200+20+7, qt.IsTrue)
}

func TestInFlightHoldsOverAllInstances(t *testing.T) {
	c := qt.New(t)
	r := newRegion(7, catalog.Limits{InFlight: 30})
	r.run(10*time.Second, 0, nil)
	r.run(30*time.Second, time.Second, map[int]float64{0: 80, 1: 80, 2: 80})
	t.Logf("most requests in flight (admitted within their hold time of 1 s): %d", r.maxAdmittedWithin(time.Second))
	c.Check(r.maxAdmittedWithin(time.Second) <= 30, qt.IsTrue)
	c.Check(len(r.admitted) >= 20*30, qt.IsTrue)
}

func TestDoneChargesActualTokens(t *testing.T) {
	c := qt.New(t)
	r := newRegion(1, catalog.Limits{TokensPerSecond: 100})
	admit := func() (Reservation, *Refusal) { return r.limiters[0].Admit(r.now, r.service, "press", 10) }
	reservation, refusal := admit()
	c.Assert(refusal, qt.IsNil)
	reservation.Done(1100) // 110 times the estimate
	_, refusal = admit()
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Limit, qt.Equals, Tokens)
	c.Check(refusal.RetryAfter >= 10*time.Second, qt.IsTrue)
	r.now = r.now.Add(11 * time.Second)
	reservation, refusal = admit()
	c.Assert(refusal, qt.IsNil)
	// A debt that takes longer than idleTimeout to refill is not lost when the
	// caller is idle.
	reservation.Done(100_000)
	r.now = r.now.Add(2 * idleTimeout)
	r.exchange()
	_, refusal = admit()
	c.Check(refusal, qt.IsNotNil)
}

// TestRefusalTellsWhatDecidedIt guards against refusals whose cause, the share of the
// instance or the use of it, cannot be read from the logs.
func TestRefusalTellsWhatDecidedIt(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	refused := func(limits catalog.Limits) *Refusal {
		r := newRegion(4, limits)
		r.now = r.now.Add(11 * time.Second)
		for range 100 {
			if _, refusal := r.limiters[0].Admit(r.now, r.service, "press", 10); refusal != nil {
				return refusal
			}
			r.now = r.now.Add(time.Microsecond)
		}
		return nil
	}
	for _, test := range []struct {
		limits        catalog.Limits
		limit         Kind
		allowed, used float64
	}{
		{catalog.Limits{InFlight: 20}, InFlight, 5, 5},
		{catalog.Limits{RequestsPerSecond: 20}, Requests, 5, 5},
		{catalog.Limits{TokensPerSecond: 200}, Tokens, 50, 50},
	} {
		refusal := refused(test.limits)
		c.Assert(refusal, qt.IsNotNil)
		c.Check(refusal.Limit, qt.Equals, test.limit)
		c.Check(refusal.Allowed, qt.Equals, test.allowed)
		c.Check(math.Round(refusal.Used), qt.Equals, test.used)
		c.Check(refusal.Share, qt.Equals, share.Share{Fraction: 0.25, HeldUnits: share.UnitsPerMember, Members: 4, Bound: share.Isolated})
		c.Check(refusal.ShareAge > 0, qt.IsTrue)
	}
}

func TestCanceledRequestIsNotCharged(t *testing.T) {
	c := qt.New(t)
	r := newRegion(1, catalog.Limits{RequestsPerSecond: 1, InFlight: 1})
	for range 100 {
		reservation, refusal := r.limiters[0].Admit(r.now, r.service, "press", 10)
		c.Assert(refusal, qt.IsNil)
		reservation.Cancel()
	}
}

func TestStateOfIdleCallersIsDropped(t *testing.T) {
	c := qt.New(t)
	r := newRegion(1, catalog.Limits{RequestsPerSecond: 10})
	for i := range 2000 {
		reservation, refusal := r.limiters[0].Admit(r.now, r.service, fmt.Sprint(i), 10)
		c.Assert(refusal, qt.IsNil)
		reservation.Done(10)
	}
	c.Check(r.limiters[0].Callers(), qt.Equals, 2000)
	r.now = r.now.Add(idleTimeout + time.Second)
	r.exchange()
	c.Check(r.limiters[0].Callers(), qt.Equals, 0)
}

func BenchmarkAdmit(b *testing.B) {
	for _, callers := range []int{10, 100, 1000, 2000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			r := newRegion(1, catalog.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e9, InFlight: 1 << 20})
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprintf("caller-%04d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				reservation, _ := r.limiters[0].Admit(r.now, r.service, names[i%callers], 100)
				reservation.Done(120)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	r := newRegion(1, catalog.Limits{RequestsPerSecond: 1e9})
	for i := range 2000 {
		reservation, _ := r.limiters[0].Admit(r.now, r.service, fmt.Sprint(i), 100)
		reservation.Done(100)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.limiters[0].Tick(r.now)
	}
}
