// Package share divides limits among the instances of a region by demand,
// without a coordinator and without the store.
//
// A division has two levels of urgency. At each, members get parts by weighted
// max-min fairness, so that one with more callers gets more, whatever a single
// caller sends; the second level keeps a reserve.
//
// Each member of the region starts with an equal part of a limit, of Units
// units. A member with more than its demand asks for gives units to one with
// less: it lowers its own holding first and then announces the sum of all it
// ever gave to that peer, which the peer adds to its own. Because the sums only
// grow, lost, late and doubled messages never create units. The holdings of
// members that agree on the membership therefore never exceed the limit.
//
// While they disagree, the sum is at most the limit times the number of
// running members over the smallest number that one of them counts. A member
// that left is counted, and what was given to it is missed, for Settle after
// Forget; a new member holds only the floor for Settle after its start. So
// members that learn of a change within Settle of each other never exceed the
// limit by more than the floor of each new member, and by an equal part for
// each member that was forgotten but still runs.
package share

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Units is the number of units of an equal part.
	Units = 4096
	// giveInterval is the least time between two gifts of a key to the same
	// peer. It exceeds the time until the peer's announced holding includes
	// the first.
	giveInterval = 2 * time.Second
	// demandLife is how long a demand counts that is not announced again.
	demandLife = time.Minute
	// tombstoneLife is how long a state of a forgotten member is refused.
	tombstoneLife = 10 * time.Minute
)

// Key identifies a limit.
type Key uint64

// KeyOf returns the key of the limit that the parts name together.
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
	Topic string // name on the wire
	Self  string // id of this instance
	Clock func() time.Time
	// Floor is the part of an equal part that a member never gives away, 0..1.
	Floor float64
	// Settle is the time within which all members learn of a change of the
	// membership.
	Settle time.Duration
	// Isolation is the time without any peer after which a member uses no
	// more than an equal part.
	Isolation time.Duration
	// Unknown is the number of members assumed before any is known.
	Unknown int
	// StateBytes bounds a state; more limits take more rounds.
	StateBytes int
}

// DefaultConfig returns the configuration for a topic.
func DefaultConfig(topic, self string) Config {
	return Config{
		Topic: topic, Self: self, Clock: time.Now,
		Floor: 0.25, Settle: 5 * time.Second, Isolation: 10 * time.Second,
		Unknown: 16, StateBytes: 1 << 10,
	}
}

// Table holds this instance's parts of any number of limits. It implements
// exchange.Topic. Its methods are safe for concurrent use.
type Table struct {
	config Config
	selfID memberID

	mu          sync.Mutex
	incarnation uint64
	address     address
	started     time.Time
	heard       time.Time // last state of any peer
	listed      bool      // the members were set
	members     map[memberID]*member
	departed    []departure
	tombstones  map[tombstone]time.Time
	rows        map[Key]*row
	order       []Key // all rows, to announce in turn
	cursor      int
	urgent      []Key // keys whose change was not announced yet
	scratch     []claim
}

// memberID is a digest of an instance's id.
type memberID uint32

func idOf(instance string) memberID { return memberID(xxhash.Sum64String(instance)) }

// address is a digest of one incarnation of a member. Units are given to an
// incarnation, so that a restarted member cannot take what its predecessor
// was given.
type address uint32

func addressOf(id memberID, incarnation uint64) address {
	var text [12]byte
	binary.LittleEndian.PutUint32(text[:], uint32(id))
	binary.LittleEndian.PutUint64(text[4:], incarnation)
	return address(xxhash.Sum64(text[:]))
}

// member is another instance of the region.
type member struct {
	incarnation uint64 // 0: listed but never heard
}

func (m *member) address(id memberID) address { return addressOf(id, m.incarnation) }

// departure is a member that was forgotten but is still counted.
type departure struct{ until time.Time }

// tombstone is an incarnation of a member that was forgotten.
type tombstone struct {
	member      memberID
	incarnation uint64
}

// row is one limit.
type row struct {
	demand   Demand
	cells    map[memberID]*cell
	retired  []retirement
	announce int // announcements due ahead of turn
}

// cell is what is known of one peer's part of a limit.
type cell struct {
	in, out uint64 // units ever received from the peer and given to it
	levels  [2]Level
	held    int64
	at      time.Time // when levels and held were received
	gave    time.Time // when units were given last
}

// levelsAt returns the peer's demand unless it is too old to count.
func (c *cell) levelsAt(now time.Time) [2]Level {
	if now.Sub(c.at) > demandLife {
		return [2]Level{}
	}
	return c.levels
}

// retirement is what was given to a forgotten member. It is missed until all
// members have forgotten it.
type retirement struct {
	units int64
	until time.Time
}

// NewTable returns the table of a member that has just started.
func NewTable(config Config) *Table {
	now := config.Clock()
	t := &Table{
		config:     config,
		selfID:     idOf(config.Self),
		heard:      now,
		members:    make(map[memberID]*member),
		tombstones: make(map[tombstone]time.Time),
		rows:       make(map[Key]*row),
	}
	t.begin(now)
	return t
}

// begin starts an incarnation.
func (t *Table) begin(now time.Time) {
	t.incarnation = max(uint64(now.UnixNano()), t.incarnation+1)
	t.address = addressOf(t.selfID, t.incarnation)
	t.started = now
}

// SetMembers names the instances of the region as the directory lists them.
// A listed member counts before it is heard; one that was heard counts until
// Forget.
func (t *Table) SetMembers(instances []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	list := make(map[memberID]bool, len(instances))
	for _, instance := range instances {
		id := idOf(instance)
		list[id] = true
		if id != t.selfID && t.members[id] == nil {
			t.members[id] = &member{}
		}
	}
	for id, m := range t.members {
		if m.incarnation == 0 && !list[id] {
			delete(t.members, id)
		}
	}
}

// SetDemand states how much of a limit this instance could use now.
func (t *Table) SetDemand(key Key, demand Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	if r == nil {
		if demand.none() {
			return
		}
		r = t.row(key)
	}
	if r.demand.differs(&demand) {
		t.urge(key, r)
	}
	r.demand = demand
}

// Fraction returns the part of a limit that this instance may use, 0..1.
func (t *Table) Fraction(key Key) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock()
	held := int64(Units)
	if r := t.rows[key]; r != nil {
		held = r.held(now)
	}
	return float64(t.usable(now, held)) / float64(Units*int64(t.count(now)))
}

// usable lowers a holding where the membership may not be known to all.
func (t *Table) usable(now time.Time, held int64) int64 {
	if len(t.members) == 0 {
		return held
	}
	if now.Sub(t.started) < t.config.Settle {
		return min(held, t.floor())
	}
	if now.Sub(t.heard) > t.config.Isolation {
		return min(held, Units)
	}
	return held
}

func (t *Table) floor() int64 { return int64(t.config.Floor * Units) }

// Members returns the number of members counted, this one included.
func (t *Table) Members() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(t.config.Clock())
}

func (t *Table) count(now time.Time) int {
	if len(t.members) == 0 && !t.listed {
		return max(t.config.Unknown, 1)
	}
	kept := t.departed[:0]
	for _, d := range t.departed {
		if now.Before(d.until) {
			kept = append(kept, d)
		}
	}
	t.departed = kept
	return 1 + len(t.members) + len(kept)
}

func (t *Table) row(key Key) *row {
	r := t.rows[key]
	if r == nil {
		r = &row{cells: make(map[memberID]*cell)}
		t.rows[key] = r
		t.order = append(t.order, key)
	}
	return r
}

// held returns the units of this instance.
func (r *row) held(now time.Time) int64 {
	held := int64(Units)
	for _, c := range r.cells {
		held += int64(c.in) - int64(c.out)
	}
	kept := r.retired[:0]
	for _, retired := range r.retired {
		if now.Before(retired.until) {
			held -= retired.units
			kept = append(kept, retired)
		}
	}
	r.retired = kept
	return held
}

func (r *row) cell(id memberID) *cell {
	c := r.cells[id]
	if c == nil {
		c = &cell{held: Units}
		r.cells[id] = c
	}
	return c
}

// Forget implements exchange.Topic. What the member gave is lost at once; what
// it was given comes back after Settle.
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
	t.departed = append(t.departed, departure{until: now.Add(t.config.Settle)})
	t.bury(now, id, m.incarnation)
}

// bury retires all rows of an incarnation and refuses its later states.
func (t *Table) bury(now time.Time, id memberID, incarnation uint64) {
	for stone, until := range t.tombstones {
		if now.After(until) {
			delete(t.tombstones, stone)
		}
	}
	t.tombstones[tombstone{id, incarnation}] = now.Add(tombstoneLife)
	for _, r := range t.rows {
		c := r.cells[id]
		if c == nil {
			continue
		}
		if c.out > 0 {
			r.retired = append(r.retired, retirement{units: int64(c.out), until: now.Add(t.config.Settle)})
		}
		delete(r.cells, id)
	}
}

// restart begins a new incarnation after the peers have forgotten this one,
// so that neither side counts units that the other has dropped.
func (t *Table) restart(now time.Time) {
	t.begin(now)
	for _, r := range t.rows {
		clear(r.cells)
		r.retired = nil
	}
}
