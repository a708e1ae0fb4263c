package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// The ranks of the simulated service.
const (
	urgentTarget = 1900 * time.Millisecond
	batchTarget  = 60 * time.Second
	urgentShare  = 0.2
	batchShare   = 0.1
)

// source is a caller that sends requests at random times.
type source struct {
	caller string
	rank   catalog.Rank
	rate   float64       // requests per second
	hold   time.Duration // mean time that a request holds a slot
	at     int           // instance that it uses
}

// tally is what a source received.
type tally struct {
	sent, started, refused int
	slotSeconds, tokens    float64
}

// event is a completion if entry is set, else an arrival.
type event struct {
	at    time.Time
	entry *Entry
	from  *source
	node  *node
}

// node is one instance of the fleet.
type node struct {
	scheduler *Scheduler
	shares    *share.Table
}

// simulation drives the Schedulers of a fleet in virtual time.
type simulation struct {
	now      time.Time
	service  *catalog.Service
	slots    int
	nodes    []*node
	random   *rand.Rand
	events   []event // latest first
	tallies  map[*source]*tally
	end      time.Time
	highest  int // most requests that ran at once
	reported int // requests that ran at the last load report
}

const (
	tokensPerSecond = 40.0
	reportInterval  = 500 * time.Millisecond
)

func testConfig(bounds Bounds) Config { return ConfigOf(testService(), bounds) }

// simulate runs the sources against slots for a virtual duration on one
// instance.
func simulate(slots int, length time.Duration, bounds Bounds, sources []source) []*tally {
	result, _ := simulateFleet(1, slots, length, bounds, sources)
	return result
}

// simulateFleet does the same on several instances that share the slots. It
// also returns the most requests that ran at once.
func simulateFleet(nodes, slots int, length time.Duration, bounds Bounds, sources []source) ([]*tally, int) {
	begin := time.Unix(1000, 0)
	m := &simulation{
		now: begin, service: testService(), slots: slots, random: rand.New(rand.NewPCG(7, 2)),
		tallies: make(map[*source]*tally), end: begin.Add(length),
	}
	m.start(nodes, bounds)
	result := make([]*tally, len(sources))
	for i := range sources {
		result[i] = &tally{}
		m.tallies[&sources[i]] = result[i]
		m.arriveAfter(&sources[i])
	}
	for len(m.events) > 0 {
		last := len(m.events) - 1
		next := m.events[last]
		m.events = m.events[:last]
		if next.at.After(m.end) {
			break
		}
		m.now = next.at
		m.step(next)
	}
	return result, m.highest
}

func (m *simulation) start(nodes int, bounds Bounds) {
	names := make([]string, nodes)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	for i, name := range names {
		config := share.DefaultConfig("slots", name)
		config.Clock = func() time.Time { return m.now }
		n := &node{
			scheduler: NewScheduler(testConfig(bounds), rand.New(rand.NewPCG(7, uint64(i)))),
			shares:    share.NewTable(config),
		}
		n.shares.SetMembers(names)
		m.nodes = append(m.nodes, n)
	}
	m.report()
}

// report is one round of load reports and of the exchange of shares.
func (m *simulation) report() {
	key := share.KeyOf(m.service.Name)
	for _, n := range m.nodes {
		stats := n.stats()
		n.shares.SetDemand(key, DemandOf(m.service, &stats, m.slots))
		state := n.shares.State()
		for _, other := range m.nodes {
			if other != n {
				_ = other.shares.Merge(string(rune('a'+slices.Index(m.nodes, n))), state)
			}
		}
	}
	for _, n := range m.nodes {
		capacity := Capacity{
			Slots: m.slots, Free: m.slots - m.reported, Fraction: n.shares.Fraction(key),
			Members: len(m.nodes),
		}
		n.scheduler.SetSlots(m.now, capacity.Share())
		n.scheduler.Borrow(capacity.Spare())
		m.dispatch(n)
	}
	m.reported = m.running()
	m.add(event{at: m.now.Add(reportInterval)})
}

func (n *node) stats() Stats {
	stats := Stats{Slots: n.scheduler.Slots(), Running: n.scheduler.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = n.scheduler.RankStats(catalog.Rank(rank))
	}
	return stats
}

func (m *simulation) running() int {
	total := 0
	for _, n := range m.nodes {
		total += n.scheduler.Running()
	}
	return total
}

func (m *simulation) add(e event) {
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b event) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	m.events = slices.Insert(m.events, i, e)
}

func (m *simulation) arriveAfter(from *source) {
	gap := m.random.ExpFloat64() / from.rate
	m.add(event{at: m.now.Add(time.Duration(gap * float64(time.Second))), from: from})
}

func (m *simulation) step(e event) {
	switch {
	case e.entry != nil:
		e.node.scheduler.Release(m.now, e.entry, e.entry.Tokens)
		m.dispatch(e.node)
	case e.from != nil:
		m.arrive(e.from)
		m.arriveAfter(e.from)
		m.dispatch(m.nodes[e.from.at])
	default:
		m.report()
	}
}

func (m *simulation) dispatch(n *node) {
	for entry := n.scheduler.Pop(m.now); entry != nil; entry = n.scheduler.Pop(m.now) {
		m.run(n, entry)
	}
	for _, refused := range n.scheduler.TakeRefused(m.now) {
		m.tallies[refused.Entry.Owner.(*source)].refused++
	}
	m.highest = max(m.highest, m.running())
}

func (m *simulation) arrive(from *source) {
	hold := from.hold.Seconds() * (0.5 + m.random.Float64())
	t := m.tallies[from]
	t.sent++
	entry, refusal := m.nodes[from.at].scheduler.Enqueue(m.now, Request{
		Caller: from.caller, Rank: from.rank, Tokens: int(hold * tokensPerSecond), Bytes: 4096,
		StartBy: m.now.Add(m.service.Ranks[from.rank].Target),
	})
	if refusal != nil {
		t.refused++
		return
	}
	entry.Owner = from
}

func (m *simulation) run(n *node, entry *Entry) {
	hold := time.Duration(float64(entry.Tokens) / tokensPerSecond * float64(time.Second))
	t := m.tallies[entry.Owner.(*source)]
	t.started++
	// Time beyond the end of the run does not count.
	t.slotSeconds += min(hold, m.end.Sub(m.now)).Seconds()
	t.tokens += float64(entry.Tokens)
	m.add(event{at: m.now.Add(hold), entry: entry, node: n})
}

// jain returns Jain's index and the worst value as a part of the mean.
func jain(values []float64) (index, worst float64) {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	n := float64(len(values))
	return sum * sum / (n * squares), slices.Min(values) / (sum / n)
}

func callers(n int, rank catalog.Rank, totalRate float64, hold time.Duration) []source {
	list := make([]source, n)
	for i := range list {
		list[i] = source{caller: string(rune('a' + i)), rank: rank, rate: totalRate / float64(n), hold: hold}
	}
	return list
}

func sum(tallies []*tally) tally {
	var total tally
	for _, t := range tallies {
		total.sent += t.sent
		total.started += t.started
		total.refused += t.refused
		total.slotSeconds += t.slotSeconds
	}
	return total
}

// The fleet of the larger user: 18 replicas of 8 slots; and one instance's
// part of it.
var fleetSlots = []int{144, 20}

func TestBatchFloodLeavesUrgentServed(t *testing.T) {
	for _, slots := range fleetSlots {
		c := qt.New(t)
		capacity := float64(slots)
		urgent := callers(10, catalog.Urgent, 0.4*capacity/1, time.Second)
		batch := callers(10, catalog.Batch, 10*capacity/12, 12*time.Second)
		result := simulate(slots, 10*time.Minute, DefaultBounds(), append(urgent, batch...))
		first, other := sum(result[:10]), sum(result[10:])
		served := float64(first.started) / float64(first.sent)
		used := (first.slotSeconds + other.slotSeconds) / (capacity * 600)
		t.Logf("%d slots: urgent within target %.4f, batch share of slots %.3f, slots used %.3f",
			slots, served, other.slotSeconds/(capacity*600), used)
		c.Check(served >= 0.99, qt.IsTrue)
		c.Check(used >= 0.9, qt.IsTrue)
	}
}

func TestUrgentFloodLeavesBatchItsShare(t *testing.T) {
	for _, slots := range fleetSlots {
		c := qt.New(t)
		capacity := float64(slots)
		urgent := callers(10, catalog.Urgent, 10*capacity, time.Second)
		batch := callers(10, catalog.Batch, capacity/12, 12*time.Second)
		result := simulate(slots, 4*time.Minute, DefaultBounds(), append(urgent, batch...))
		first, other := sum(result[:10]), sum(result[10:])
		share := other.slotSeconds / (capacity * 240)
		t.Logf("%d slots: batch share of slots %.4f, urgent share %.3f", slots, share, first.slotSeconds/(capacity*240))
		// The first drafts take a moment to arrive.
		c.Check(share >= batchShare*0.99, qt.IsTrue)
		c.Check(first.slotSeconds >= 0.85*capacity*240, qt.IsTrue)
	}
}

// A caller floods one instance with drafts; urgent work and the drafts of 19
// other callers enter at others.
func TestFloodAtOneInstanceOfSeven(t *testing.T) {
	c := qt.New(t)
	const slots = 144
	greedy := source{caller: "greedy", rank: catalog.Batch, rate: 10 * slots / 12, hold: 12 * time.Second}
	urgent := callers(12, catalog.Urgent, 0.4*slots, time.Second)
	drafts := callers(19, catalog.Batch, 1.5*slots/12, 12*time.Second)
	for i := range urgent {
		urgent[i].at = 1 + i%6
	}
	for i := range drafts {
		drafts[i].at = 1 + i%6
	}
	sources := slices.Concat([]source{greedy}, urgent, drafts)
	result, highest := simulateFleet(7, slots, 10*time.Minute, DefaultBounds(), sources)
	first := sum(result[1:13])
	tokens := []float64{result[0].tokens}
	for _, r := range result[13:] {
		tokens = append(tokens, r.tokens)
	}
	served := float64(first.started) / float64(first.sent)
	index, worst := jain(tokens)
	t.Logf("urgent within target %.4f; drafts: Jain %.3f, worst caller %.3f of its fair part; most requests at once %d of %d slots",
		served, index, worst, highest, slots)
	c.Check(served >= 0.99, qt.IsTrue)
	c.Check(index >= 0.95, qt.IsTrue)
	c.Check(worst >= 0.8, qt.IsTrue)
}

func TestUnusedShareIsLentAtOnce(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler(testConfig(DefaultBounds()), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 10)
	for range 20 {
		_, refusal := s.Enqueue(now, Request{Caller: "a", Rank: catalog.Batch, StartBy: now.Add(time.Minute)})
		c.Assert(refusal, qt.IsNil)
	}
	for range 10 {
		c.Assert(s.Pop(now), qt.IsNotNil)
	}
	c.Assert(s.Pop(now), qt.IsNil)
}

func TestGreedyCallerAmongEquals(t *testing.T) {
	c := qt.New(t)
	sources := callers(20, catalog.Batch, 1.5*10, time.Second)
	sources[0].rate *= 20
	// The greedy caller also sends longer requests.
	sources[0].hold *= 4
	result := simulate(10, 10*time.Minute, DefaultBounds(), sources)
	tokens := make([]float64, len(result))
	for i, r := range result {
		tokens[i] = r.tokens
	}
	index, worst := jain(tokens)
	t.Logf("Jain %.4f, worst caller %.3f of its fair part", index, worst)
	c.Check(index >= 0.95, qt.IsTrue)
	c.Check(worst >= 0.8, qt.IsTrue)
}

// A caller that keeps one request outstanding must not return with a clean
// counter each time.
func TestCallerThatLeavesAndReturnsKeepsItsCounter(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler(testConfig(DefaultBounds()), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	served := map[string]int{}
	enqueue := func(caller string, tokens int) {
		_, refusal := s.Enqueue(now, Request{Caller: caller, Rank: catalog.Batch, Tokens: tokens, StartBy: now.Add(time.Hour)})
		c.Assert(refusal, qt.IsNil)
	}
	for range 300 {
		enqueue("steady", 100)
	}
	enqueue("returning", 1000)
	for range 200 {
		e := s.Pop(now)
		served[e.Caller] += e.Tokens
		now = now.Add(time.Millisecond)
		s.Release(now, e, e.Tokens)
		if e.Caller == "returning" {
			enqueue("returning", 1000)
		}
	}
	t.Logf("tokens served: %v", served)
	ratio := float64(served["returning"]) / float64(served["steady"])
	c.Check(math.Abs(ratio-1) <= 0.2, qt.IsTrue)
}

func TestNoCallerFillsTheQueue(t *testing.T) {
	c := qt.New(t)
	bounds := Bounds{Entries: 100, Bytes: 100 * 4096, CallerEntries: 100, CallerBytes: 100 * 4096}
	s := NewScheduler(testConfig(bounds), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	request := Request{Caller: "greedy", Rank: catalog.Batch, Bytes: 4096, StartBy: now.Add(time.Minute)}
	for range 1000 {
		_, _ = s.Enqueue(now, request)
	}
	c.Assert(s.Queued(catalog.Batch), qt.Equals, 100)
	for i := range 20 {
		request.Caller = string(rune('a' + i))
		_, refusal := s.Enqueue(now, request)
		c.Check(refusal, qt.IsNil)
	}
	c.Assert(s.Queued(catalog.Batch), qt.Equals, 100)
	refused := s.TakeRefused(now)
	c.Assert(refused, qt.HasLen, 20)
	for _, r := range refused {
		c.Check(r.Entry.Caller, qt.Equals, "greedy")
		c.Check(r.Refusal.Reason, qt.Equals, ReasonDisplaced)
	}
}

func TestLateRequestIsRefusedEarly(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler(testConfig(DefaultBounds()), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	request := Request{Caller: "a", Rank: catalog.Urgent, StartBy: now.Add(time.Hour)}
	_, refusal := s.Enqueue(now, request)
	c.Assert(refusal, qt.IsNil)
	first := s.Pop(now)
	now = now.Add(10 * time.Second)
	s.Release(now, first, 1)
	_, _ = s.Enqueue(now, request)
	c.Assert(s.Pop(now), qt.IsNotNil)
	request.StartBy = now.Add(urgentTarget)
	_, refusal = s.Enqueue(now, request)
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Reason, qt.Equals, ReasonLate)
	c.Check(refusal.RetryAfter >= 10*time.Second, qt.IsTrue)
	c.Check(s.Queued(catalog.Urgent), qt.Equals, 0)
}
