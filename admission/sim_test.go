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

// The targets and minimum shares of the simulated service's ranks.
const (
	urgentTarget = 1900 * time.Millisecond
	batchTarget  = 60 * time.Second
	urgentShare  = 0.2
	batchShare   = 0.1
)

// source is a caller that sends requests at random times.
type source struct {
	caller   string
	rank     catalog.Rank
	rate     float64       // requests per second
	hold     time.Duration // mean time that a request holds a slot
	instance int           // index of the instance that it sends to
}

// tally counts the results of a source's requests.
type tally struct {
	sent, started, refused int
	slotSeconds, tokens    float64
}

// event is a completion if entry is set, an arrival if source is set, and
// otherwise a round of load reports.
type event struct {
	at       time.Time
	entry    *Entry
	source   *source
	instance *instance
}

// instance is one simulated instance of the fleet.
type instance struct {
	scheduler *Scheduler
	shares    *share.Table
}

// simulation runs the Schedulers of a fleet in virtual time.
type simulation struct {
	now        time.Time
	service    *catalog.Service
	slots      int
	instances  []*instance
	random     *rand.Rand
	events     []event // latest first
	tallies    map[*source]*tally
	end        time.Time
	maxRunning int // highest number of requests that ran at once
	reported   int // number of requests that ran at the last load report
}

const (
	tokensPerSecond = 40.0
	reportInterval  = 500 * time.Millisecond
)

func testConfig(bounds Bounds) Config { return ConfigOf(testService(), bounds) }

// simulate runs the sources on one instance with the given slots, for length of
// virtual time.
func simulate(slots int, length time.Duration, bounds Bounds, sources []source) []*tally {
	result, _ := simulateFleet(1, slots, length, bounds, sources)
	return result
}

// simulateFleet is like simulate, but on several instances that share the slots.
// It also returns the highest number of requests that ran at once.
func simulateFleet(instances, slots int, length time.Duration, bounds Bounds, sources []source) ([]*tally, int) {
	begin := time.Unix(1000, 0)
	m := &simulation{
		now: begin, service: testService(), slots: slots, random: rand.New(rand.NewPCG(7, 2)),
		tallies: make(map[*source]*tally), end: begin.Add(length),
	}
	m.start(instances, bounds)
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
	return result, m.maxRunning
}

func (m *simulation) start(instances int, bounds Bounds) {
	names := make([]string, instances)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	for i, name := range names {
		config := share.DefaultConfig("slots", name)
		config.Clock = func() time.Time { return m.now }
		inst := &instance{
			scheduler: NewScheduler(testConfig(bounds), rand.New(rand.NewPCG(7, uint64(i)))),
			shares:    share.NewTable(config),
		}
		inst.shares.SetMembers(names)
		m.instances = append(m.instances, inst)
	}
	m.report()
}

// report simulates one round of load reports and of the exchange of shares.
func (m *simulation) report() {
	key := share.KeyOf(m.service.Name)
	for _, inst := range m.instances {
		stats := inst.stats()
		inst.shares.SetDemand(key, DemandOf(m.service, &stats, m.slots))
		state := inst.shares.State()
		for _, other := range m.instances {
			if other != inst {
				_ = other.shares.Merge(string(rune('a'+slices.Index(m.instances, inst))), state)
			}
		}
	}
	for _, inst := range m.instances {
		capacity := Capacity{
			Slots: m.slots, Free: m.slots - m.reported, Fraction: inst.shares.Fraction(key),
			Members: len(m.instances),
		}
		inst.scheduler.SetSlots(m.now, capacity.Share())
		inst.scheduler.SetBurstAllowance(capacity.BurstAllowance())
		m.dispatch(inst)
	}
	m.reported = m.running()
	m.add(event{at: m.now.Add(reportInterval)})
}

func (inst *instance) stats() Stats {
	stats := Stats{Slots: inst.scheduler.Slots(), Running: inst.scheduler.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = inst.scheduler.RankStats(catalog.Rank(rank))
	}
	return stats
}

func (m *simulation) running() int {
	total := 0
	for _, inst := range m.instances {
		total += inst.scheduler.Running()
	}
	return total
}

func (m *simulation) add(e event) {
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b event) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	m.events = slices.Insert(m.events, i, e)
}

func (m *simulation) arriveAfter(src *source) {
	gap := m.random.ExpFloat64() / src.rate
	m.add(event{at: m.now.Add(time.Duration(gap * float64(time.Second))), source: src})
}

func (m *simulation) step(e event) {
	switch {
	case e.entry != nil:
		e.instance.scheduler.Release(m.now, e.entry, e.entry.Tokens)
		m.dispatch(e.instance)
	case e.source != nil:
		m.arrive(e.source)
		m.arriveAfter(e.source)
		m.dispatch(m.instances[e.source.instance])
	default:
		m.report()
	}
}

func (m *simulation) dispatch(inst *instance) {
	for entry := inst.scheduler.Pop(m.now); entry != nil; entry = inst.scheduler.Pop(m.now) {
		m.run(inst, entry)
	}
	for _, refused := range inst.scheduler.TakeRefused(m.now) {
		m.tallies[refused.Entry.UserData.(*source)].refused++
	}
	m.maxRunning = max(m.maxRunning, m.running())
}

func (m *simulation) arrive(src *source) {
	hold := src.hold.Seconds() * (0.5 + m.random.Float64())
	t := m.tallies[src]
	t.sent++
	entry, refusal := m.instances[src.instance].scheduler.Enqueue(m.now, Request{
		Caller: src.caller, Rank: src.rank, Tokens: int(hold * tokensPerSecond), Bytes: 4096,
		StartBy: m.now.Add(m.service.Ranks[src.rank].Target),
	})
	if refusal != nil {
		t.refused++
		return
	}
	entry.UserData = src
}

func (m *simulation) run(inst *instance, entry *Entry) {
	hold := time.Duration(float64(entry.Tokens) / tokensPerSecond * float64(time.Second))
	t := m.tallies[entry.UserData.(*source)]
	t.started++
	// Slot time after the end of the simulation is not counted.
	t.slotSeconds += min(hold, m.end.Sub(m.now)).Seconds()
	t.tokens += float64(entry.Tokens)
	m.add(event{at: m.now.Add(hold), entry: entry, instance: inst})
}

// jain returns Jain's fairness index, and the smallest value divided by the mean.
func jain(values []float64) (index, minToMean float64) {
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

// fleetSlots are the slots of the larger user's fleet, 18 replicas of 8 slots,
// and of one instance's share of it.
var fleetSlots = []int{144, 20}

func TestBatchFloodKeepsUrgentWithinTarget(t *testing.T) {
	for _, slots := range fleetSlots {
		c := qt.New(t)
		capacity := float64(slots)
		urgent := callers(10, catalog.Urgent, 0.4*capacity/1, time.Second)
		batch := callers(10, catalog.Batch, 10*capacity/12, 12*time.Second)
		result := simulate(slots, 10*time.Minute, DefaultBounds(), append(urgent, batch...))
		urgentTotal, batchTotal := sum(result[:10]), sum(result[10:])
		servedFraction := float64(urgentTotal.started) / float64(urgentTotal.sent)
		usedFraction := (urgentTotal.slotSeconds + batchTotal.slotSeconds) / (capacity * 600)
		t.Logf("%d slots: urgent within target %.4f, batch share of slots %.3f, slots used %.3f",
			slots, servedFraction, batchTotal.slotSeconds/(capacity*600), usedFraction)
		c.Check(servedFraction >= 0.99, qt.IsTrue)
		c.Check(usedFraction >= 0.9, qt.IsTrue)
	}
}

func TestUrgentFloodKeepsBatchMinShare(t *testing.T) {
	for _, slots := range fleetSlots {
		c := qt.New(t)
		capacity := float64(slots)
		urgent := callers(10, catalog.Urgent, 10*capacity, time.Second)
		batch := callers(10, catalog.Batch, capacity/12, 12*time.Second)
		result := simulate(slots, 4*time.Minute, DefaultBounds(), append(urgent, batch...))
		urgentTotal, batchTotal := sum(result[:10]), sum(result[10:])
		batchShareOfSlots := batchTotal.slotSeconds / (capacity * 240)
		t.Logf("%d slots: batch share of slots %.4f, urgent share %.3f", slots, batchShareOfSlots, urgentTotal.slotSeconds/(capacity*240))
		// 1% is allowed because the first batch requests arrive some time after
		// the start.
		c.Check(batchShareOfSlots >= batchShare*0.99, qt.IsTrue)
		c.Check(urgentTotal.slotSeconds >= 0.85*capacity*240, qt.IsTrue)
	}
}

// TestIdleSlotsDoNotLowerMinShareLater guards against a rank that gets less than
// its minimum share during a flood because it used, before, slots that no other
// rank waited for.
func TestIdleSlotsDoNotLowerMinShareLater(t *testing.T) {
	c := qt.New(t)
	const slots, calm, flood, batchHold = 16, 60, 120, 12 // seconds
	s := NewScheduler(testConfig(DefaultBounds()), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, slots)
	type running struct {
		entry *Entry
		until int
	}
	var active []running
	batchSlotSeconds := 0
	for second := range calm + flood {
		now = time.Unix(int64(second), 0)
		var remaining []running
		for _, r := range active {
			if r.until > second && second != calm {
				remaining = append(remaining, r)
				continue
			}
			s.Release(now, r.entry, 1)
		}
		active = remaining
		for s.Queued(catalog.Batch) < slots {
			_, refusal := s.Enqueue(now, Request{Caller: "batch", Rank: catalog.Batch, StartBy: now.Add(time.Hour)})
			c.Assert(refusal, qt.IsNil)
		}
		for second >= calm && s.Queued(catalog.Urgent) < 2*slots {
			_, refusal := s.Enqueue(now, Request{Caller: "urgent", Rank: catalog.Urgent, StartBy: now.Add(time.Hour)})
			c.Assert(refusal, qt.IsNil)
		}
		for e := s.Pop(now); e != nil; e = s.Pop(now) {
			hold := 1
			if e.Rank == catalog.Batch {
				hold = batchHold
			}
			active = append(active, running{e, second + hold})
		}
		if second >= calm {
			batchSlotSeconds += s.RankStats(catalog.Batch).Running
		}
	}
	used := float64(batchSlotSeconds) / (slots * flood)
	t.Logf("batch share of slots %.4f", used)
	c.Check(used >= batchShare*0.99, qt.IsTrue, qt.Commentf("batch share of slots %.4f", used))
}

// TestFloodAtOneInstanceOfSeven floods one instance with the batch requests of
// one caller. Urgent requests and the batch requests of 19 other callers arrive
// at the other instances.
func TestFloodAtOneInstanceOfSeven(t *testing.T) {
	c := qt.New(t)
	const slots = 144
	greedy := source{caller: "greedy", rank: catalog.Batch, rate: 10 * slots / 12, hold: 12 * time.Second}
	urgent := callers(12, catalog.Urgent, 0.4*slots, time.Second)
	batch := callers(19, catalog.Batch, 1.5*slots/12, 12*time.Second)
	for i := range urgent {
		urgent[i].instance = 1 + i%6
	}
	for i := range batch {
		batch[i].instance = 1 + i%6
	}
	sources := slices.Concat([]source{greedy}, urgent, batch)
	result, highest := simulateFleet(7, slots, 10*time.Minute, DefaultBounds(), sources)
	urgentTotal := sum(result[1:13])
	tokens := []float64{result[0].tokens}
	for _, r := range result[13:] {
		tokens = append(tokens, r.tokens)
	}
	servedFraction := float64(urgentTotal.started) / float64(urgentTotal.sent)
	jainIndex, minToMean := jain(tokens)
	t.Logf("urgent within target %.4f; batch: Jain index %.3f, worst caller %.3f of its fair share; at most %d requests at once on %d slots",
		servedFraction, jainIndex, minToMean, highest, slots)
	c.Check(servedFraction >= 0.99, qt.IsTrue)
	c.Check(jainIndex >= 0.95, qt.IsTrue)
	c.Check(minToMean >= 0.8, qt.IsTrue)
}

func TestUnusedMinShareIsUsedByOtherRank(t *testing.T) {
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

func TestTokensAreFairDespiteGreedyCaller(t *testing.T) {
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
	jainIndex, minToMean := jain(tokens)
	t.Logf("Jain index %.4f, worst caller %.3f of its fair share", jainIndex, minToMean)
	c.Check(jainIndex >= 0.95, qt.IsTrue)
	c.Check(minToMean >= 0.8, qt.IsTrue)
}

// TestReturningCallerKeepsItsTokenCounter guards against a caller that has one
// request at a time, and whose token counter would be reset each time it returns.
func TestReturningCallerKeepsItsTokenCounter(t *testing.T) {
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

func TestFullQueueDisplacesRequestsOfLargestCaller(t *testing.T) {
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

func TestRequestThatCannotStartInTimeIsRefusedOnArrival(t *testing.T) {
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
