package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// spillSim simulates three regions that peak in turn. Each has instances that see the same
// loads and the same summaries of the other regions. Long prompts may run anywhere, chats
// only in the first two regions.
type spillSim struct {
	sim
	regions                 []*simRegion
	sent                    [3][3]int // in the current period, by origin and destination: what the origin may run
	total, swapped, toIdle  int       // spilled requests: all, exchanged, and to the idlest region
	requests, refused, late int
	hideOrigin              bool // instances do not know which region has forwarded a request
}

type simRegion struct {
	name    string
	engines []*simEngine
	routers []*Router
}

const (
	spillInstances = 8
	spillSlots     = 16
	spillHold      = time.Second // of a request
	spillPeriod    = time.Second // in which exchanged requests are counted
	summaryPeriod  = 500 * time.Millisecond
	summaryLag     = 300 * time.Millisecond
)

var (
	spillNames   = []string{"attica", "macedonia", "crete"}
	spillEngines = []int{20, 15, 10}
)

func newSpillSim(seed uint64) *spillSim {
	s := &spillSim{sim: *newSim(0, 0, 0, seed)}
	for i, name := range spillNames {
		region := &simRegion{name: name}
		for range spillEngines[i] {
			region.engines = append(region.engines, &simEngine{slots: spillSlots, rate: 40_000, decode: spillHold})
		}
		for k := range spillInstances {
			router := newRouter(newRegistry(spillEngines[i], spillSlots), seed+uint64(k))
			router.Region, router.Now = name, func() time.Time { return s.now }
			router.Regions = reachable(slices.DeleteFunc(slices.Clone(spillNames), func(other string) bool { return other == name }))
			router.Spill = &Spiller{
				Summaries: &SummaryTable{}, Share: func() float64 { return 1.0 / spillInstances }, SpillOverdue: true,
				CountFreedSlots: true, TargetFraction: 0.15, EnterAfter: 50 * time.Millisecond, ExitAfter: time.Second, RampStart: 1e6, RampMax: 1e6,
			}
			region.routers = append(region.routers, router)
		}
		s.regions = append(s.regions, region)
	}
	s.every(100*time.Millisecond, s.reportLoads)
	s.every(summaryPeriod, s.exchangeSummaries)
	s.every(spillPeriod, s.countSwaps)
	return s
}

func (s *spillSim) reportLoads() {
	for _, region := range s.regions {
		for _, router := range region.routers {
			for i, server := range router.Registry.Servers(testService.Name) {
				e := region.engines[i]
				server.SetLoad(backend.Load{Running: e.running, Waiting: len(e.queue), Slots: e.slots, ReceivedAt: s.now})
			}
		}
	}
}

func (s *spillSim) exchangeSummaries() {
	for _, region := range s.regions {
		summary := region.routers[0].Summarize(testService.Name)
		s.after(summaryLag, func() {
			for _, other := range s.regions {
				for _, router := range other.routers {
					if other != region {
						router.Spill.Summaries.(*SummaryTable).Put(summary)
					}
				}
			}
		})
	}
}

func (s *spillSim) countSwaps() {
	for a := range s.sent {
		for b := range a {
			s.swapped += 2 * min(s.sent[a][b], s.sent[b][a])
		}
	}
	s.sent = [3][3]int{}
}

func (r *simRegion) free() float64 {
	free := 0
	for _, e := range r.engines {
		free += max(0, e.slots-e.running-len(e.queue))
	}
	return float64(free) / float64(spillSlots*len(r.engines))
}

// arrive routes a request that enters a region, or arrives there from another one.
func (s *spillSim) arrive(at int, req *Request) {
	region := s.regions[at]
	// Admission holds requests until a slot is free.
	req.NoLocalSlot = region.free() == 0
	d := region.routers[s.random.IntN(spillInstances)].Decide(req)
	switch {
	case d.Region != "":
		to := slices.Index(spillNames, d.Region)
		s.total++
		if req.Service.Permits(req.Work, region.name) { // the others must leave
			s.sent[at][to]++
		}
		if s.regions[to].free() >= s.regions[3-at-to].free() {
			s.toIdle++
		}
		hop := *req
		hop.Forwarded, hop.Tried = true, nil
		if !s.hideOrigin {
			hop.From = region.name
		}
		s.after(defaultLinkLatency, func() { s.arrive(to, &hop) })
	case d.Server == nil:
		s.refused++
	default:
		e := region.engines[slices.IndexFunc(region.routers[0].Registry.Servers(testService.Name), func(server *backend.Server) bool { return server.ID == d.Server.ID })]
		attempt := d.Server.StartAttempt(s.now, d.Job(req))
		e.queue = append(e.queue, func() { s.runOn(e, req, attempt) })
		s.startQueued(e)
	}
}

func (s *spillSim) runOn(e *simEngine, req *Request, attempt *backend.Attempt) {
	if s.now.Sub(req.Received) > req.Service.PolicyOf(req.Work).Target {
		s.late++
	}
	s.after(50*time.Millisecond, func() { attempt.FirstToken(s.now) })
	s.after(e.decode, func() {
		e.running--
		attempt.End(s.now, true)
		s.startQueued(e)
	})
}

// play sends demand of the given fraction of all slots for d. Every 12 s another region
// sends 2.8 times its mean, and the others half of it.
func (s *spillSim) play(load float64, d time.Duration) *spillSim {
	service := regionService(time.Second)
	for i, region := range s.regions {
		mean := load * float64(spillSlots*len(region.engines)) / spillHold.Seconds()
		for at := time.Duration(0); at < d; {
			factor := 0.5
			if int(at/(12*time.Second))%3 == i {
				factor = 2.8
			}
			at += time.Duration(s.random.ExpFloat64() / (mean * factor) * float64(time.Second))
			work := longWork
			if s.random.IntN(2) == 0 {
				work = chatWork
				work.Homes = spillNames[:2]
			}
			s.after(at, func() {
				s.requests++
				s.arrive(i, &Request{Service: service, Work: work, Received: s.now, Deadline: s.now.Add(6 * time.Second), PromptTokens: 2000})
			})
		}
	}
	s.run(d + 10*time.Second)
	return s
}

func (s *spillSim) String() string {
	return fmt.Sprintf("refused %.3f, late %.3f, spilled %.3f, exchanged %.3f of them, %.2f to the idler region",
		float64(s.refused)/float64(s.requests), float64(s.late)/float64(s.requests), float64(s.total)/float64(s.requests),
		float64(s.swapped)/float64(max(1, s.total)), float64(s.toIdle)/float64(max(1, s.total)))
}

// TestFullRegionsDoNotExchangeWork guards against two full regions that send each other
// work, each by a summary of the slots that the other has just freed for its own requests.
func TestFullRegionsDoNotExchangeWork(t *testing.T) {
	c := qt.New(t)
	for _, load := range []float64{0.5, 0.7, 0.9, 1.1} {
		run := func(hideOrigin bool) *spillSim {
			s := newSpillSim(1)
			s.hideOrigin = hideOrigin
			return s.play(load, 72*time.Second)
		}
		on, off := run(false), run(true)
		t.Logf("load %.1f: %v; without the origin of forwarded requests: %v", load, on, off)
		c.Check(on.swapped <= off.swapped/2, qt.IsTrue)
		c.Check(float64(on.swapped) <= 0.05*float64(on.total), qt.IsTrue)
	}
}

// TestInstancesSpreadByRoom guards against all instances of a region sending to the same
// other region because it is better by a little, although it has room for few of them.
func TestInstancesSpreadByRoom(t *testing.T) {
	c := qt.New(t)
	const instances, free = 80, 30
	toSmall := 0
	for k := range uint64(instances) {
		table := &SummaryTable{}
		router, now := overloaded(&Spiller{
			Summaries: table, EnterAfter: time.Nanosecond, Share: func() float64 { return 1.0 / instances }, RampStart: 1e6, RampMax: 1e6,
		})
		router.Regions, router.Random = reachable{"alex", "giza"}, rand.New(rand.NewPCG(k, 1))
		small, large := idle(start, free), idle(start, 10*free)
		large.Region, large.PrefillRate = "giza", small.PrefillRate*0.9
		table.Put(small)
		table.Put(large)
		router.Decide(urgent(*now, 0)) // the first miss
		*now = now.Add(time.Millisecond)
		if router.Decide(urgent(*now, 0)).Region == "alex" {
			toSmall++
		}
	}
	c.Assert(toSmall <= free, qt.IsTrue, qt.Commentf("%d requests for %d slots", toSmall, free))
}

// TestRegionIsUsedAgainAfterItStopsSending guards against a region that stays unused after
// demand has shifted, against work that may not run here and is refused because the only other
// region sends requests, and against such requests that count although that region may not
// run them.
func TestRegionIsUsedAgainAfterItStopsSending(t *testing.T) {
	c := qt.New(t)
	table := &SummaryTable{}
	router, now := overloaded(&Spiller{Summaries: table, EnterAfter: time.Nanosecond, RampStart: 1e6, RampMax: 1e6})
	elsewhere := testWork
	elsewhere.Homes = []string{"alex"}
	region := func(work catalog.Work, after time.Duration) string {
		*now = now.Add(after)
		table.Put(idle(*now, 100))
		req := urgent(*now, 0)
		req.Work = work
		return router.Decide(req).Region
	}
	receive := func(work catalog.Work) {
		req := urgent(*now, 0)
		req.Work, req.Forwarded, req.From = work, true, "alex"
		router.Decide(req)
	}
	region(testWork, 0) // the first miss
	c.Assert(region(testWork, time.Millisecond), qt.Equals, "alex")
	receive(testWork)
	c.Check(region(testWork, time.Millisecond), qt.Equals, "")
	c.Check(region(elsewhere, time.Millisecond), qt.Equals, "alex")
	c.Check(region(testWork, receivedTime), qt.Equals, "alex")
	here := testWork
	here.Homes = []string{"cairo"}
	receive(here)
	c.Check(region(testWork, time.Millisecond), qt.Equals, "alex")
}
