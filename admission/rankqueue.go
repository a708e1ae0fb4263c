package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// holdSampleWeight is the weight of a new sample in the moving average of the
	// time that a request holds a slot.
	holdSampleWeight = 0.1
	// maxDeficitSlotSeconds bounds the deficit and the surplus of a rank against
	// its minimum share. It must exceed the time that a long request holds a slot.
	maxDeficitSlotSeconds = 120.0
	// demandTimeConstantSeconds is the time constant of the moving average of a
	// rank's demand.
	demandTimeConstantSeconds = 10.0
)

// flow is the state of one caller in one band. It is kept while the caller has
// waiting or running requests, or its token counter is ahead of virtual time.
type flow struct {
	caller        string
	band          *band
	virtualTokens float64  // tokens charged; raised to virtualTime when an entry joins an empty queue
	entries       []*Entry // waiting, in the order of Entry.before
	bytes         int64
	running       int

	tokensIndex, usageIndex, idleIndex int // positions in the heaps of the band
}

// rankQueue is the queue of one rank of a service.
type rankQueue struct {
	config          RankConfig
	minSlots        float64 // MinShare in slots
	meanDemand      float64 // moving average of the running and waiting requests
	deficit         float64 // slot-seconds below the minimum share; negative is a surplus
	queued          int
	bytes           int64
	running         int
	meanHoldSeconds float64 // moving average of the time that a request holds a slot; 0 before the first

	bands []*band // by priority; only those with flows
}

func newRankQueue() *rankQueue { return &rankQueue{} }

// band has the requests of one priority of a rank. Callers are charged tokens in each band
// on its own: a counter that a more urgent band raises would put callers of a less urgent
// one that are idle for a moment behind those that always wait.
type band struct {
	priority int
	queued   int

	// virtualTime is the highest token counter at which a caller had a request
	// started. A caller whose queue was empty continues from there if its own
	// counter is lower, so that idle time earns no credit. While no request
	// waits, virtualTime is raised to maxVirtualTokens.
	virtualTime      float64
	maxVirtualTokens float64 // highest token counter so far
	flows            map[string]*flow
	byTokens         indexedHeap[*flow] // callers with waiting entries, fewest tokens first
	byUsage          indexedHeap[*flow] // callers with waiting entries, highest usage first
	idle             indexedHeap[*flow] // callers without waiting or running entries, fewest tokens first
}

func (q *rankQueue) newBand(priority int) *band {
	b := &band{priority: priority, flows: make(map[string]*flow)}
	b.byTokens = indexedHeap[*flow]{less: fewerVirtualTokens, position: func(f *flow) *int { return &f.tokensIndex }}
	b.byUsage = indexedHeap[*flow]{
		less:     func(a, b *flow) bool { return q.usage(a, 0, 0) > q.usage(b, 0, 0) },
		position: func(f *flow) *int { return &f.usageIndex },
	}
	b.idle = indexedHeap[*flow]{less: func(a, b *flow) bool { return a.virtualTokens < b.virtualTokens }, position: func(f *flow) *int { return &f.idleIndex }}
	return b
}

func (q *rankQueue) findBand(priority int) (index int, found bool) {
	return slices.BinarySearchFunc(q.bands, priority, func(b *band, priority int) int { return cmp.Compare(b.priority, priority) })
}

func fewerVirtualTokens(a, b *flow) bool {
	if a.virtualTokens != b.virtualTokens {
		return a.virtualTokens < b.virtualTokens
	}
	return a.entries[0].before(b.entries[0])
}

// flowOf returns the state of a caller in the band of a priority, and creates it if there is
// none. Unless an entry is added next, markIdle must be called to discard unused state.
func (q *rankQueue) flowOf(caller string, priority int) *flow {
	i, found := q.findBand(priority)
	if !found {
		q.bands = slices.Insert(q.bands, i, q.newBand(priority))
	}
	b := q.bands[i]
	f, ok := b.flows[caller]
	if !ok {
		f = &flow{caller: caller, band: b, virtualTokens: b.virtualTime, tokensIndex: notInHeap, usageIndex: notInHeap, idleIndex: notInHeap}
		b.flows[caller] = f
	}
	return f
}

// ofCaller returns the waiting entries of a caller in all bands, and their memory.
func (q *rankQueue) ofCaller(caller string) (entries int, bytes int64) {
	for _, b := range q.bands {
		if f := b.flows[caller]; f != nil {
			entries += len(f.entries)
			bytes += f.bytes
		}
	}
	return entries, bytes
}

// firstBand returns the most urgent band with waiting entries, or nil.
func (q *rankQueue) firstBand() *band {
	for _, b := range q.bands {
		if b.queued > 0 {
			return b
		}
	}
	return nil
}

// lastBand returns the least urgent band with waiting entries, or nil.
func (q *rankQueue) lastBand() *band {
	for _, b := range slices.Backward(q.bands) {
		if b.queued > 0 {
			return b
		}
	}
	return nil
}

// callers returns the number of flows, and how many of them have waiting or running entries.
func (q *rankQueue) callers() (tracked, active int) {
	for _, b := range q.bands {
		tracked += len(b.flows)
		active += len(b.flows) - b.idle.len()
	}
	return tracked, active
}

// usage returns the fraction of the queue's bounds that a caller uses, or would
// use with additional entries and bytes: by entries or by bytes, whichever is
// larger.
func (q *rankQueue) usage(f *flow, entries int, bytes int64) float64 {
	b := q.config.Bounds
	byEntries := float64(len(f.entries)+entries) / float64(max(b.Entries, 1))
	byBytes := float64(f.bytes+bytes) / float64(max(b.Bytes, 1))
	return max(byEntries, byBytes)
}

func (q *rankQueue) fits(bytes int64) bool {
	b := q.config.Bounds
	return q.queued < b.Entries && q.bytes+bytes <= b.Bytes
}

func (q *rankQueue) add(f *flow, e *Entry) {
	b := f.band
	if f.idleIndex != notInHeap {
		b.idle.remove(f)
	}
	if len(f.entries) == 0 {
		f.virtualTokens = max(f.virtualTokens, b.virtualTime)
	}
	i, _ := slices.BinarySearchFunc(f.entries, e, compareEntries)
	f.entries = slices.Insert(f.entries, i, e)
	f.bytes += e.Bytes
	b.queued++
	q.queued++
	q.bytes += e.Bytes
	if f.tokensIndex == notInHeap {
		b.byTokens.push(f)
		b.byUsage.push(f)
		return
	}
	b.byTokens.fix(f)
	b.byUsage.fix(f)
}

func compareEntries(a, b *Entry) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	}
	return 0
}

// pop removes the first entry of the caller with the fewest tokens in the most urgent
// band, and charges that caller the estimated tokens.
func (q *rankQueue) pop() *Entry {
	b := q.firstBand()
	f := b.byTokens.top()
	e := f.entries[0]
	b.virtualTime = max(b.virtualTime, f.virtualTokens)
	q.unlink(f, 0)
	f.running++
	b.charge(f, e.Tokens)
	q.running++
	b.reorder(f)
	q.evictIdle(b)
	return e
}

func (q *rankQueue) remove(e *Entry) {
	f := e.flow
	i, ok := slices.BinarySearchFunc(f.entries, e, compareEntries)
	if !ok {
		panic("admission: entry is not in the queue of its caller")
	}
	q.unlink(f, i)
	f.band.reorder(f)
	q.markIdle(f)
}

func (q *rankQueue) unlink(f *flow, i int) {
	e := f.entries[i]
	if i == 0 {
		f.entries[0] = nil
		f.entries = f.entries[1:]
	} else {
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	f.bytes -= e.Bytes
	f.band.queued--
	q.queued--
	q.bytes -= e.Bytes
}

// reorder restores the heaps' order after the entries or the token counter of f
// have changed.
func (b *band) reorder(f *flow) {
	if f.tokensIndex == notInHeap {
		return
	}
	if len(f.entries) == 0 {
		f.entries = nil
		b.byTokens.remove(f)
		b.byUsage.remove(f)
		return
	}
	b.byTokens.fix(f)
	b.byUsage.fix(f)
}

func (b *band) charge(f *flow, tokens int) {
	f.virtualTokens += float64(tokens)
	b.maxVirtualTokens = max(b.maxVirtualTokens, f.virtualTokens)
}

func (q *rankQueue) release(e *Entry, held time.Duration, tokens int) {
	f := e.flow
	f.running--
	q.running--
	f.band.charge(f, tokens-e.Tokens)
	f.band.reorder(f)
	q.markIdle(f)
	if q.meanHoldSeconds == 0 {
		q.meanHoldSeconds = held.Seconds()
	}
	q.meanHoldSeconds += holdSampleWeight * (held.Seconds() - q.meanHoldSeconds)
}

// markIdle adds a caller without waiting or running entries to the idle heap,
// and evicts it if it is not ahead of virtual time.
func (q *rankQueue) markIdle(f *flow) {
	if len(f.entries) > 0 || f.running > 0 || f.idleIndex != notInHeap {
		return
	}
	f.band.idle.push(f)
	q.evictIdle(f.band)
}

// evictIdle removes the idle callers whose token counter virtual time has
// reached, and a band without callers. A caller that is ahead must be kept: otherwise it
// could return immediately with the counter of a caller that had received nothing.
func (q *rankQueue) evictIdle(b *band) {
	if b.queued == 0 {
		// No request waits, so no caller is at a disadvantage by the tokens
		// served to others.
		b.virtualTime = max(b.virtualTime, b.maxVirtualTokens)
	}
	for b.idle.len() > 0 && b.idle.top().virtualTokens <= b.virtualTime {
		f := b.idle.top()
		b.idle.remove(f)
		delete(b.flows, f.caller)
	}
	if i, found := q.findBand(b.priority); found && len(b.flows) == 0 {
		q.bands = slices.Delete(q.bands, i, i+1)
	}
}

// entriesAhead estimates the number of entries that start before e: those of more urgent
// bands, and some of its own. The callers of a band are assumed to be served in turn, so the
// entry at position n of its caller's queue waits for n turns of all callers.
func (q *rankQueue) entriesAhead(f *flow, e *Entry) int {
	ahead := 0
	for _, b := range q.bands {
		if b.priority < f.band.priority {
			ahead += b.queued
		}
	}
	turns, _ := slices.BinarySearchFunc(f.entries, e, compareEntries)
	callers := f.band.byTokens.len()
	if len(f.entries) == 0 {
		callers++
	}
	return ahead + min(f.band.queued, (turns+1)*callers-1)
}

// belowMinShare reports whether the rank uses fewer slots than its minimum
// share. If the share is not a whole number of slots, the rank is entitled to
// the next whole number unless it has a surplus, which keeps the share over time.
func (q *rankQueue) belowMinShare() bool {
	used := float64(q.running)
	if used < math.Floor(q.minSlots) {
		return true
	}
	return used < math.Ceil(q.minSlots) && q.deficit >= 0
}

// advance updates the mean demand and the deficit for the elapsed seconds. A
// rank without waiting requests accumulates no deficit, and slots that no other
// rank waits for add no surplus. contended is true if another rank waits.
func (q *rankQueue) advance(elapsed float64, contended bool) {
	q.meanDemand += (float64(q.running+q.queued) - q.meanDemand) * elapsed / (elapsed + demandTimeConstantSeconds)
	q.deficit += (q.minSlots - float64(q.running)) * elapsed
	low, high := 0.0, 0.0
	if contended {
		low = -maxDeficitSlotSeconds
	}
	if q.queued > 0 {
		high = maxDeficitSlotSeconds
	}
	q.deficit = min(max(q.deficit, low), high)
}
