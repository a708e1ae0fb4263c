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

// versionUnit is the resolution of versions: the time at which an origin read
// its state. They wrap after 497 days and are compared as serial numbers.
const versionUnit = 10 * time.Millisecond

// part is the state of one topic.
type part struct {
	Topic   string
	Version uint32 // of the entry when this part last changed
	Data    []byte
}

// Entry is what one origin, an instance or a region, tells the others. On the
// wire it holds only the parts that changed since the version that the
// receiver has.
type Entry struct {
	Origin  string
	Version uint32
	Age     time.Duration
	Parts   []part
}

// entry is an Entry at rest.
type entry struct {
	origin  string
	version uint32
	at      time.Time // when the origin read the state, by the clock here
	parts   []part
}

// table holds the newest entry of each origin. It is not safe for concurrent
// use.
type table struct {
	entries   map[uint32]*entry // by originKey
	forgotten map[uint32]tombstone
}

// tombstone keeps the entry of a forgotten origin from coming back from a peer
// that has not yet forgotten it.
type tombstone struct {
	version uint32
	until   time.Time
}

// tombstoneLife is longer than peers take to forget an origin one after
// another.
const tombstoneLife = 10 * time.Minute

func newTable() *table {
	return &table{entries: make(map[uint32]*entry), forgotten: make(map[uint32]tombstone)}
}

// originKey is the short name of an origin in vectors.
func originKey(origin string) uint32 { return uint32(xxhash.Sum64String(origin)) }

func versionAt(now time.Time) uint32 { return uint32(now.UnixNano() / int64(versionUnit)) }

// newer reports whether version a is later than b.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// publish replaces the entry of an own origin. Parts that did not change keep
// their version.
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
	e.version, e.at = version, now
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

// vectorEntryBytes is the size of one origin in a vector.
const vectorEntryBytes = 8

// vector lists the version of each origin, and of the forgotten ones, so that
// peers do not send them again.
func (t *table) vector() []byte {
	v := make([]byte, 0, (len(t.entries)+len(t.forgotten))*vectorEntryBytes)
	for key, e := range t.entries {
		v = binary.BigEndian.AppendUint32(v, key)
		v = binary.BigEndian.AppendUint32(v, e.version)
	}
	for key, stone := range t.forgotten {
		if t.entries[key] == nil {
			v = binary.BigEndian.AppendUint32(v, key)
			v = binary.BigEndian.AppendUint32(v, stone.version)
		}
	}
	return v
}

// parseVector returns the versions by origin.
func parseVector(v []byte) map[uint32]uint32 {
	versions := make(map[uint32]uint32, len(v)/vectorEntryBytes)
	for ; len(v) >= vectorEntryBytes; v = v[vectorEntryBytes:] {
		versions[binary.BigEndian.Uint32(v)] = binary.BigEndian.Uint32(v[4:])
	}
	return versions
}

// since returns what is newer than in versions: entries with changed parts,
// the one that the receiver has lacked for the longest time first, until the
// budget is used, and beats of those without.
func (t *table) since(now time.Time, versions map[uint32]uint32, budget *bucket) (entries []Entry, beats []byte) {
	for _, key := range t.behind(versions) {
		e := t.entries[key]
		wire := e.wire(now, versions[key])
		if len(wire.Parts) == 0 {
			beats = appendBeat(beats, key, e.version, wire.Age)
			continue
		}
		if budget.take(now, wire.size()) {
			entries = append(entries, wire)
		}
	}
	return entries, beats
}

// behind returns the origins that are newer here, the largest lag first.
func (t *table) behind(versions map[uint32]uint32) []uint32 {
	var keys []uint32
	for key, e := range t.entries {
		if have := versions[key]; have == 0 || newer(e.version, have) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		lagA, lagB := t.entries[a].version-versions[a], t.entries[b].version-versions[b]
		return cmp.Or(cmp.Compare(lagB, lagA), cmp.Compare(a, b))
	})
	return keys
}

// beatBytes is the size of one beat: origin, version and age in versionUnits.
const beatBytes = 10

// appendBeat adds the news that an origin is alive and unchanged.
func appendBeat(beats []byte, key, version uint32, age time.Duration) []byte {
	beats = binary.BigEndian.AppendUint32(beats, key)
	beats = binary.BigEndian.AppendUint32(beats, version)
	return binary.BigEndian.AppendUint16(beats, uint16(min(age/versionUnit, math.MaxUint16)))
}

// parseBeats returns the beats as entries without parts. Those of unknown
// origins are dropped.
func (t *table) parseBeats(beats []byte) []Entry {
	var entries []Entry
	for ; len(beats) >= beatBytes; beats = beats[beatBytes:] {
		e := t.entries[binary.BigEndian.Uint32(beats)]
		if e == nil {
			continue
		}
		age := time.Duration(binary.BigEndian.Uint16(beats[8:])) * versionUnit
		entries = append(entries, Entry{Origin: e.origin, Version: binary.BigEndian.Uint32(beats[4:]), Age: age})
	}
	return entries
}

// wire returns an entry with the parts that changed after version have.
func (e *entry) wire(now time.Time, have uint32) Entry {
	w := Entry{Origin: e.origin, Version: e.version, Age: now.Sub(e.at)}
	for _, p := range e.parts {
		if have == 0 || newer(p.Version, have) {
			w.Parts = append(w.Parts, p)
		}
	}
	return w
}

// size is about the length of an entry on the wire.
func (w *Entry) size() int {
	const header, partHeader = 16, 10
	size := header + len(w.Origin)
	for _, p := range w.Parts {
		size += partHeader + len(p.Topic) + len(p.Data)
	}
	return size
}

// merge takes over an entry and reports whether it was newer.
func (t *table) merge(now time.Time, w *Entry) bool {
	key := originKey(w.Origin)
	e := t.entries[key]
	if stone, ok := t.forgotten[key]; ok && !newer(w.Version, stone.version) {
		return false
	}
	if e == nil {
		e = &entry{origin: w.Origin}
		t.entries[key] = e
	} else if !newer(w.Version, e.version) {
		return false
	}
	e.version, e.at = w.Version, now.Add(-w.Age)
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

// forget drops an origin.
func (t *table) forget(now time.Time, origin string) {
	for key, stone := range t.forgotten {
		if now.After(stone.until) {
			delete(t.forgotten, key)
		}
	}
	key := originKey(origin)
	version := versionAt(now) // a peer may have a newer state than this instance
	if e := t.entries[key]; e != nil && newer(e.version, version) {
		version = e.version
	}
	t.forgotten[key] = tombstone{version: version, until: now.Add(tombstoneLife)}
	delete(t.entries, key)
}

// raise lifts the version of an own origin to that of its predecessor, so that
// the next one is newer whatever the clocks say.
func (t *table) raise(origin string, version uint32) {
	if e := t.entries[originKey(origin)]; e != nil && newer(version, e.version) {
		e.version = version
	}
}

// bucket is a token bucket of bytes.
type bucket struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// take reports whether n bytes are left, and uses them. The last bytes may be
// overdrawn, so that an entry larger than the burst is sent too.
func (b *bucket) take(now time.Time, n int) bool {
	if b.at.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}
