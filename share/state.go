package share

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const (
	stateVersion = 1
	// announcements is how often a change is announced ahead of turn, so that
	// lost messages delay it little.
	announcements = 3
	// maxMembers bounds the members of a region that a row names.
	maxMembers = 64
	// wantScale is the resolution of a Want on the wire.
	wantScale = 1000
)

// errState is returned for a state that cannot be decoded.
var errState = errors.New("share: malformed state")

// Name implements exchange.Topic.
func (t *Table) Name() string { return t.config.Topic }

// urge announces a row ahead of its turn.
func (t *Table) urge(key Key, r *row) {
	if r.announce == 0 {
		t.urgent = append(t.urgent, key)
	}
	r.announce = announcements
}

// State implements exchange.Topic. It holds changed limits first and then the
// others in turn, as many as fit.
func (t *Table) State() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock()
	limit := min(t.config.StateBytes, exchange.MaxStateBytes)
	w := writer{data: make([]byte, 0, limit), limit: limit}
	w.byte(stateVersion)
	w.fixed64(t.incarnation)
	t.writeTombstones(&w)
	if t.writeUrgent(now, &w) {
		t.writeInTurn(now, &w)
	}
	return w.data
}

func (t *Table) writeTombstones(w *writer) {
	const most = 32
	w.uvarint(uint64(min(len(t.tombstones), most)))
	left := most
	for stone := range t.tombstones {
		if left == 0 {
			return
		}
		left--
		w.fixed32(uint32(stone.member))
		w.fixed64(stone.incarnation)
	}
}

// writeUrgent reports whether there is room left.
func (t *Table) writeUrgent(now time.Time, w *writer) bool {
	pending := t.urgent
	t.urgent = nil
	for i, key := range pending {
		r := t.rows[key]
		if r == nil {
			continue
		}
		if !w.row(now, key, r, t.members) {
			t.urgent = append(pending[i:], t.urgent...)
			return false
		}
		r.announce--
		if r.announce > 0 {
			t.urgent = append(t.urgent, key)
		}
	}
	return true
}

func (t *Table) writeInTurn(now time.Time, w *writer) {
	for range len(t.order) {
		if len(t.order) == 0 {
			return
		}
		t.cursor %= len(t.order)
		key := t.order[t.cursor]
		r := t.rows[key]
		if r.unused(now) {
			t.drop(key)
			continue
		}
		worthSending := r.announce == 0 && (!r.demand.none() || r.transferred())
		if worthSending && !w.row(now, key, r, t.members) {
			return
		}
		t.cursor++
	}
}

// drop removes the row at the cursor.
func (t *Table) drop(key Key) {
	last := len(t.order) - 1
	t.order[t.cursor] = t.order[last]
	t.order = t.order[:last]
	delete(t.rows, key)
}

// unused reports whether nothing is lost with a row: no demand is known, and
// no units moved.
func (r *row) unused(now time.Time) bool {
	if !r.demand.none() || r.announce > 0 || len(r.retired) > 0 || r.transferred() {
		return false
	}
	for _, c := range r.cells {
		if c.levelsAt(now) != ([2]Level{}) {
			return false
		}
	}
	return true
}

// transferred reports whether units were ever given or received.
func (r *row) transferred() bool {
	for _, c := range r.cells {
		if c.in != 0 || c.out != 0 {
			return true
		}
	}
	return false
}

// Merge implements exchange.Topic.
func (t *Table) Merge(instance string, state []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := idOf(instance)
	now := t.config.Clock()
	r := reader{data: state}
	if r.byte() != stateVersion || id == t.selfID {
		return errState
	}
	incarnation := r.fixed64()
	if r.failed || !t.accept(now, id, incarnation) {
		return r.err()
	}
	t.heard = now
	t.readTombstones(now, &r)
	for !r.failed && len(r.data) > 0 {
		t.readRow(now, id, &r)
	}
	return r.err()
}

// accept reports whether a state of an incarnation counts.
func (t *Table) accept(now time.Time, id memberID, incarnation uint64) bool {
	if _, buried := t.tombstones[tombstone{id, incarnation}]; buried {
		return false
	}
	m := t.members[id]
	if m == nil {
		m = &member{}
		t.members[id] = m
	}
	if incarnation < m.incarnation {
		return false
	}
	if m.incarnation != 0 && incarnation > m.incarnation {
		t.bury(now, id, m.incarnation)
	}
	m.incarnation = incarnation
	return true
}

func (t *Table) readTombstones(now time.Time, r *reader) {
	for range r.uvarint() {
		stone := tombstone{memberID(r.fixed32()), r.fixed64()}
		if r.failed {
			return
		}
		if stone.member == t.selfID && stone.incarnation == t.incarnation {
			t.restart(now)
		}
	}
}

func (t *Table) readRow(now time.Time, id memberID, r *reader) {
	key := Key(r.fixed64())
	var levels [2]Level
	for i := range levels {
		levels[i].Want = float64(r.uvarint()) / wantScale
		levels[i].Weight = float64(r.uvarint())
	}
	held := int64(r.uvarint())
	var given uint64
	for range r.uvarint() {
		to, units := address(r.fixed32()), r.uvarint()
		if r.failed {
			return
		}
		if to == t.address {
			given = units
		}
	}
	if r.failed {
		return
	}
	row := t.row(key)
	c := row.cell(id)
	c.levels, c.held, c.at = levels, held, now
	// An older state may arrive later; the sum never decreases.
	c.in = max(c.in, given)
	t.give(now, key, row, id)
}
