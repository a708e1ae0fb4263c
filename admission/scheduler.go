package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Bounds of a Refusal's RetryAfter, before jitter of up to half its value.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// What urgent work finds free beyond its mean demand while batch work waits.
const (
	// burstFactor is in standard deviations of the demand: that of independent
	// requests varies by the square root of its mean, and with 1.5 of it fewer than
	// one request in ten waits for a slot (Halfin and Whitt: 0.085).
	burstFactor = 1.5
	// burstPart bounds it, as a part of the slots: most of the tenth of them that
	// may stay unused while work waits.
	burstPart = 1.0 / 16
)

// Entry is a request in a Scheduler: waiting, running, or gone.
type Entry struct {
	Request
	Enqueued time.Time
	Started  time.Time // zero while it waits
	Wait     time.Duration

	// Owner is for the user of the Scheduler.
	Owner any

	sequence uint64
	flow     *flow
	expiry   int // position in the heap by StartBy
	state    entryState
}

type entryState uint8

const (
	waiting entryState = iota
	running
	gone
)

// Waiting reports whether the entry is still in the queue.
func (e *Entry) Waiting() bool { return e.state == waiting }

// Refused is an entry that left the queue without a slot.
type Refused struct {
	Entry   *Entry
	Refusal *Refusal
}

// Scheduler is the queue of one service.
//
// Use: Enqueue a request, then Pop until it returns nil; every popped entry
// holds a slot until Release. TakeRefused returns the entries that lost their
// place meanwhile.
type Scheduler struct {
	slots    int
	borrowed int // requests that may still start beyond slots
	running  int
	last     time.Time
	sequence uint64
	lanes    [catalog.RankCount]*lane
	expiries indexed[*Entry]
	refused  []Refused
	random   *rand.Rand
}

// NewScheduler returns an empty queue without slots. The random source adds
// jitter to RetryAfter.
func NewScheduler(config Config, random *rand.Rand) *Scheduler {
	s := &Scheduler{random: random}
	for rank := range s.lanes {
		s.lanes[rank] = newLane()
	}
	s.expiries = indexed[*Entry]{less: startsEarlier, at: func(e *Entry) *int { return &e.expiry }}
	s.Configure(config)
	return s
}

// Configure puts a new configuration in force. Entries beyond a lower bound
// keep their place.
func (s *Scheduler) Configure(config Config) {
	for rank, c := range config.Ranks {
		l := s.lanes[rank]
		l.config = c
		l.reserve = c.MinShare * float64(s.slots)
		l.usages.init()
	}
}

// SetSlots sets the number of requests that may run at once. Requests that
// run beyond a lower number keep their slot.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.advance(now)
	s.slots = max(slots, 0)
	for _, l := range s.lanes {
		l.reserve = l.config.MinShare * float64(s.slots)
	}
}

// Borrow permits that many urgent requests to start beyond the slots, until the
// next call. The slots of these requests are not used again when they end.
func (s *Scheduler) Borrow(requests int) { s.borrowed = max(requests, 0) }

// Slots returns the number of requests that may run at once.
func (s *Scheduler) Slots() int { return s.slots }

// Running returns the number of requests that hold a slot.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting requests of a rank.
func (s *Scheduler) Queued(rank catalog.Rank) int { return s.lanes[rank].queued }

// QueuedBytes returns the memory of the waiting requests of a rank.
func (s *Scheduler) QueuedBytes(rank catalog.Rank) int64 { return s.lanes[rank].bytes }

// Callers returns the number of callers of a rank that the Scheduler keeps
// state of.
func (s *Scheduler) Callers(rank catalog.Rank) int { return len(s.lanes[rank].flows) }

// RankStats returns the state of one rank.
func (s *Scheduler) RankStats(rank catalog.Rank) RankStats {
	l := s.lanes[rank]
	return RankStats{
		Queued:  l.queued,
		Bytes:   l.bytes,
		Running: l.running,
		Callers: len(l.flows) - l.idle.len(),
		Demand:  max(l.demand, float64(l.queued+l.running)),
	}
}

// Enqueue adds a request to the queue, or refuses it if it cannot start in
// time or the queue is full. A full queue displaces the last request of the
// caller with the longest queue, if that is longer than the new caller's.
func (s *Scheduler) Enqueue(now time.Time, req Request) (*Entry, *Refusal) {
	s.advance(now)
	req.Tokens = max(req.Tokens, 1)
	l := s.lanes[req.Rank]
	f := l.flowOf(req.Caller)
	s.sequence++
	e := &Entry{Request: req, Enqueued: now, sequence: s.sequence, flow: f, expiry: notQueued}
	e.Wait = s.expectedWait(l, f, e)
	if refusal := s.check(now, l, f, e); refusal != nil {
		l.settle(f)
		return nil, refusal
	}
	l.add(f, e)
	s.expiries.push(e)
	return e, nil
}

func (s *Scheduler) check(now time.Time, l *lane, f *flow, e *Entry) *Refusal {
	if now.Add(e.Wait).After(e.StartBy) {
		return s.refusal(ReasonLate, e.Wait)
	}
	b := l.config.Bounds
	if len(f.entries) >= b.CallerEntries || f.bytes+e.Bytes > b.CallerBytes {
		return s.refusal(ReasonCallerFull, e.Wait)
	}
	if !s.makeRoom(l, f, e) {
		return s.refusal(ReasonQueueFull, e.Wait)
	}
	return nil
}

// makeRoom displaces entries until e fits. It reports false if every other
// caller's queue is as short as the one of e would become.
func (s *Scheduler) makeRoom(l *lane, f *flow, e *Entry) bool {
	for !l.fits(e.Bytes) {
		if l.usages.len() == 0 {
			return false
		}
		victim := l.usages.top()
		if victim == f || l.usage(victim, 0, 0) <= l.usage(f, 1, e.Bytes) {
			return false
		}
		s.drop(victim.entries[len(victim.entries)-1], ReasonDisplaced)
	}
	return true
}

// Pop starts the next entry and returns it, or nil if none may start now.
func (s *Scheduler) Pop(now time.Time) *Entry {
	s.advance(now)
	s.expire(now)
	l := s.nextLane()
	if l == nil {
		return nil
	}
	if s.running >= s.slots {
		s.borrowed--
	}
	e := l.pop()
	s.expiries.remove(e)
	s.running++
	e.state = running
	e.Started = now
	return e
}

// nextLane picks the rank that the next slot goes to: first one that is below
// its minimum share, the most urgent of them, then the most urgent at all.
func (s *Scheduler) nextLane() *lane {
	if s.running >= s.slots {
		return s.borrower()
	}
	for _, l := range s.lanes {
		if l.queued > 0 && l.belowReserve() {
			return l
		}
	}
	for rank, l := range s.lanes {
		if l.queued > 0 && s.running+s.headroom(catalog.Rank(rank)) < s.slots {
			return l
		}
	}
	return nil
}

// borrower returns the urgent rank if it may start a request beyond the slots.
func (s *Scheduler) borrower() *lane {
	urgent := s.lanes[catalog.Urgent]
	if s.borrowed <= 0 || urgent.queued == 0 {
		return nil
	}
	return urgent
}

// headroom returns the free slots that rank must leave to urgent work: its mean
// demand and what its bursts take, less what it uses. Without it, long requests take
// each slot that urgent work leaves for a moment, and hold it when that work is
// back.
func (s *Scheduler) headroom(rank catalog.Rank) int {
	urgent, l := s.lanes[catalog.Urgent], s.lanes[rank]
	if rank == catalog.Urgent || l.hold == 0 || l.running == 0 {
		return 0
	}
	burst := min(burstFactor*math.Sqrt(urgent.demand), burstPart*float64(s.slots))
	kept := min(urgent.demand+burst, float64(s.slots)-l.reserve) - float64(urgent.running)
	return int(math.Round(max(kept, 0)))
}

// Release returns the slot of a started entry. tokens is what the request
// took in truth; the caller is charged the difference to the estimate.
func (s *Scheduler) Release(now time.Time, e *Entry, tokens int) {
	if e.state != running {
		panic("admission: release of an entry that does not run")
	}
	s.advance(now)
	e.state = gone
	s.running--
	s.lanes[e.Rank].release(e, now.Sub(e.Started), max(tokens, 1))
}

// Cancel removes a waiting entry. It reports false if the entry does not wait
// any more; one that runs must be released.
func (s *Scheduler) Cancel(now time.Time, e *Entry) bool {
	s.advance(now)
	if e.state != waiting {
		return false
	}
	s.unlink(e)
	return true
}

// TakeRefused returns the entries that were displaced, and those whose StartBy
// has passed, since the last call.
func (s *Scheduler) TakeRefused(now time.Time) []Refused {
	s.expire(now)
	refused := s.refused
	s.refused = nil
	return refused
}

func (s *Scheduler) expire(now time.Time) {
	for s.expiries.len() > 0 && s.expiries.top().StartBy.Before(now) {
		s.drop(s.expiries.top(), ReasonExpired)
	}
}

func (s *Scheduler) drop(e *Entry, reason Reason) {
	s.unlink(e)
	s.refused = append(s.refused, Refused{Entry: e, Refusal: s.refusal(reason, e.Wait)})
}

func (s *Scheduler) unlink(e *Entry) {
	e.state = gone
	s.expiries.remove(e)
	s.lanes[e.Rank].remove(e)
}

func (s *Scheduler) refusal(reason Reason, wait time.Duration) *Refusal {
	retry := min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps callers refused together from returning together.
	retry += time.Duration(s.random.Int64N(int64(retry)/2 + 1))
	return &Refusal{Reason: reason, RetryAfter: retry, Wait: wait}
}

// expectedWait estimates the time until e gets a slot: until any slot becomes
// free, and then the entries ahead at the pace of the rank. It is low rather
// than high, as a request refused early cannot be made good, whereas one that
// waits in vain is still refused before it runs.
func (s *Scheduler) expectedWait(l *lane, f *flow, e *Entry) time.Duration {
	if s.slots == 0 || l.queued == 0 && s.startsNow(l) {
		return 0
	}
	seconds := s.nextFree()
	if l.hold > 0 {
		seconds += float64(l.ahead(f, e)) * l.hold / s.slotsOf(l)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// startsNow reports whether a request of a rank without queue may start.
func (s *Scheduler) startsNow(l *lane) bool {
	return s.running < s.slots || s.borrowed > 0 && l == s.lanes[catalog.Urgent]
}

// nextFree returns the expected time until a slot becomes free, in seconds.
func (s *Scheduler) nextFree() float64 {
	if s.running < s.slots {
		return 0
	}
	rate := 0.0
	for _, l := range s.lanes {
		if l.hold > 0 {
			rate += float64(l.running) / l.hold
		}
	}
	if rate == 0 {
		return 0
	}
	return 1 / rate
}

// slotsOf returns the slots that a rank can expect while the other one keeps
// its demand.
func (s *Scheduler) slotsOf(l *lane) float64 {
	free := float64(s.slots)
	for _, other := range s.lanes {
		if other == l {
			continue
		}
		demand := float64(other.running + other.queued)
		if other == s.lanes[catalog.Urgent] {
			free -= demand
		} else {
			free -= min(demand, other.reserve)
		}
	}
	return max(free, l.reserve, 1)
}

// advance accounts the time since the last call.
func (s *Scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.last).Seconds()
	if s.last.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	s.last = now
	for _, l := range s.lanes {
		l.advance(elapsed)
	}
}

func startsEarlier(a, b *Entry) bool {
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return a.sequence < b.sequence
}
