package membership

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of failure detection. An instance that fails is probed within two
// ProbePeriods and removed SuspicionTime+ProbeTimeout later; an instance
// that pauses for up to 2 s answers the confirming probe.
const (
	ProbePeriod     = 250 * time.Millisecond
	ProbeTimeout    = 250 * time.Millisecond
	IndirectTimeout = 500 * time.Millisecond
	SuspicionTime   = 2100 * time.Millisecond // from the first probe that failed
)

const (
	watchCount     = 2 // neighbors that each instance watches
	helperCount    = 2 // instances asked to probe in this one's place
	bridgeCount    = 2 // instances of a region that talk to other regions
	tombstoneLife  = 2 * time.Hour
	forgetAfter    = 2 * time.Minute // Dead until its work has surely ended
	maxSpreadBatch = 16              // records of one pull that are spread further
)

// Machine decides. It does no I/O and is given the time. Its methods are safe
// for concurrent use.
type Machine struct {
	mu       sync.Mutex
	self     *record
	records  map[string]*record
	queue    queue
	random   *rand.Rand
	cursor   int
	view     atomic.Pointer[View]
	onChange []func(*View)
	onForget []func(id string)
}

// NewMachine returns a machine that knows only self. generation must be
// higher than that of any earlier process with the same id, such as the start
// time in nanoseconds.
func NewMachine(self Member, random *rand.Rand) *Machine {
	m := &Machine{
		self:    &record{member: self, incarnation: self.Generation},
		records: make(map[string]*record),
		queue:   queue{left: make(map[string]int)},
		random:  random,
	}
	m.records[self.Instance.ID] = m.self
	m.queue.push(self.Instance.ID, 1)
	m.view.Store(m.newView())
	return m
}

// OnChange calls f with each new view, not concurrently. f must not call the
// machine. It must be called before the machine is used.
func (m *Machine) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// OnForget calls f once an instance has surely ended: it said so, another
// process took its place, or it was dead for long. f must not call the
// machine. It must be called before the machine is used.
func (m *Machine) OnForget(f func(id string)) { m.onForget = append(m.onForget, f) }

// locked runs f under the lock and publishes a new view if f reports a change.
func (m *Machine) locked(f func() bool) {
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

// Watch returns the next neighbor to probe.
func (m *Machine) Watch() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	watched := m.watched()
	if len(watched) == 0 {
		return Member{}, false
	}
	m.cursor++
	return watched[m.cursor%len(watched)].member, true
}

// watched returns the neighbors after self on the ring: the next watchCount
// that are not suspected, so that the neighbors of a failed one are watched at
// once. A suspect that wakes probes others itself and learns of the suspicion.
func (m *Machine) watched() []*record {
	ring := m.liveOf(m.self.member.Instance.Region)
	slices.SortFunc(ring, ringOrder)
	at := slices.Index(ring, m.self)
	var watched []*record
	for i := 1; i < len(ring) && len(watched) < watchCount; i++ {
		if r := ring[(at+i)%len(ring)]; r.state == Alive {
			watched = append(watched, r)
		}
	}
	return watched
}

// liveOf returns the live records of a region, with self.
func (m *Machine) liveOf(region string) []*record {
	var live []*record
	for _, r := range m.records {
		if r.live() && r.member.Instance.Region == region {
			live = append(live, r)
		}
	}
	return live
}

// Random returns up to n live members of the region in random order.
func (m *Machine) Random(n int, except ...string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sample(m.liveOf(m.self.member.Instance.Region), n, except...)
}

// sample returns up to n of records at random, without self.
func (m *Machine) sample(records []*record, n int, except ...string) []Member {
	slices.SortFunc(records, ringOrder) // the map's order would make runs differ
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

// Compose returns the message to an instance.
func (m *Machine) Compose(now time.Time, to string) Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	var msg Message
	ids := m.queue.pop()
	if r := m.records[to]; r == nil {
		msg.Introduce = to != ""
	} else if r.state != Alive && !slices.Contains(ids, to) {
		// It must learn at once that it is suspected, to refute it.
		ids = append(ids, to)
	}
	for _, id := range ids {
		if r := m.records[id]; r != nil {
			msg.Updates = append(msg.Updates, r.update(now))
		}
	}
	return msg
}

// Merge takes over the news of a message.
func (m *Machine) Merge(now time.Time, msg Message) {
	m.locked(func() bool {
		if msg.Introduce {
			m.spread(m.self)
		}
		changed := false
		for i := range msg.Updates {
			if m.apply(now, &msg.Updates[i]) {
				changed = true
				m.spreadID(msg.Updates[i].ID)
			}
		}
		return changed
	})
}

func (m *Machine) spread(r *record) { m.spreadID(r.member.Instance.ID) }

func (m *Machine) spreadID(id string) {
	m.queue.push(id, len(m.liveOf(m.self.member.Instance.Region)))
}

// apply takes over one piece of news and reports whether it was new.
func (m *Machine) apply(now time.Time, u *Update) bool {
	if u.ID == m.self.member.Instance.ID {
		return m.refute(u)
	}
	r := m.records[u.ID]
	if r == nil {
		return m.insert(now, u)
	}
	if u.State == Suspect && r.state == Suspect && u.Incarnation == r.incarnation {
		r.since = earliest(r.since, now.Add(-u.Age))
		return false
	}
	if !r.overridden(u) {
		return false
	}
	switch u.State {
	case Alive:
		return m.revive(now, r, u)
	case Suspect:
		return m.suspect(r, u.Incarnation, now.Add(-u.Age))
	case Dead:
		return m.hearDead(now, r, u)
	default:
		return m.bury(now, r, Left, u.Incarnation)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refute answers news of this instance that is not its own, such as a
// suspicion or the record of its predecessor, with a higher incarnation.
func (m *Machine) refute(u *Update) bool {
	own := u.State == Alive && u.Member != nil && u.Member.Generation == m.self.member.Generation
	if u.Incarnation < m.self.incarnation || own || m.self.state == Left {
		return false
	}
	m.self.incarnation = u.Incarnation + 1
	return true
}

// insert adds an unknown instance. The end of an unknown one is kept too, so
// that older news cannot bring it back.
func (m *Machine) insert(now time.Time, u *Update) bool {
	if u.State == Suspect || u.State == Alive && u.Member == nil {
		return false
	}
	r := &record{incarnation: u.Incarnation, state: u.State, since: now}
	r.member.Instance.ID, r.member.Instance.Region = u.ID, u.Region
	if u.State == Alive {
		r.member = *u.Member
	}
	m.records[u.ID] = r
	m.supersede(now, r)
	return true
}

// revive takes over a newer description of a member.
func (m *Machine) revive(now time.Time, r *record, u *Update) bool {
	if u.Member == nil {
		return false
	}
	if r.member.Generation != u.Member.Generation && r.member.Generation != 0 {
		m.forget(u.ID)
	}
	r.member, r.incarnation, r.state, r.confirming = *u.Member, u.Incarnation, Alive, false
	m.supersede(now, r)
	return true
}

// supersede buries the older instances at the address of a newer one.
func (m *Machine) supersede(now time.Time, r *record) {
	if !r.live() || r.member.Instance.ControlAddr == "" {
		return
	}
	for _, old := range m.records {
		if old != r && old != m.self && old.live() && old.member.Instance.ControlAddr == r.member.Instance.ControlAddr &&
			old.member.Generation < r.member.Generation {
			m.bury(now, old, Left, old.incarnation)
			m.spread(old)
		}
	}
}

// suspect starts or takes over a suspicion, unless this instance has had an
// answer since.
func (m *Machine) suspect(r *record, incarnation uint64, since time.Time) bool {
	if !r.live() || incarnation < r.incarnation || r.heard.After(since) {
		return false
	}
	if r.state == Suspect && incarnation == r.incarnation {
		r.since = earliest(r.since, since)
		return false
	}
	r.state, r.incarnation, r.since = Suspect, incarnation, since
	return true
}

// hearDead takes over that others found a member dead. In the own region this
// instance first probes it itself, so that one instance with a bad connection
// cannot remove a member for all.
func (m *Machine) hearDead(now time.Time, r *record, u *Update) bool {
	if !r.live() {
		return false
	}
	if r.member.Instance.Region != m.self.member.Instance.Region {
		return m.bury(now, r, Dead, u.Incarnation)
	}
	if r.state == Alive {
		r.state, r.incarnation, r.since = Suspect, u.Incarnation, now.Add(-SuspicionTime)
		return true
	}
	r.since = earliest(r.since, now.Add(-SuspicionTime))
	return false
}

// bury records that a member ended.
func (m *Machine) bury(now time.Time, r *record, state State, incarnation uint64) bool {
	wasLeft := r.state == Left
	r.state, r.incarnation, r.since, r.confirming, r.forgotten = state, incarnation, now, false, false
	if state == Left && !wasLeft {
		m.forget(r.member.Instance.ID)
	}
	return true
}

func (m *Machine) forget(id string) {
	for _, f := range m.onForget {
		f(id)
	}
}

// Heard records that an instance answered a probe of this one.
func (m *Machine) Heard(now time.Time, id string) {
	m.locked(func() bool {
		r := m.records[id]
		if r == nil || !r.live() {
			return false
		}
		r.heard = now
		cleared := r.state == Suspect
		r.state, r.confirming = Alive, false
		return cleared
	})
}

// Missed records that a member answered neither this instance, whose probe
// was sent at sentAt, nor the helpers.
func (m *Machine) Missed(sentAt time.Time, id string) {
	m.locked(func() bool {
		r := m.records[id]
		if r == nil || r == m.self || !m.suspect(r, r.incarnation, sentAt) {
			return false
		}
		m.spread(r)
		return true
	})
}

// Due returns the suspects whose time is over. They are probed a last time;
// the result goes to Confirm.
func (m *Machine) Due(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []Member
	for _, r := range m.records {
		if r.state == Suspect && !r.confirming && !now.Before(r.since.Add(SuspicionTime)) {
			r.confirming = true
			due = append(due, r.member)
		}
	}
	return due
}

// NextDue returns when Due has something to return next.
func (m *Machine) NextDue() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for _, r := range m.records {
		if r.state != Suspect || r.confirming {
			continue
		}
		if at := r.since.Add(SuspicionTime); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Confirm removes a suspect that did not answer the last probe either.
func (m *Machine) Confirm(now time.Time, id string) {
	m.locked(func() bool {
		r := m.records[id]
		if r == nil || r.state != Suspect || !r.confirming {
			return false
		}
		m.bury(now, r, Dead, r.incarnation)
		m.spread(r)
		return true
	})
}

// Sweep drops what is no longer needed of instances that ended. It is called
// now and then.
func (m *Machine) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, r := range m.records {
		if r.live() {
			continue
		}
		age := now.Sub(r.since)
		if r.state == Dead && age > forgetAfter && !r.forgotten {
			r.forgotten = true
			m.forget(id)
		}
		if age > tombstoneLife {
			delete(m.records, id)
		}
	}
}

// SetServing announces whether this instance takes new work.
func (m *Machine) SetServing(serving bool) {
	m.locked(func() bool {
		if m.self.member.Serving == serving {
			return false
		}
		m.self.member.Serving = serving
		m.self.incarnation++
		m.spread(m.self)
		return true
	})
}

// SetLeft announces that this instance ends.
func (m *Machine) SetLeft() {
	m.locked(func() bool {
		m.self.state = Left
		m.self.incarnation++
		m.spread(m.self)
		return true
	})
}

// intN returns a random number below n.
func (m *Machine) intN(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// Incarnation returns the incarnation of this instance. A change means that
// there is news of it, which the caller sends to a few instances at once.
func (m *Machine) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.incarnation
}
