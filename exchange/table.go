package exchange

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// versionUnit is the unit of versions. A version is the time at which an origin
// read its state. Versions wrap after 497 days and are compared with serial
// number arithmetic.
const versionUnit = 10 * time.Millisecond

// part is the state of one topic within an entry.
type part struct {
	Topic   string
	Version uint32 // version of the entry in which this part last changed
	Data    []byte
}

// Entry is the state that one origin, an instance or a region, publishes. On
// the wire it holds only the parts that changed since the version that the
// receiver has.
type Entry struct {
	Origin  string
	Version uint32
	Age     time.Duration // since the origin read the state
	Parts   []part
}

// entry is the stored form of an Entry, with all parts.
type entry struct {
	origin  string
	version uint32
	readAt  time.Time // when the origin read the state, by the local clock
	parts   []part
}

// table holds the newest entry of each origin. It is not safe for concurrent
// use.
type table struct {
	entries   map[uint32]*entry // by originKey
	forgotten map[uint32]tombstone
}

// tombstone prevents a removed origin from being stored again when a peer that
// has not yet removed it sends its entry.
type tombstone struct {
	version uint32 // entries up to this version are rejected
	until   time.Time
}

// tombstoneTTL exceeds the time between the first and the last peer's removal
// of the same origin.
const tombstoneTTL = 10 * time.Minute

func newTable() *table {
	return &table{entries: make(map[uint32]*entry), forgotten: make(map[uint32]tombstone)}
}

// originKey returns the 32-bit hash that identifies an origin in vectors and
// heartbeats.
func originKey(origin string) uint32 { return uint32(xxhash.Sum64String(origin)) }

func versionAt(now time.Time) uint32 { return uint32(now.UnixNano() / int64(versionUnit)) }

// newer reports whether version a is later than version b.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// publish replaces the entry of an origin for which this instance publishes.
// Parts that did not change keep their version.
func (t *table) publish(now time.Time, origin string, states map[string][]byte) {
	key := originKey(origin)
	e := t.entries[key]
	if e == nil {
		e = &entry{origin: origin}
		t.entries[key] = e
	}
	version := versionAt(now)
	if e.version != 0 && !newer(version, e.version) {
		version = e.version + 1
	}
	e.version, e.readAt = version, now
	var parts []part
	for _, topic := range slices.Sorted(maps.Keys(states)) {
		p := part{Topic: topic, Version: version, Data: states[topic]}
		if i := slices.IndexFunc(e.parts, func(old part) bool { return old.Topic == topic }); i >= 0 && bytes.Equal(e.parts[i].Data, p.Data) {
			p = e.parts[i]
		}
		parts = append(parts, p)
	}
	e.parts = parts
}

// vectorEntryBytes is the size of one origin in a vector: key and version.
const vectorEntryBytes = 8

// vector encodes the version of each origin. It includes removed origins, so
// that peers do not send them again.
func (t *table) vector() []byte {
	v := make([]byte, 0, (len(t.entries)+len(t.forgotten))*vectorEntryBytes)
	for key, e := range t.entries {
		v = binary.BigEndian.AppendUint32(v, key)
		v = binary.BigEndian.AppendUint32(v, e.version)
	}
	for key, tomb := range t.forgotten {
		if t.entries[key] == nil {
			v = binary.BigEndian.AppendUint32(v, key)
			v = binary.BigEndian.AppendUint32(v, tomb.version)
		}
	}
	return v
}

// parseVector decodes a vector to versions by origin key.
func parseVector(v []byte) map[uint32]uint32 {
	versions := make(map[uint32]uint32, len(v)/vectorEntryBytes)
	for ; len(v) >= vectorEntryBytes; v = v[vectorEntryBytes:] {
		versions[binary.BigEndian.Uint32(v)] = binary.BigEndian.Uint32(v[4:])
	}
	return versions
}

// changesSince returns what is newer here than in versions: entries with
// changed parts, ordered by how far the receiver is behind and limited by the
// budget, and heartbeats of newer origins without changed parts, which the
// budget does not limit.
func (t *table) changesSince(now time.Time, versions map[uint32]uint32, budget *tokenBucket) (entries []Entry, heartbeats []byte) {
	for _, key := range t.newerOrigins(versions) {
		e := t.entries[key]
		changes := e.changesSince(now, versions[key])
		if len(changes.Parts) == 0 {
			heartbeats = appendHeartbeat(heartbeats, key, e.version, changes.Age)
			continue
		}
		if budget.take(now, changes.size()) {
			entries = append(entries, changes)
		}
	}
	return entries, heartbeats
}

// newerOrigins returns the keys of the origins that are newer here than in
// versions, the one with the largest version difference first.
func (t *table) newerOrigins(versions map[uint32]uint32) []uint32 {
	var keys []uint32
	for key, e := range t.entries {
		if peerVersion := versions[key]; peerVersion == 0 || newer(e.version, peerVersion) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		lagA, lagB := t.entries[a].version-versions[a], t.entries[b].version-versions[b]
		return cmp.Or(cmp.Compare(lagB, lagA), cmp.Compare(a, b))
	})
	return keys
}

// heartbeatBytes is the size of one heartbeat: origin key, version, and age in
// units of versionUnit.
const heartbeatBytes = 10

// appendHeartbeat appends the encoded information that an origin is alive and
// its state is unchanged.
func appendHeartbeat(heartbeats []byte, key, version uint32, age time.Duration) []byte {
	heartbeats = binary.BigEndian.AppendUint32(heartbeats, key)
	heartbeats = binary.BigEndian.AppendUint32(heartbeats, version)
	return binary.BigEndian.AppendUint16(heartbeats, uint16(min(age/versionUnit, math.MaxUint16)))
}

// parseHeartbeats decodes heartbeats to entries without parts. Heartbeats of
// unknown origins are dropped.
func (t *table) parseHeartbeats(heartbeats []byte) []Entry {
	var entries []Entry
	for ; len(heartbeats) >= heartbeatBytes; heartbeats = heartbeats[heartbeatBytes:] {
		e := t.entries[binary.BigEndian.Uint32(heartbeats)]
		if e == nil {
			continue
		}
		age := time.Duration(binary.BigEndian.Uint16(heartbeats[8:])) * versionUnit
		entries = append(entries, Entry{Origin: e.origin, Version: binary.BigEndian.Uint32(heartbeats[4:]), Age: age})
	}
	return entries
}

// changesSince returns an Entry with the parts that changed after version
// since, or all parts if since is 0.
func (e *entry) changesSince(now time.Time, since uint32) Entry {
	w := Entry{Origin: e.origin, Version: e.version, Age: now.Sub(e.readAt)}
	for _, p := range e.parts {
		if since == 0 || newer(p.Version, since) {
			w.Parts = append(w.Parts, p)
		}
	}
	return w
}

// size returns the approximate size of an entry on the wire, in bytes.
func (w *Entry) size() int {
	const headerBytes, partHeaderBytes = 16, 10
	size := headerBytes + len(w.Origin)
	for _, p := range w.Parts {
		size += partHeaderBytes + len(p.Topic) + len(p.Data)
	}
	return size
}

// merge stores an entry if it is newer than the stored one, and reports whether
// it is.
func (t *table) merge(now time.Time, w *Entry) bool {
	key := originKey(w.Origin)
	e := t.entries[key]
	if tomb, ok := t.forgotten[key]; ok && !newer(w.Version, tomb.version) {
		return false
	}
	if e == nil {
		e = &entry{origin: w.Origin}
		t.entries[key] = e
	} else if !newer(w.Version, e.version) {
		return false
	}
	e.version, e.readAt = w.Version, now.Add(-w.Age)
	for _, p := range w.Parts {
		i := slices.IndexFunc(e.parts, func(old part) bool { return old.Topic == p.Topic })
		if i < 0 {
			e.parts = append(e.parts, p)
			continue
		}
		e.parts[i] = p
	}
	return true
}

// forget removes an origin and leaves a tombstone. It also deletes expired
// tombstones.
func (t *table) forget(now time.Time, origin string) {
	for key, tomb := range t.forgotten {
		if now.After(tomb.until) {
			delete(t.forgotten, key)
		}
	}
	key := originKey(origin)
	version := versionAt(now) // a peer may hold a newer version than this instance
	if e := t.entries[key]; e != nil && newer(e.version, version) {
		version = e.version
	}
	t.forgotten[key] = tombstone{version: version, until: now.Add(tombstoneTTL)}
	delete(t.entries, key)
}

// raiseVersion raises the version of an origin for which this instance
// publishes to the version that a previous publisher of the origin reached, so
// that the next published version is newer even if the clocks differ.
func (t *table) raiseVersion(origin string, version uint32) {
	if e := t.entries[originKey(origin)]; e != nil && newer(version, e.version) {
		e.version = version
	}
}

// tokenBucket limits bytes; rate is in bytes per second.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
}

// take deducts n bytes and returns true if any tokens are left. The balance may
// become negative, so that an entry larger than the burst can be sent.
func (b *tokenBucket) take(now time.Time, n int) bool {
	if b.refilledAt.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}
