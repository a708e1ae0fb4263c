package share

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const (
	stateVersion = 1
	// changeAnnouncements is how many times a changed limit is announced ahead of
	// the round-robin order, so that lost messages delay the change little.
	changeAnnouncements = 3
	// maxRecipients bounds the peers for which a limit in a state lists the units
	// sent.
	maxRecipients = 64
	// demandScale is the resolution of a demand on the wire: demands are rounded
	// up to multiples of 1/demandScale of the limit.
	demandScale = 1000
)

// errMalformedState is returned by Merge for a state that has another version, is
// truncated, or comes from an instance with the ID of this one.
var errMalformedState = errors.New("share: malformed state, or state sent under the ID of this instance")

// Name implements exchange.Topic.
func (t *Table) Name() string { return t.config.Topic }

// markChanged schedules announcements of a limit ahead of the round-robin order.
func (t *Table) markChanged(key Key, s *limitState) {
	if s.pendingAnnouncements == 0 {
		t.changed = append(t.changed, key)
	}
	s.pendingAnnouncements = changeAnnouncements
}

// State implements exchange.Topic. It contains the changed limits first and then
// the others in round-robin order, as many as fit.
func (t *Table) State() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock()
	maxBytes := min(t.config.MaxStateBytes, exchange.MaxStateBytes)
	w := writer{data: make([]byte, 0, maxBytes), maxBytes: maxBytes}
	w.byte(stateVersion)
	w.fixed64(t.incarnation)
	t.writeTombstones(&w)
	if t.writeChanged(now, &w) {
		t.writeRoundRobin(now, &w)
	}
	return w.data
}

func (t *Table) writeTombstones(w *writer) {
	const maxTombstones = 32
	w.uvarint(uint64(min(len(t.tombstones), maxTombstones)))
	remaining := maxTombstones
	for entry := range t.tombstones {
		if remaining == 0 {
			return
		}
		remaining--
		w.fixed32(uint32(entry.member))
		w.fixed64(entry.incarnation)
	}
}

// writeChanged appends the changed limits and reports whether all of them fit.
func (t *Table) writeChanged(now time.Time, w *writer) bool {
	pending := t.changed
	t.changed = nil
	for i, key := range pending {
		s := t.limits[key]
		if s == nil {
			continue
		}
		if !w.appendLimit(now, key, s, t.members) {
			t.changed = append(pending[i:], t.changed...)
			return false
		}
		s.pendingAnnouncements--
		if s.pendingAnnouncements > 0 {
			t.changed = append(t.changed, key)
		}
	}
	return true
}

func (t *Table) writeRoundRobin(now time.Time, w *writer) {
	for range len(t.order) {
		if len(t.order) == 0 {
			return
		}
		t.cursor %= len(t.order)
		key := t.order[t.cursor]
		s := t.limits[key]
		if s.isUnused(now) {
			t.dropAtCursor(key)
			continue
		}
		worthSending := s.pendingAnnouncements == 0 && (!s.demand.isEmpty() || s.hasTransfers())
		if worthSending && !w.appendLimit(now, key, s, t.members) {
			return
		}
		t.cursor++
	}
}

// dropAtCursor removes the limit whose key is at the cursor.
func (t *Table) dropAtCursor(key Key) {
	last := len(t.order) - 1
	t.order[t.cursor] = t.order[last]
	t.order = t.order[:last]
	delete(t.limits, key)
}

// isUnused reports whether a limit can be dropped without loss: there is no demand
// at any member, no units were transferred, and nothing is left to announce.
func (s *limitState) isUnused(now time.Time) bool {
	if !s.demand.isEmpty() || s.pendingAnnouncements > 0 || len(s.deductions) > 0 || s.hasTransfers() {
		return false
	}
	for _, p := range s.peers {
		if p.levelsAt(now) != ([2]Level{}) {
			return false
		}
	}
	return true
}

// hasTransfers reports whether units were ever sent to or received from a present
// peer.
func (s *limitState) hasTransfers() bool {
	for _, p := range s.peers {
		if p.receivedUnits != 0 || p.sentUnits != 0 {
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
		return errMalformedState
	}
	incarnation := r.fixed64()
	if r.failed {
		return r.err()
	}
	accepted := t.acceptIncarnation(now, id, instance, incarnation)
	// Also of an incarnation that this instance has forgotten: two members that
	// have forgotten each other would otherwise never count each other again.
	t.readTombstones(now, &r)
	if !accepted {
		return r.err()
	}
	t.lastReceived = now
	for !r.failed && len(r.data) > 0 {
		t.readLimit(now, id, &r)
	}
	return r.err()
}

// acceptIncarnation records the incarnation of a peer and reports whether its
// state is to be merged. States of retired and of earlier incarnations are not.
func (t *Table) acceptIncarnation(now time.Time, id memberID, instance string, incarnation uint64) bool {
	if _, retired := t.tombstones[tombstone{id, incarnation}]; retired {
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
		t.retireIncarnation(now, id, m.incarnation)
	}
	if incarnation != m.incarnation {
		m.incarnation = incarnation
		t.observe(now, MemberJoined, instance, incarnation)
	}
	return true
}

func (t *Table) readTombstones(now time.Time, r *reader) {
	for range r.uvarint() {
		entry := tombstone{memberID(r.fixed32()), r.fixed64()}
		if r.failed {
			return
		}
		if entry.member == t.selfID && entry.incarnation == t.incarnation {
			t.restart(now)
		}
	}
}

func (t *Table) readLimit(now time.Time, id memberID, r *reader) {
	key := Key(r.fixed64())
	var levels [2]Level
	for i := range levels {
		levels[i].Demand = float64(r.uvarint()) / demandScale
		levels[i].Weight = float64(r.uvarint())
	}
	held := int64(r.uvarint())
	var receivedUnits uint64
	for range r.uvarint() {
		to, units := incarnationID(r.fixed32()), r.uvarint()
		if r.failed {
			return
		}
		if to == t.incarnationID {
			receivedUnits = units
		}
	}
	if r.failed {
		return
	}
	limit := t.limit(key)
	p := limit.peer(id)
	p.levels, p.heldUnits, p.updatedAt = levels, held, now
	// An older state may arrive after a newer one; the sum never decreases.
	p.receivedUnits = max(p.receivedUnits, receivedUnits)
	t.transferSurplus(now, key, limit, id)
}
