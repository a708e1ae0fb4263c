package quota

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// flood is 7.5 times the usual load, which is 1/1.8 of the quota.
const flood = 7.5 / 1.8

// ask sets the demand as a multiple of the quota, and its parts by region.
func (f *fleet) ask(multiple float64, parts ...float64) {
	for region, part := range parts {
		f.demand[region] = f.organization.Quota.Rate * multiple * part
	}
}

func evenParts() []float64 { return []float64{0.45, 0.33, 0.22} }

// TestBound guards against instances that together admit more than the bound in any
// window, whatever fails meanwhile.
func TestBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{18000, 60000, 200000, 2e6}).Draw(t, "rate")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rate, rate, 27, 20, 14)
		f.run(time.Duration(rapid.IntRange(0, 5).Draw(t, "idle")) * time.Second)
		for range 6 {
			f.ask(rapid.SampledFrom([]float64{0.55, 1, flood, flood}).Draw(t, "demand"),
				rapid.SampledFrom([][]float64{evenParts(), {0.93, 0.06, 0.01}, {0.06, 0.01, 0.93}}).Draw(t, "parts")...)
			f.fail(rapid.SampledFrom([]string{"nothing", "loss", "cut", "healed", "restart", "restart all", "restart collectors", "suspend", "resume"}).Draw(t, "event"))
			f.run(time.Duration(rapid.IntRange(5, 40).Draw(t, "time")) * 100 * time.Millisecond)
		}
		if most, limit := f.most(start), limit(&f.organization.Quota); most > limit {
			t.Fatalf("%.0f units in a window, bound %.0f", most, limit)
		}
	})
}

// TestBoundInFlood guards against a flood that begins at all instances at once, also while
// a region is cut off, and against restarts that forget what was spent.
func TestBoundInFlood(t *testing.T) {
	t.Parallel()
	for _, event := range []string{"nothing", "cut", "cut at once", "restart all", "restart", "suspend"} {
		for _, rate := range []float64{18000, 60000, 200000, 2e6} {
			f := newFleet(1, rate, rate, 27, 20, 14)
			f.run(8 * time.Second)
			f.ask(1/1.8, evenParts()...)
			f.run(6 * time.Second)
			if event == "cut" {
				f.fail(event)
				f.run(5 * time.Second)
			}
			if event == "cut at once" {
				f.fail("cut")
			}
			f.ask(flood, evenParts()...)
			for range 6 {
				f.run(2 * time.Second)
				f.fail(event)
				f.run(500 * time.Millisecond)
				f.fail("resume")
			}
			bound := limit(&f.organization.Quota)
			t.Logf("%s, %.0f tokens/s: at most %.3f of the bound", event, rate, f.most(start)/bound)
			qt.Check(t, f.most(start) <= bound, qt.IsTrue, qt.Commentf("%s, rate %v: %.0f units, bound %.0f", event, rate, f.most(start), bound))
		}
	}
}

// fail makes an event happen.
func (f *fleet) fail(event string) {
	switch event {
	case "loss":
		f.loss = 0.2
	case "cut":
		f.cut[f.regions[0]] = f.now
	case "healed":
		f.loss = 0
		clear(f.cut)
	}
	for k, n := range f.nodes {
		switch {
		case event == "restart all", event == "restart" && k%3 == 0, event == "restart collectors" && slices.Contains(f.collectors[n.region], n.id):
			f.restart(n)
		case event == "suspend" && k%3 == 1:
			n.suspended = true
		case event == "resume":
			n.suspended = false
		}
	}
}

// TestNothingIsRefusedBelowQuota guards against refusals while the usual load of an
// organization moves between regions, and its requests arrive at random instances.
func TestNothingIsRefusedBelowQuota(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{18000, 60000, 200000, 2e6} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, rate, rate, 27, 20, 14)
			f.conforming = true
			f.run(10 * time.Second) // the buckets start empty
			f.ask(1/1.8, evenParts()...)
			f.run(10 * time.Second)
			for k := range 52 { // to the other region within 2 s, and back
				x := 0.87 * float64(13-max(k%26-13, 13-k%26)) / 13
				f.ask(1/1.8, 0.06+x, 0.93-x, 0.01)
				f.run(150 * time.Millisecond)
			}
			qt.Check(t, f.refusals, qt.HasLen, 0, qt.Commentf("of %d requests", f.requests))
		})
	}
}

// TestFloodKeepsQuota guards against a limit that is too strict: during a flood, the
// organization receives its quota.
func TestFloodKeepsQuota(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{60000, 2e6} {
		f := newFleet(1, rate, rate, 27, 20, 14)
		f.ask(flood, evenParts()...)
		f.run(10 * time.Second)
		from := f.admittedUnits()
		f.run(20 * time.Second)
		qt.Check(t, f.admittedUnits()-from > 0.9*20*rate, qt.IsTrue, qt.Commentf("%.0f units", f.admittedUnits()-from))
	}
}

func (f *fleet) admittedUnits() (sum float64) {
	for _, c := range f.admitted {
		sum += c.cost
	}
	return sum
}

// TestLowerQuotaBinds guards against a quota that is lowered far below what is sent, but
// takes effect late.
func TestLowerQuotaBinds(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 2e6, 2e6, 27, 20, 14)
	f.run(8 * time.Second) // until the buckets are full
	f.ask(flood, evenParts()...)
	f.organization = organization(2e5, 2e5)
	for _, n := range f.nodes {
		f.configure(n)
	}
	changed := f.now
	f.run(bounds.Window + 10*time.Second)
	bound := limit(&f.organization.Quota)
	qt.Check(t, f.most(changed) <= bound, qt.IsTrue, qt.Commentf("%.0f units, bound %.0f", f.most(changed), bound))
}

// single returns the limiter of the only instance, with a full bucket.
func single(rate float64) (*fleet, *Limiter) {
	f := newFleet(1, rate, rate, 1)
	f.run(5 * time.Second)
	return f, f.nodes[0].limiter
}

// TestRefund guards against charges of requests that did not run.
func TestRefund(t *testing.T) {
	t.Parallel()
	f, l := single(1000)
	for range 20 {
		reservation, refusal := l.Charge(f.now, f.organization, 900)
		qt.Assert(t, refusal, qt.IsNil)
		reservation.Cancel()
	}
	_, refusal := l.Charge(f.now, f.organization, 1e9)
	qt.Assert(t, refusal, qt.IsNotNil)
	qt.Check(t, refusal.Reason, qt.Equals, LargerThanAll)
}

// TestReturnsAreSpread guards against callers that are refused together and told to
// return together, and against times that are too early for the refill.
func TestReturnsAreSpread(t *testing.T) {
	t.Parallel()
	f, l := single(1000)
	var waits []time.Duration
	for range 230 {
		if _, refusal := l.Charge(f.now, f.organization, 500); refusal != nil {
			waits = append(waits, refusal.RetryAfter)
		}
	}
	bySecond := make(map[int]int)
	for _, wait := range waits {
		qt.Assert(t, wait >= minRetryAfter && wait <= maxRetryAfter, qt.IsTrue, qt.Commentf("%v", wait))
		bySecond[int(wait.Seconds())]++
	}
	for second, count := range bySecond {
		if second < 40 {
			qt.Check(t, count <= 4, qt.IsTrue, qt.Commentf("%d callers return in second %d, which has room for 2", count, second))
		}
	}
}

// TestMessageIsChecked guards against messages that cannot be right, and against ones that
// grow with the number of organizations.
func TestMessageIsChecked(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, text := range []string{
		`[]`, `{"spending":"AAA="}`, `{"covered":-1}`, `{"covered":5000}`, `{"silent":2}`, `{"silent":-1}`, `{"spending":"AAAAAAAAAAAAAMB/AAAAAA=="}`,
	} {
		c.Check(json.Unmarshal([]byte(text), new(Message)), qt.IsNotNil, qt.Commentf("%s", text))
	}
	f, l := single(1000)
	organizations := catalog.NewOrganizations()
	for k := range 2000 {
		organizations.Add(&catalog.Organization{Name: fmt.Sprint("org-", k), Quota: catalog.Quota{Rate: 1000, Burst: 1000}}, nil)
	}
	l.Configure(f.now, organizations)
	f.now = f.now.Add(TickInterval)
	l.Tick(f.now, Members{Own: 1})
	f.now = f.now.Add(TickInterval)
	for o := range organizations.All {
		l.Charge(f.now, o, 1)
	}
	reported := make(map[uint64]bool)
	for range 16 {
		text, err := json.Marshal(l.Report(f.now, Member, ""))
		c.Assert(err, qt.IsNil)
		c.Assert(len(text) < 6000, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
		var message Message
		c.Assert(json.Unmarshal(text, &message), qt.IsNil)
		for key := range message.Spending {
			reported[key] = true
		}
	}
	c.Check(reported, qt.HasLen, 2000)
}

// manyOrganizations returns a limiter with 2,000 organizations and their keys.
func manyOrganizations() (l *Limiter, organizations *catalog.Organizations, keys []string) {
	l, organizations = New(start, bounds), catalog.NewOrganizations()
	for k := range 2000 {
		var own []string
		var digests []catalog.Digest
		for j := range 20 {
			own = append(own, fmt.Sprintf("key-%d-%d", k, j))
			digests = append(digests, catalog.DigestOf(own[j]))
		}
		organizations.Add(&catalog.Organization{Name: fmt.Sprint("org-", k), Quota: catalog.Quota{Rate: 1e9, Burst: 1e9}}, digests)
		keys = append(keys, own...)
	}
	l.Configure(start, organizations)
	return l, organizations, keys
}

func BenchmarkCharge(b *testing.B) {
	l, organizations, keys := manyOrganizations()
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		if i%100000 == 0 {
			l.Tick(now, Members{Own: 1})
		}
		reservation, _ := l.Charge(now, organizations.Authenticate(keys[i*7%len(keys)]), 100)
		reservation.Cancel()
	}
}

func BenchmarkTickAndReport(b *testing.B) {
	l, organizations, _ := manyOrganizations()
	now := start
	for b.Loop() {
		now = now.Add(TickInterval)
		l.Tick(now, Members{Own: 1})
		for o := range organizations.All {
			l.Charge(now, o, 100)
		}
		l.Report(now, Member, "")
	}
}
