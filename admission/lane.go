package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// holdWeight is the weight of a new sample in the mean time that a request
	// holds a slot.
	holdWeight = 0.1
	// maxOwed bounds the slot time that a rank may be owed or owe, in
	// slot-seconds. It must exceed the time that a long request holds a slot.
	maxOwed = 120.0
	// demandTime is the time constant of a rank's mean demand, in seconds.
	demandTime = 10.0
)

// flow is one caller in one rank. Its state is kept while it waits, runs or is
// ahead of the others in served tokens.
type flow struct {
	caller  string
	served  float64 // virtual token counter
	entries []*Entry
	bytes   int64
	running int

	fair, share, idle int // positions in the heaps of the lane
}

// lane is one rank of a service.
type lane struct {
	config  RankConfig
	reserve float64 // slots of the minimum share
	demand  float64 // mean number of requests that run or wait
	owed    float64 // slot-seconds below the minimum share; negative above it
	queued  int
	bytes   int64
	running int
	hold    float64 // mean time that a request holds a slot, in seconds

	// virtual is the virtual time: the counter of the caller served last. A
	// caller that comes back starts there, so that idle time earns nothing.
	virtual float64
	highest float64 // highest counter so far
	flows   map[string]*flow
	fair    indexed[*flow] // with waiting entries, by served tokens
	usages  indexed[*flow] // with waiting entries, longest queue first
	idle    indexed[*flow] // without any entry, by served tokens
}

func newLane() *lane {
	l := &lane{flows: make(map[string]*flow)}
	l.fair = indexed[*flow]{less: servedLess, at: func(f *flow) *int { return &f.fair }}
	l.usages = indexed[*flow]{
		less: func(a, b *flow) bool { return l.usage(a, 0, 0) > l.usage(b, 0, 0) },
		at:   func(f *flow) *int { return &f.share },
	}
	l.idle = indexed[*flow]{less: func(a, b *flow) bool { return a.served < b.served }, at: func(f *flow) *int { return &f.idle }}
	return l
}

func servedLess(a, b *flow) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return startsEarlier(a.entries[0], b.entries[0])
}

// flowOf returns the state of a caller. settle must follow unless an entry is
// added.
func (l *lane) flowOf(caller string) *flow {
	f, ok := l.flows[caller]
	if !ok {
		f = &flow{caller: caller, served: l.virtual, fair: notQueued, share: notQueued, idle: notQueued}
		l.flows[caller] = f
	}
	return f
}

// usage returns the larger part of the queue's entries and bytes that a caller
// takes, or would take with more of them.
func (l *lane) usage(f *flow, entries int, bytes int64) float64 {
	b := l.config.Bounds
	byEntries := float64(len(f.entries)+entries) / float64(max(b.Entries, 1))
	byBytes := float64(f.bytes+bytes) / float64(max(b.Bytes, 1))
	return max(byEntries, byBytes)
}

func (l *lane) fits(bytes int64) bool {
	b := l.config.Bounds
	return l.queued < b.Entries && l.bytes+bytes <= b.Bytes
}

func (l *lane) add(f *flow, e *Entry) {
	if f.idle != notQueued {
		l.idle.remove(f)
	}
	if len(f.entries) == 0 {
		f.served = max(f.served, l.virtual)
	}
	i, _ := slices.BinarySearchFunc(f.entries, e, compareEntries)
	f.entries = slices.Insert(f.entries, i, e)
	f.bytes += e.Bytes
	l.queued++
	l.bytes += e.Bytes
	if f.fair == notQueued {
		l.fair.push(f)
		l.usages.push(f)
		return
	}
	l.fair.fix(f)
	l.usages.fix(f)
}

func compareEntries(a, b *Entry) int {
	switch {
	case startsEarlier(a, b):
		return -1
	case startsEarlier(b, a):
		return 1
	}
	return 0
}

// pop takes the first entry of the caller that was served least, and charges
// it the estimate.
func (l *lane) pop() *Entry {
	f := l.fair.top()
	e := f.entries[0]
	l.virtual = max(l.virtual, f.served)
	l.unlink(f, 0)
	f.running++
	l.charge(f, e.Tokens)
	l.running++
	l.reorder(f)
	l.forget()
	return e
}

func (l *lane) remove(e *Entry) {
	f := e.flow
	i, ok := slices.BinarySearchFunc(f.entries, e, compareEntries)
	if !ok {
		panic("admission: entry is not in the queue of its caller")
	}
	l.unlink(f, i)
	l.reorder(f)
	l.settle(f)
}

func (l *lane) unlink(f *flow, i int) {
	e := f.entries[i]
	if i == 0 {
		f.entries[0] = nil
		f.entries = f.entries[1:]
	} else {
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	f.bytes -= e.Bytes
	l.queued--
	l.bytes -= e.Bytes
}

// reorder puts f in its place after its entries or its counter have changed.
func (l *lane) reorder(f *flow) {
	if f.fair == notQueued {
		return
	}
	if len(f.entries) == 0 {
		f.entries = nil
		l.fair.remove(f)
		l.usages.remove(f)
		return
	}
	l.fair.fix(f)
	l.usages.fix(f)
}

func (l *lane) charge(f *flow, tokens int) {
	f.served += float64(tokens)
	l.highest = max(l.highest, f.served)
}

func (l *lane) release(e *Entry, held time.Duration, tokens int) {
	f := e.flow
	f.running--
	l.running--
	l.charge(f, tokens-e.Tokens)
	l.reorder(f)
	l.settle(f)
	if l.hold == 0 {
		l.hold = held.Seconds()
	}
	l.hold += holdWeight * (held.Seconds() - l.hold)
}

// settle moves a caller without entries to the idle heap, or forgets it.
func (l *lane) settle(f *flow) {
	if len(f.entries) > 0 || f.running > 0 || f.idle != notQueued {
		return
	}
	l.idle.push(f)
	l.forget()
}

// forget removes the idle callers that virtual time has overtaken. A caller
// that is ahead must be remembered: it would else come back at once with the
// counter of one that had received nothing.
func (l *lane) forget() {
	if l.queued == 0 {
		// Nobody waits, so nobody is owed anything for what was served.
		l.virtual = max(l.virtual, l.highest)
	}
	for l.idle.len() > 0 && l.idle.top().served <= l.virtual {
		f := l.idle.top()
		l.idle.remove(f)
		delete(l.flows, f.caller)
	}
}

// ahead estimates the number of entries that start before e: callers take
// turns, so an entry far back in its caller's queue waits for as many turns.
func (l *lane) ahead(f *flow, e *Entry) int {
	turns, _ := slices.BinarySearchFunc(f.entries, e, compareEntries)
	callers := l.fair.len()
	if len(f.entries) == 0 {
		callers++
	}
	return min(l.queued, (turns+1)*callers-1)
}

// belowReserve reports whether the rank has fewer slots than its minimum
// share. A share that is no whole number of slots is kept over time.
func (l *lane) belowReserve() bool {
	used := float64(l.running)
	if used < math.Floor(l.reserve) {
		return true
	}
	return used < math.Ceil(l.reserve) && l.owed >= 0
}

// advance accounts the slot time that the rank received against its minimum
// share. A rank without waiting work is owed nothing.
func (l *lane) advance(elapsed float64) {
	l.demand += (float64(l.running+l.queued) - l.demand) * elapsed / (elapsed + demandTime)
	l.owed += (l.reserve - float64(l.running)) * elapsed
	l.owed = max(l.owed, -maxOwed)
	limit := maxOwed
	if l.queued == 0 {
		limit = 0
	}
	l.owed = min(l.owed, limit)
}
