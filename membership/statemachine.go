package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of failure detection. A failed instance is probed within two
// ProbePeriods and removed SuspicionTimeout+ProbeTimeout after that probe. An
// instance that pauses for up to 2 s is not removed, since it still answers the
// confirming probes, which end ProbeTimeout after the first of them is sent.
const (
	ProbePeriod          = 250 * time.Millisecond
	ProbeTimeout         = 250 * time.Millisecond
	IndirectProbeTimeout = 500 * time.Millisecond
	SuspicionTimeout     = 2100 * time.Millisecond // from the sending of the first failed probe to the first confirming probe
)

const (
	neighborCount      = 2               // neighbors that each instance probes
	relayCount         = 2               // instances requested to probe a member that did not answer this instance
	bridgeCount        = 2               // instances of a region that synchronize records with other regions
	tombstoneRetention = 2 * time.Hour   // time for which records that are Dead or Left are kept
	terminationDelay   = 2 * time.Minute // time as Dead after which an instance's work is assumed to have ended
	maxGossipedRecords = 16              // changed records of one pull that are also gossiped
)

// StateMachine is the state machine of the membership protocol. It does no I/O,
// and its methods receive the current time as an argument. They are safe for
// concurrent use.
type StateMachine struct {
	mu           sync.Mutex
	self         *record
	records      map[string]*record
	queue        gossipQueue
	random       *rand.Rand
	cursor       int
	view         atomic.Pointer[View]
	onChange     []func(*View)
	onTerminated []func(id string)
}

// NewStateMachine returns a state machine whose only member is self. The
// generation of self must be higher than that of any earlier process with the
// same id; the start time in nanoseconds is suitable.
func NewStateMachine(self Member, random *rand.Rand) *StateMachine {
	m := &StateMachine{
		self:    &record{member: self, incarnation: self.Generation},
		records: make(map[string]*record),
		queue:   gossipQueue{remaining: make(map[string]int)},
		random:  random,
	}
	m.records[self.Instance.ID] = m.self
	m.queue.push(self.Instance.ID, 1)
	m.view.Store(m.newView())
	return m
}

// OnChange registers f, which is called with each new view, never concurrently.
// f must not call methods of m. OnChange must be called before m is used.
func (m *StateMachine) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// OnTerminated registers f, which is called with the id of an instance once its
// process is assumed to have ended: it announced its end, another process
// replaced it, or it has been Dead for terminationDelay. f must not call
// methods of m. OnTerminated must be called before m is used.
func (m *StateMachine) OnTerminated(f func(id string)) { m.onTerminated = append(m.onTerminated, f) }

// mutate runs f under the lock and publishes a new view if f returns true.
func (m *StateMachine) mutate(f func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !f() {
		return
	}
	view := m.newView()
	m.view.Store(view)
	for _, f := range m.onChange {
		f(view)
	}
}

// NextNeighbor returns the next neighbor to probe, in round-robin order. It
// returns false if there is none.
func (m *StateMachine) NextNeighbor() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	neighbors := m.neighbors()
	if len(neighbors) == 0 {
		return Member{}, false
	}
	m.cursor++
	return neighbors[m.cursor%len(neighbors)].member, true
}

// neighbors returns the next neighborCount Alive members after self on the ring.
// Suspects are skipped, so that the members behind a failed one are probed at
// once. A suspect that resumes after a pause probes others itself and receives
// the suspicion in their responses.
func (m *StateMachine) neighbors() []*record {
	ring := m.liveRecords(m.self.member.Instance.Region)
	slices.SortFunc(ring, compareRingPosition)
	selfIndex := slices.Index(ring, m.self)
	var neighbors []*record
	for i := 1; i < len(ring) && len(neighbors) < neighborCount; i++ {
		if r := ring[(selfIndex+i)%len(ring)]; r.state == Alive {
			neighbors = append(neighbors, r)
		}
	}
	return neighbors
}

// sortedRecords returns the records for which keep returns true, sorted by id. Map
// iteration order would make simulations irreproducible.
func (m *StateMachine) sortedRecords(keep func(*record) bool) []*record {
	var kept []*record
	for _, r := range m.records {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b *record) int { return cmp.Compare(a.member.Instance.ID, b.member.Instance.ID) })
	return kept
}

// liveRecords returns the live records of a region, including self.
func (m *StateMachine) liveRecords(region string) []*record {
	var live []*record
	for _, r := range m.records {
		if r.live() && r.member.Instance.Region == region {
			live = append(live, r)
		}
	}
	return live
}

// RandomMembers returns up to n other live members of the own region in random
// order, without the ids in except.
func (m *StateMachine) RandomMembers(n int, except ...string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sample(m.liveRecords(m.self.member.Instance.Region), n, except...)
}

// sample returns the members of up to n random records, without self and the ids
// in except. It reorders records.
func (m *StateMachine) sample(records []*record, n int, except ...string) []Member {
	slices.SortFunc(records, compareRingPosition) // map iteration order would make simulations irreproducible
	m.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	var members []Member
	for _, r := range records {
		if len(members) == n {
			break
		}
		if r != m.self && !slices.Contains(except, r.member.Instance.ID) {
			members = append(members, r.member)
		}
	}
	return members
}

// Compose returns the next message for the instance with id to, which is empty
// if the id is unknown. It counts as one transmission of each queued update in
// the message.
func (m *StateMachine) Compose(now time.Time, to string) Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	var msg Message
	ids := m.queue.nextBatch()
	if r := m.records[to]; r == nil {
		msg.Introduce = to != ""
	} else if r.state != Alive && !slices.Contains(ids, to) {
		// The receiver must get the suspicion of itself at once, to refute it.
		ids = append(ids, to)
	}
	for _, id := range ids {
		if r := m.records[id]; r != nil {
			msg.Updates = append(msg.Updates, r.update(now))
		}
	}
	return msg
}

// Merge applies the updates of a received message and gossips those that changed
// a record.
func (m *StateMachine) Merge(now time.Time, msg Message) {
	m.mutate(func() bool {
		if msg.Introduce {
			m.gossip(m.self)
		}
		changed := false
		for i := range msg.Updates {
			if m.apply(now, &msg.Updates[i]) {
				changed = true
				m.gossipID(msg.Updates[i].ID)
			}
		}
		return changed
	})
}

func (m *StateMachine) gossip(r *record) { m.gossipID(r.member.Instance.ID) }

func (m *StateMachine) gossipID(id string) {
	m.queue.push(id, len(m.liveRecords(m.self.member.Instance.Region)))
}

// apply applies one update and reports whether it changed a record in a way that
// other instances must receive.
func (m *StateMachine) apply(now time.Time, u *Update) bool {
	if u.ID == m.self.member.Instance.ID {
		return m.refute(u)
	}
	r := m.records[u.ID]
	if r == nil {
		return m.insert(now, u)
	}
	if u.State == Suspect && r.state == Suspect && u.Incarnation == r.incarnation {
		return m.suspect(r, u.Incarnation, now.Add(-u.Age))
	}
	if !r.overriddenBy(u) {
		return false
	}
	switch u.State {
	case Alive:
		return m.applyAlive(now, r, u)
	case Suspect:
		return m.suspect(r, u.Incarnation, now.Add(-u.Age))
	case Dead:
		return m.applyDead(now, r, u)
	default:
		return m.markEnded(now, r, Left, u.Incarnation)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refute raises the incarnation of this instance if u is an update of it that it
// did not send, such as a suspicion or the record of an earlier process with the
// same id.
func (m *StateMachine) refute(u *Update) bool {
	own := u.State == Alive && u.Member != nil && u.Member.Generation == m.self.member.Generation
	if u.Incarnation < m.self.incarnation || own || m.self.state == Left {
		return false
	}
	m.self.incarnation = u.Incarnation + 1
	return true
}

// insert adds a record of an unknown instance. A record is also added for an
// unknown instance that is Dead or Left, so that an older update cannot add it
// as Alive afterwards.
func (m *StateMachine) insert(now time.Time, u *Update) bool {
	if u.State == Suspect || u.State == Alive && u.Member == nil {
		return false
	}
	r := &record{incarnation: u.Incarnation, state: u.State, since: now}
	r.member.Instance.ID, r.member.Instance.Region = u.ID, u.Region
	if u.State == Alive {
		r.member = *u.Member
	}
	m.records[u.ID] = r
	m.endPredecessors(now, r)
	return true
}

// applyAlive replaces the description of a member with the newer one of u.
func (m *StateMachine) applyAlive(now time.Time, r *record, u *Update) bool {
	if u.Member == nil {
		return false
	}
	if r.member.Generation != u.Member.Generation && r.member.Generation != 0 {
		m.notifyTerminated(u.ID)
	}
	r.member, r.incarnation, r.state, r.confirming = *u.Member, u.Incarnation, Alive, false
	m.endPredecessors(now, r)
	return true
}

// endPredecessors marks as Left the live instances of lower generation that have
// the control address of r.
func (m *StateMachine) endPredecessors(now time.Time, r *record) {
	if !r.live() || r.member.Instance.ControlAddr == "" {
		return
	}
	predecessors := m.sortedRecords(func(old *record) bool {
		return old != r && old != m.self && old.live() && old.member.Instance.ControlAddr == r.member.Instance.ControlAddr &&
			old.member.Generation < r.member.Generation
	})
	for _, old := range predecessors {
		m.markEnded(now, old, Left, old.incarnation)
		m.gossip(old)
	}
}

// suspect marks a live member as Suspect since the given time, unless it has
// responded to a probe by this instance after that time. It reports whether the
// suspicion is new.
func (m *StateMachine) suspect(r *record, incarnation uint64, since time.Time) bool {
	if !r.live() || incarnation < r.incarnation || r.lastResponse.After(since) {
		return false
	}
	if r.state == Suspect && incarnation == r.incarnation {
		r.since = earliest(r.since, since)
		return false
	}
	r.state, r.incarnation, r.since, r.confirming = Suspect, incarnation, since, false
	return true
}

// applyDead applies an update that says that a member is Dead. A member of the
// own region is marked as a Suspect whose SuspicionTimeout has expired instead:
// this instance then sends it confirming probes of its own, so that one instance
// with a bad connection cannot remove a member for all.
func (m *StateMachine) applyDead(now time.Time, r *record, u *Update) bool {
	if !r.live() {
		return false
	}
	if r.member.Instance.Region != m.self.member.Instance.Region {
		return m.markEnded(now, r, Dead, u.Incarnation)
	}
	if r.state == Alive {
		r.state, r.incarnation, r.since = Suspect, u.Incarnation, now.Add(-SuspicionTimeout)
		return true
	}
	r.since = earliest(r.since, now.Add(-SuspicionTimeout))
	return false
}

// markEnded marks a member as Dead or Left. Left is reported to the
// OnTerminated callbacks at once, Dead later by Sweep.
func (m *StateMachine) markEnded(now time.Time, r *record, state State, incarnation uint64) bool {
	wasLeft := r.state == Left
	r.state, r.incarnation, r.since, r.confirming, r.terminationReported = state, incarnation, now, false, false
	if state == Left && !wasLeft {
		m.notifyTerminated(r.member.Instance.ID)
	}
	return true
}

func (m *StateMachine) notifyTerminated(id string) {
	for _, f := range m.onTerminated {
		f(id)
	}
}

// ProbeSucceeded records that the instance with the given id responded to a probe
// by this one or to a confirming probe by a relay. It ends any suspicion of that
// instance.
func (m *StateMachine) ProbeSucceeded(now time.Time, id string) {
	m.mutate(func() bool {
		r := m.records[id]
		if r == nil || !r.live() {
			return false
		}
		r.lastResponse = now
		cleared := r.state == Suspect
		r.state, r.confirming = Alive, false
		return cleared
	})
}

// ProbeFailed marks a member as Suspect that answered neither the probe that this
// instance sent at sentAt nor the probes after it.
func (m *StateMachine) ProbeFailed(sentAt time.Time, id string) {
	m.mutate(func() bool {
		r := m.records[id]
		if r == nil || r == m.self || !m.suspect(r, r.incarnation, sentAt) {
			return false
		}
		m.gossip(r)
		return true
	})
}

// ExpiredSuspects returns, once each, the suspects whose SuspicionTimeout has
// expired. The caller sends each confirming probes and calls ProbeSucceeded or
// ConfirmDead.
func (m *StateMachine) ExpiredSuspects(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var expired []Member
	for _, r := range m.sortedRecords(func(r *record) bool {
		return r.state == Suspect && !r.confirming && !now.Before(r.since.Add(SuspicionTimeout))
	}) {
		r.confirming = true
		expired = append(expired, r.member)
	}
	return expired
}

// NextExpiry returns the time of the next expiry of a suspicion, and false if
// there is none.
func (m *StateMachine) NextExpiry() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for _, r := range m.records {
		if r.state != Suspect || r.confirming {
			continue
		}
		if at := r.since.Add(SuspicionTimeout); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// ConfirmDead marks a suspect as Dead that answered none of the
// confirming probes.
func (m *StateMachine) ConfirmDead(now time.Time, id string) {
	m.mutate(func() bool {
		r := m.records[id]
		if r == nil || r.state != Suspect || !r.confirming {
			return false
		}
		m.markEnded(now, r, Dead, r.incarnation)
		m.gossip(r)
		return true
	})
}

// Sweep reports instances that have been Dead for terminationDelay to the
// OnTerminated callbacks, and deletes records after tombstoneRetention. It must
// be called periodically.
func (m *StateMachine) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.sortedRecords(func(r *record) bool { return !r.live() }) {
		id, age := r.member.Instance.ID, now.Sub(r.since)
		if r.state == Dead && age > terminationDelay && !r.terminationReported {
			r.terminationReported = true
			m.notifyTerminated(id)
		}
		if age > tombstoneRetention {
			delete(m.records, id)
		}
	}
}

// SetServing sets whether this instance takes new work and queues the change as
// an update.
func (m *StateMachine) SetServing(serving bool) {
	m.mutate(func() bool {
		if m.self.member.Serving == serving {
			return false
		}
		m.self.member.Serving = serving
		m.self.incarnation++
		m.gossip(m.self)
		return true
	})
}

// SetLeft marks this instance as Left and queues the change as an update.
func (m *StateMachine) SetLeft() {
	m.mutate(func() bool {
		m.self.state = Left
		m.self.incarnation++
		m.gossip(m.self)
		return true
	})
}

// intN returns a random number in [0, n).
func (m *StateMachine) intN(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// newRandom returns a random source seeded by that of m.
func (m *StateMachine) newRandom() *rand.Rand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64()))
}

// Incarnation returns the incarnation of this instance. If it changed, the caller
// sends the new record of this instance to a few instances at once.
func (m *StateMachine) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.incarnation
}
