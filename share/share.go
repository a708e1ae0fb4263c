// Package share divides rate and concurrency limits among the instances of a
// region according to their demand, without a coordinator and without the
// store. The instances that share a limit are its members.
//
// Demand has two levels. Within each level, the limit is divided by weighted
// max-min fairness. With the number of callers as the weight, a member with more
// callers receives more, no matter how much one caller sends. The first level
// takes precedence, except for a reserve that the second level keeps.
//
// A limit consists of UnitsPerMember units for each member, and each member
// starts with that many: an equal share. A member that holds more units than
// its target transfers some to a member that holds fewer. It first lowers its
// own count and then announces the sum of all units that it ever transferred to
// that peer; the peer adds that sum to its own count. The sums only increase, so
// lost, delayed and duplicated messages never create units. The units held by
// members with the same view of the membership therefore never exceed the limit.
//
// A member lends only units of its own equal share, and returns units that it has
// borrowed to the peers that lent them. Whichever peers depart, it therefore never
// owes units, and no third member uses units of a departed one.
//
// While the views differ, the shares add up to at most the limit times the
// number of running members divided by the smallest number of members that one
// of them counts. For SettleTime after Forget, a departed member is still
// counted, and the units lent to it stay deducted. A later incarnation of
// it takes its place in the count at once and uses the floor, which a member never
// transfers. For SettleTime after its start, a new member uses at most the floor
// and transfers nothing. Therefore, if all members receive a membership change
// within SettleTime of each other, they exceed the limit by at most the floor of
// each new member plus an equal share for each member that was forgotten but still
// runs.
package share

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// UnitsPerMember is the number of units in an equal share of a limit.
	UnitsPerMember = 4096
	// transferInterval is the minimum time between two transfers of the same
	// limit to the same peer. It is longer than the time until the unit count
	// that the peer announces includes the first transfer.
	transferInterval = 2 * time.Second
	// demandTTL is how long a peer's demand counts after its last announcement.
	demandTTL = time.Minute
	// tombstoneTTL is how long states of a forgotten incarnation are ignored.
	tombstoneTTL = 10 * time.Minute
)

// Key identifies a limit.
type Key uint64

// KeyOf returns the key of the limit that the parts identify, such as a service
// and a caller. The order of the parts matters.
func KeyOf(parts ...string) Key {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

// Config configures a Table.
type Config struct {
	Topic string // topic name on the wire
	Self  string // ID of this instance
	Clock func() time.Time
	// Floor is the fraction of an equal share, from 0 to 1, that a member never
	// transfers away.
	Floor float64
	// SettleTime is the time within which all members receive a membership
	// change.
	SettleTime time.Duration
	// IsolationTimeout is the time without a state from any peer after which a
	// member uses at most an equal share.
	IsolationTimeout time.Duration
	// AssumedMembers is the number of members assumed until SetMembers is called
	// or a peer's state arrives.
	AssumedMembers int
	// MaxStateBytes bounds the size of a state. Limits that do not fit are sent
	// in later rounds.
	MaxStateBytes int
	// Observe is called for each change of the members that are counted; nil
	// ignores them. It must neither block nor call methods of the table.
	Observe func(*MemberChange)
}

// DefaultConfig returns the default configuration for a topic and the ID of this
// instance.
func DefaultConfig(topic, self string) Config {
	return Config{
		Topic: topic, Self: self, Clock: time.Now,
		Floor: 0.25, SettleTime: 5 * time.Second, IsolationTimeout: 10 * time.Second,
		AssumedMembers: 16, MaxStateBytes: 1 << 10,
	}
}

// Table holds this instance's shares of any number of limits. It implements
// exchange.Topic. Its methods are safe for concurrent use.
type Table struct {
	config Config
	selfID memberID

	mu            sync.Mutex
	incarnation   uint64
	incarnationID incarnationID
	started       time.Time
	lastReceived  time.Time // when the last state of any peer was merged
	membersSet    bool      // SetMembers was called
	members       map[memberID]*member
	departed      []departure
	tombstones    map[tombstone]time.Time
	limits        map[Key]*limitState
	order         []Key // keys of limits, announced round-robin
	cursor        int   // index in order of the next limit to announce
	changed       []Key // keys to announce ahead of the round-robin order
	scratch       []allocation
}

// memberID is a digest of an instance's ID.
type memberID uint32

func idOf(instance string) memberID { return memberID(xxhash.Sum64String(instance)) }

// incarnationID is a digest of a member ID and an incarnation. Units are
// transferred to an incarnation, so that a restarted member cannot use units that
// its previous incarnation received.
type incarnationID uint32

func incarnationIDOf(id memberID, incarnation uint64) incarnationID {
	var text [12]byte
	binary.LittleEndian.PutUint32(text[:], uint32(id))
	binary.LittleEndian.PutUint64(text[4:], incarnation)
	return incarnationID(xxhash.Sum64(text[:]))
}

// member is another instance of the region.
type member struct {
	incarnation uint64 // 0: set by SetMembers, but no state received yet
}

func (m *member) incarnationID(id memberID) incarnationID { return incarnationIDOf(id, m.incarnation) }

// departure is a forgotten member that is still counted, unless a later
// incarnation has taken its place.
type departure struct {
	id    memberID
	until time.Time
}

// tombstone identifies an incarnation that was forgotten or replaced by a later
// one. Its states are ignored.
type tombstone struct {
	member      memberID
	incarnation uint64
}

// limitState is this member's view of one limit.
type limitState struct {
	demand               Demand
	peers                map[memberID]*peerState
	deductions           []deduction
	pendingAnnouncements int // ahead of the round-robin order
}

// peerState is the latest known state of one peer for a limit.
type peerState struct {
	receivedUnits, sentUnits uint64 // total units received from the peer and sent to it
	levels                   [2]Level
	heldUnits                int64
	updatedAt                time.Time // when levels and heldUnits were received
	lastTransfer             time.Time // when units were last sent to the peer
}

// levelsAt returns the peer's demand, or no demand if the last announcement is
// older than demandTTL.
func (p *peerState) levelsAt(now time.Time) [2]Level {
	if now.Sub(p.updatedAt) > demandTTL {
		return [2]Level{}
	}
	return p.levels
}

// borrowed returns the units received from the peer and not returned to it; less
// than 0 if this member has lent units to the peer.
func (p *peerState) borrowed() int64 { return int64(p.receivedUnits) - int64(p.sentUnits) }

// deduction is the number of units that were lent to a forgotten member.
// They stay subtracted until all members have forgotten it.
type deduction struct {
	units int64
	until time.Time
}

// NewTable returns the table of a member that has just started. The SettleTime of
// the member begins now.
func NewTable(config Config) *Table {
	now := config.Clock()
	t := &Table{
		config:       config,
		selfID:       idOf(config.Self),
		lastReceived: now,
		members:      make(map[memberID]*member),
		tombstones:   make(map[tombstone]time.Time),
		limits:       make(map[Key]*limitState),
	}
	t.startIncarnation(now)
	return t
}

// startIncarnation sets a later incarnation than any before and restarts the
// SettleTime of this member.
func (t *Table) startIncarnation(now time.Time) {
	t.incarnation = max(uint64(now.UnixNano()), t.incarnation+1)
	t.incarnationID = incarnationIDOf(t.selfID, t.incarnation)
	t.started = now
}

// SetMembers sets the IDs of the instances of the region, as the directory lists
// them. A listed member is counted before its first state arrives. A member whose
// state was received is counted until Forget, listed or not.
func (t *Table) SetMembers(instances []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.membersSet = true
	listed := make(map[memberID]bool, len(instances))
	for _, instance := range instances {
		id := idOf(instance)
		listed[id] = true
		if id != t.selfID && t.members[id] == nil {
			t.members[id] = &member{}
		}
	}
	for id, m := range t.members {
		if m.incarnation == 0 && !listed[id] {
			delete(t.members, id)
		}
	}
}

// SetDemand sets how much of a limit this instance could use now.
func (t *Table) SetDemand(key Key, demand Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[key]
	if s == nil {
		if demand.isEmpty() {
			return
		}
		s = t.limit(key)
	}
	if s.demand.differsSignificantly(&demand) {
		t.markChanged(key, s)
	}
	s.demand = demand
}

// Share is this instance's share of a limit and what determines it.
type Share struct {
	Fraction  float64 // of the limit, from 0 to 1, that this instance may use
	HeldUnits int64
	Members   int // that the limit is divided among
	Bound     Bound
}

// Bound is the reason why an instance uses fewer units than it holds.
type Bound string

// The bounds on the units that an instance uses.
const (
	Unbounded Bound = ""
	Settling  Bound = "settling" // the floor for SettleTime after the start
	Isolated  Bound = "isolated" // an equal share without a state from any peer
)

// Fraction returns the fraction of a limit, from 0 to 1, that this instance may
// use now.
func (t *Table) Fraction(key Key) float64 { return t.Share(key).Fraction }

// Share returns this instance's share of a limit now.
func (t *Table) Share(key Key) Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock()
	held := int64(UnitsPerMember)
	if s := t.limits[key]; s != nil {
		held = s.heldUnits(now)
	}
	usable, bound := t.usable(now, held)
	members := t.count(now)
	return Share{
		Fraction:  float64(usable) / float64(UnitsPerMember*int64(members)),
		HeldUnits: held, Members: members, Bound: bound,
	}
}

// usable returns how many of the held units this instance may use. While its peers
// may have a different view of the membership, the instance uses fewer: at most the
// floor for SettleTime after its start, and at most an equal share once
// IsolationTimeout has passed without a state from any peer.
func (t *Table) usable(now time.Time, held int64) (int64, Bound) {
	if len(t.members) == 0 {
		return held, Unbounded
	}
	if now.Sub(t.started) < t.config.SettleTime {
		return min(held, t.floor()), Settling
	}
	if now.Sub(t.lastReceived) > t.config.IsolationTimeout {
		return min(held, UnitsPerMember), Isolated
	}
	return held, Unbounded
}

func (t *Table) floor() int64 { return int64(t.config.Floor * UnitsPerMember) }

// Members returns the number of members that a limit is divided among. It
// includes this one and, for SettleTime after Forget, departed ones.
func (t *Table) Members() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(t.config.Clock())
}

func (t *Table) count(now time.Time) int {
	if len(t.members) == 0 && !t.membersSet {
		return max(t.config.AssumedMembers, 1)
	}
	count := 1 + len(t.members)
	kept := t.departed[:0]
	for _, d := range t.departed {
		if !now.Before(d.until) {
			continue
		}
		kept = append(kept, d)
		if t.members[d.id] == nil {
			count++
		}
	}
	t.departed = kept
	return count
}

func (t *Table) limit(key Key) *limitState {
	s := t.limits[key]
	if s == nil {
		s = &limitState{peers: make(map[memberID]*peerState)}
		t.limits[key] = s
		t.order = append(t.order, key)
	}
	return s
}

// heldUnits returns the units that this instance holds.
func (s *limitState) heldUnits(now time.Time) int64 {
	held := s.ownUnits(now)
	for _, p := range s.peers {
		held += max(p.borrowed(), 0)
	}
	return held
}

// ownUnits returns the units of this instance's equal share that are not lent.
func (s *limitState) ownUnits(now time.Time) int64 {
	own := int64(UnitsPerMember)
	for _, p := range s.peers {
		own += min(p.borrowed(), 0)
	}
	kept := s.deductions[:0]
	for _, deducted := range s.deductions {
		if now.Before(deducted.until) {
			own -= deducted.units
			kept = append(kept, deducted)
		}
	}
	s.deductions = kept
	return own
}

func (s *limitState) peer(id memberID) *peerState {
	p := s.peers[id]
	if p == nil {
		p = &peerState{heldUnits: UnitsPerMember}
		s.peers[id] = p
	}
	return p
}

// Forget implements exchange.Topic. Units borrowed from the member are lost at
// once; units lent to it return after SettleTime.
func (t *Table) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := idOf(instance)
	m := t.members[id]
	if m == nil {
		return
	}
	now := t.config.Clock()
	delete(t.members, id)
	t.departed = append(t.departed, departure{id: id, until: now.Add(t.config.SettleTime)})
	t.retireIncarnation(now, id, m.incarnation)
	t.observe(now, MemberForgotten, instance, m.incarnation)
}

// retireIncarnation removes an incarnation from all limits, converts the units
// lent to it into deductions and ignores its later states.
func (t *Table) retireIncarnation(now time.Time, id memberID, incarnation uint64) {
	for entry, until := range t.tombstones {
		if now.After(until) {
			delete(t.tombstones, entry)
		}
	}
	t.tombstones[tombstone{id, incarnation}] = now.Add(tombstoneTTL)
	for _, s := range t.limits {
		p := s.peers[id]
		if p == nil {
			continue
		}
		if lent := -p.borrowed(); lent > 0 {
			s.deductions = append(s.deductions, deduction{units: lent, until: now.Add(t.config.SettleTime)})
		}
		delete(s.peers, id)
	}
}

// restart starts a new incarnation after a peer has forgotten the present one, so
// that neither side counts transferred units that the other has removed.
func (t *Table) restart(now time.Time) {
	t.observe(now, SelfForgotten, t.config.Self, t.incarnation)
	t.startIncarnation(now)
	for _, s := range t.limits {
		clear(s.peers)
		s.deductions = nil
	}
}
