package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Bounds of a Refusal's RetryAfter, before jitter of up to half its value is
// added.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// The slots that are kept free for bursts of urgent requests, beyond their mean
// demand, while batch requests wait.
const (
	// burstStdDevs is the number of slots in standard deviations of the urgent
	// demand. For independent requests the standard deviation is the square root
	// of the mean. With 1.5 of it fewer than one request in ten waits for a slot
	// (Halfin and Whitt: 0.085).
	burstStdDevs = 1.5
	// maxBurstFraction bounds these slots, as a fraction of all slots. At most a
	// tenth of all slots may stay unused while requests wait, and this fraction
	// uses most of that tenth.
	maxBurstFraction = 1.0 / 16
)

// Entry is a request in a Scheduler: waiting, running, or removed.
type Entry struct {
	Request
	Enqueued     time.Time
	Started      time.Time     // zero while it waits
	ExpectedWait time.Duration // as estimated by Enqueue

	// UserData is set and read only by the user of the Scheduler.
	UserData any

	sequence     uint64
	flow         *flow
	startByIndex int // position in the heap by StartBy
	state        entryState
}

type entryState uint8

const (
	waiting entryState = iota
	running
	removed
)

// Waiting reports whether the entry is still in the queue.
func (e *Entry) Waiting() bool { return e.state == waiting }

// Refused is an entry that was removed from the queue without a slot.
type Refused struct {
	Entry   *Entry
	Refusal *Refusal
}

// Scheduler is the queue of one service.
//
// After each Enqueue, call Pop until it returns nil; every popped entry holds a
// slot until Release. TakeRefused returns the entries that were removed from the
// queue in the meantime because they expired or were displaced.
type Scheduler struct {
	slots          int
	burstRemaining int // urgent requests that may still start beyond slots
	running        int
	lastAdvance    time.Time
	sequence       uint64
	ranks          [catalog.RankCount]*rankQueue
	byStartBy      indexedHeap[*Entry]
	refused        []Refused
	random         *rand.Rand
}

// NewScheduler returns an empty queue without slots. The random source adds
// jitter to RetryAfter.
func NewScheduler(config Config, random *rand.Rand) *Scheduler {
	s := &Scheduler{random: random}
	for rank := range s.ranks {
		s.ranks[rank] = newRankQueue()
	}
	s.byStartBy = indexedHeap[*Entry]{less: earlierStartBy, position: func(e *Entry) *int { return &e.startByIndex }}
	s.Configure(config)
	return s
}

// Configure replaces the configuration. Entries that are already queued stay,
// even if they exceed the new bounds.
func (s *Scheduler) Configure(config Config) {
	for rank, c := range config.Ranks {
		q := s.ranks[rank]
		q.config = c
		q.minSlots = c.MinShare * float64(s.slots)
		for _, b := range q.bands {
			b.byUsage.init()
		}
	}
}

// SetSlots sets the number of requests that may run at once. If it is lowered,
// running requests keep their slots.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.advance(now)
	s.slots = max(slots, 0)
	for _, q := range s.ranks {
		q.minSlots = q.config.MinShare * float64(s.slots)
	}
}

// SetBurstAllowance sets the number of urgent requests that may start beyond
// the slots until the next call. Each start beyond the slots counts against it;
// the end of such a request does not restore it.
func (s *Scheduler) SetBurstAllowance(requests int) { s.burstRemaining = max(requests, 0) }

// Slots returns the number of requests that may run at once.
func (s *Scheduler) Slots() int { return s.slots }

// Running returns the number of requests that hold a slot.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting requests of a rank.
func (s *Scheduler) Queued(rank catalog.Rank) int { return s.ranks[rank].queued }

// QueuedBytes returns the memory of the waiting requests of a rank.
func (s *Scheduler) QueuedBytes(rank catalog.Rank) int64 { return s.ranks[rank].bytes }

// TrackedCallers returns the number of callers of a rank whose state is kept,
// including callers without any request. A caller counts once for each priority.
func (s *Scheduler) TrackedCallers(rank catalog.Rank) int {
	tracked, _ := s.ranks[rank].callers()
	return tracked
}

// RankStats returns the state of one rank.
func (s *Scheduler) RankStats(rank catalog.Rank) RankStats {
	q := s.ranks[rank]
	_, active := q.callers()
	return RankStats{
		Queued:  q.queued,
		Bytes:   q.bytes,
		Running: q.running,
		Callers: active,
		Demand:  max(q.meanDemand, float64(q.queued+q.running)),
	}
}

// Enqueue adds a request to the queue, or refuses it if it is not expected to
// start in time or the queue is full. In a full queue it displaces less urgent requests
// of its rank, and then the requests of its priority that are last in the order of the
// caller that uses most of the queue, as long as that caller uses more than the new
// request's caller would.
func (s *Scheduler) Enqueue(now time.Time, req Request) (*Entry, *Refusal) {
	s.advance(now)
	req.Tokens = max(req.Tokens, 1)
	q := s.ranks[req.Rank]
	f := q.flowOf(req.Caller, req.Priority)
	s.sequence++
	e := &Entry{Request: req, Enqueued: now, sequence: s.sequence, flow: f, startByIndex: notInHeap}
	e.ExpectedWait = s.expectedWait(q, f, e)
	if refusal := s.check(now, q, f, e); refusal != nil {
		q.markIdle(f)
		return nil, refusal
	}
	q.add(f, e)
	s.byStartBy.push(e)
	return e, nil
}

// check returns a refusal if e may not join the queue. Otherwise it returns nil,
// after displacing other entries if the queue was full.
func (s *Scheduler) check(now time.Time, q *rankQueue, f *flow, e *Entry) *Refusal {
	if now.Add(e.ExpectedWait).After(e.StartBy) {
		return s.refusal(ReasonLate, e.ExpectedWait)
	}
	b := q.config.Bounds
	if entries, bytes := q.ofCaller(f.caller); entries >= b.CallerEntries || bytes+e.Bytes > b.CallerBytes {
		return s.refusal(ReasonCallerFull, e.ExpectedWait)
	}
	if !s.displaceFor(q, f, e) {
		return s.refusal(ReasonQueueFull, e.ExpectedWait)
	}
	return nil
}

// displaceFor displaces entries until e fits, those of the least urgent priority first. It
// returns false if it would have to displace more urgent entries, or entries of the same
// priority of a caller that uses no more of the queue than the caller of e would.
func (s *Scheduler) displaceFor(q *rankQueue, f *flow, e *Entry) bool {
	for !q.fits(e.Bytes) {
		last := q.lastBand()
		if last == nil || last.priority < e.Priority {
			return false
		}
		victim := last.byUsage.top()
		if last == f.band && (victim == f || q.usage(victim, 0, 0) <= q.usage(f, 1, e.Bytes)) {
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
	q := s.nextRankQueue()
	if q == nil {
		return nil
	}
	if s.running >= s.slots {
		s.burstRemaining--
	}
	e := q.pop()
	s.byStartBy.remove(e)
	s.running++
	e.state = running
	e.Started = now
	return e
}

// nextRankQueue returns the rank that gets the next slot, or nil: the most urgent
// of the ranks below their minimum share, otherwise the most urgent rank that
// leaves its headroom free.
func (s *Scheduler) nextRankQueue() *rankQueue {
	if s.running >= s.slots {
		return s.burstQueue()
	}
	for _, q := range s.ranks {
		if q.queued > 0 && q.belowMinShare() {
			return q
		}
	}
	for rank, q := range s.ranks {
		if q.queued > 0 && s.running+s.headroom(catalog.Rank(rank)) < s.slots {
			return q
		}
	}
	return nil
}

// burstQueue returns the urgent rank if it may start a request beyond the slots,
// or nil.
func (s *Scheduler) burstQueue() *rankQueue {
	urgent := s.ranks[catalog.Urgent]
	if s.burstRemaining <= 0 || urgent.queued == 0 {
		return nil
	}
	return urgent
}

// headroom returns the number of free slots that rank must leave to urgent
// requests: their mean demand plus an allowance for bursts, less the slots that
// they use. Without it, long batch requests take each slot that urgent requests
// leave unused for a moment, and still hold it when urgent requests arrive again.
func (s *Scheduler) headroom(rank catalog.Rank) int {
	urgent, q := s.ranks[catalog.Urgent], s.ranks[rank]
	if rank == catalog.Urgent || q.meanHoldSeconds == 0 || q.running == 0 {
		return 0
	}
	burst := min(burstStdDevs*math.Sqrt(urgent.meanDemand), maxBurstFraction*float64(s.slots))
	reserved := min(urgent.meanDemand+burst, float64(s.slots)-q.minSlots) - float64(urgent.running)
	return int(math.Round(max(reserved, 0)))
}

// Release frees the slot of a running entry. tokens is the number that the
// request actually used; the caller is charged the difference from the estimate.
// Release panics if the entry is not running.
func (s *Scheduler) Release(now time.Time, e *Entry, tokens int) {
	if e.state != running {
		panic("admission: release of an entry that is not running")
	}
	s.advance(now)
	e.state = removed
	s.running--
	s.ranks[e.Rank].release(e, now.Sub(e.Started), max(tokens, 1))
}

// Cancel removes a waiting entry. It returns false if the entry is no longer
// waiting; a running entry must be released instead.
func (s *Scheduler) Cancel(now time.Time, e *Entry) bool {
	s.advance(now)
	if e.state != waiting {
		return false
	}
	s.unlink(e)
	return true
}

// DropWaiting removes all waiting entries, for the given reason.
func (s *Scheduler) DropWaiting(now time.Time, reason Reason) {
	s.advance(now)
	for s.byStartBy.len() > 0 {
		s.drop(s.byStartBy.top(), reason)
	}
}

// TakeRefused returns the entries that were displaced or whose StartBy passed
// since the last call.
func (s *Scheduler) TakeRefused(now time.Time) []Refused {
	s.expire(now)
	refused := s.refused
	s.refused = nil
	return refused
}

func (s *Scheduler) expire(now time.Time) {
	for s.byStartBy.len() > 0 && s.byStartBy.top().StartBy.Before(now) {
		s.drop(s.byStartBy.top(), ReasonExpired)
	}
}

func (s *Scheduler) drop(e *Entry, reason Reason) {
	s.unlink(e)
	s.refused = append(s.refused, Refused{Entry: e, Refusal: s.refusal(reason, e.ExpectedWait)})
}

func (s *Scheduler) unlink(e *Entry) {
	e.state = removed
	s.byStartBy.remove(e)
	s.ranks[e.Rank].remove(e)
}

func (s *Scheduler) refusal(reason Reason, wait time.Duration) *Refusal {
	retry := min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps callers that were refused together from retrying together.
	retry += time.Duration(s.random.Int64N(int64(retry)/2 + 1))
	return &Refusal{Reason: reason, RetryAfter: retry, ExpectedWait: wait}
}

// expectedWait estimates the time until e gets a slot: the time until any slot
// becomes free plus the time to start the entries ahead at the rank's rate. The
// estimate errs on the low side: a refusal that turns out to be unnecessary
// cannot be undone, whereas a request that waits too long is still refused
// before it runs.
func (s *Scheduler) expectedWait(q *rankQueue, f *flow, e *Entry) time.Duration {
	if s.slots == 0 || q.queued == 0 && s.canStartNow(q) {
		return 0
	}
	seconds := s.secondsUntilFreeSlot()
	if q.meanHoldSeconds > 0 {
		seconds += float64(q.entriesAhead(f, e)) * q.meanHoldSeconds / s.expectedSlots(q)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// canStartNow reports whether a request of a rank with an empty queue may start.
func (s *Scheduler) canStartNow(q *rankQueue) bool {
	return s.running < s.slots || s.burstRemaining > 0 && q == s.ranks[catalog.Urgent]
}

// secondsUntilFreeSlot returns the expected time until any slot becomes free.
func (s *Scheduler) secondsUntilFreeSlot() float64 {
	if s.running < s.slots {
		return 0
	}
	rate := 0.0
	for _, q := range s.ranks {
		if q.meanHoldSeconds > 0 {
			rate += float64(q.running) / q.meanHoldSeconds
		}
	}
	if rate == 0 {
		return 0
	}
	return 1 / rate
}

// expectedSlots returns the number of slots that a rank can expect at the current
// demand of the other rank.
func (s *Scheduler) expectedSlots(q *rankQueue) float64 {
	free := float64(s.slots)
	for _, other := range s.ranks {
		if other == q {
			continue
		}
		demand := float64(other.running + other.queued)
		if other == s.ranks[catalog.Urgent] {
			free -= demand
		} else {
			free -= min(demand, other.minSlots)
		}
	}
	return max(free, q.minSlots, 1)
}

// advance updates the ranks for the time since the last call. It ignores a clock
// that goes backward.
func (s *Scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.lastAdvance).Seconds()
	if s.lastAdvance.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	s.lastAdvance = now
	queued := 0
	for _, q := range s.ranks {
		queued += q.queued
	}
	for _, q := range s.ranks {
		q.advance(elapsed, queued > q.queued)
	}
}

// before orders the entries of a caller.
func (e *Entry) before(other *Entry) bool {
	if at, otherAt := e.StartBy.Add(-e.Duration), other.StartBy.Add(-other.Duration); !at.Equal(otherAt) {
		return at.Before(otherAt)
	}
	return e.sequence < other.sequence
}

func earlierStartBy(a, b *Entry) bool {
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return a.sequence < b.sequence
}
