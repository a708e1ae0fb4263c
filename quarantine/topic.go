package quarantine

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/exchange"
)

// RegionMark begins the owner of an entry that another region told of; the
// name of the region follows.
const RegionMark = "@"

// Wire form of a state.
const (
	wireVersion     = 1
	maxOwnerBytes   = 64
	maxWireBytes    = exchange.MaxStateBytes
	wireHeaderBytes = 2 + 8 + 4
)

// wireEntry is the wire form of an entry; its owner follows.
type wireEntry struct {
	Digest     Digest
	State      State
	Server     uint64
	CrashAgeMs uint32
	AgeMs      uint32
	LifeMs     uint32
	OwnerBytes uint8
}

var wireEntryBytes = binary.Size(wireEntry{})

// Topic spreads a Table among the instances of a region. It implements
// exchange.Topic.
type Topic struct {
	Table *Table
	Now   func() time.Time
}

var _ exchange.Topic = Topic{}

// Name implements exchange.Topic.
func (Topic) Name() string { return "quarantine" }

// State implements exchange.Topic.
func (t Topic) State() []byte { return t.Table.OwnState(t.Now()) }

// Merge implements exchange.Topic.
func (t Topic) Merge(instance string, state []byte) error {
	return t.Table.Merge(t.Now(), instance, state)
}

// Forget implements exchange.Topic.
func (t Topic) Forget(instance string) { t.Table.Forget(t.Now(), instance) }

// encoder collects entries up to the bound of a state.
type encoder struct {
	buffer    bytes.Buffer
	truncated bool
}

func (e *encoder) add(now time.Time, digest Digest, x *entry, owner string) {
	if e.buffer.Len()+wireEntryBytes+len(owner)+wireHeaderBytes > maxWireBytes || len(owner) > maxOwnerBytes {
		e.truncated = true
		return
	}
	_ = binary.Write(&e.buffer, binary.BigEndian, wireEntry{
		Digest: digest, State: x.state, Server: x.crash.server, OwnerBytes: uint8(len(owner)),
		CrashAgeMs: millis(now.Sub(x.crash.at)), AgeMs: millis(now.Sub(x.since)), LifeMs: millis(x.expires.Sub(now)),
	})
	_, _ = e.buffer.WriteString(owner)
}

func millis(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), 1<<31))) }

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// OwnState returns what this instance tells the others of its region: its own
// entries, those it has learned from other regions, and its reservation. It
// returns nil if there is nothing to tell.
func (t *Table) OwnState(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := func(e *entry) bool { return e.owner == t.Instance || e.via == t.Instance }
	return t.encode(now, own)
}

// RegionState returns what this instance tells other regions: all entries of
// its region. Only keyed digests leave the region.
func (t *Table) RegionState(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encode(now, func(e *entry) bool { return !strings.HasPrefix(e.owner, RegionMark) })
}

// encode writes the chosen entries, those that matter most first. t.mu is
// held.
func (t *Table) encode(now time.Time, chosen func(*entry) bool) []byte {
	var digests []Digest
	for digest, e := range t.entries {
		if chosen(e) && !now.After(e.expires) {
			digests = append(digests, digest)
		}
	}
	r, reserved := t.reservations[t.Instance]
	if len(digests) == 0 && !reserved && !t.told {
		return nil
	}
	t.told = true
	slices.SortFunc(digests, t.compareWorth)
	var out encoder
	for _, digest := range digests {
		e := t.entries[digest]
		owner := ""
		if strings.HasPrefix(e.owner, RegionMark) {
			owner = e.owner
		}
		out.add(now, digest, e, owner)
	}
	header := []byte{wireVersion, flags(reserved, out.truncated)}
	header = binary.BigEndian.AppendUint64(header, r.server)
	header = binary.BigEndian.AppendUint32(header, millis(now.Sub(r.since)))
	return append(header, out.buffer.Bytes()...)
}

// compareWorth orders digests by worth, the newest first.
func (t *Table) compareWorth(a, b Digest) int {
	x, y := t.entries[a], t.entries[b]
	if x.worth() != y.worth() {
		return y.worth() - x.worth()
	}
	if !x.since.Equal(y.since) {
		return y.since.Compare(x.since)
	}
	return bytes.Compare(a[:], b[:])
}

// Flags of the header.
const (
	flagReserved  = 1 << 0
	flagTruncated = 1 << 1
)

func flags(reserved, truncated bool) byte {
	var f byte
	if reserved {
		f |= flagReserved
	}
	if truncated {
		f |= flagTruncated
	}
	return f
}

// Merge takes over the state of another instance of this region.
func (t *Table) Merge(now time.Time, instance string, state []byte) error {
	header, entries, err := decode(now, state, instance)
	if err != nil {
		return errors.Wrap(err, "quarantine state")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if header.reserved {
		t.reserve(instance, reservation{header.server, now.Add(-header.age), now.Add(reservationLife)})
	} else {
		t.release(instance)
	}
	t.mergeAll(now, instance, entries, header.truncated)
	return nil
}

// MergeRegion takes over the state of an instance of another region.
func (t *Table) MergeRegion(now time.Time, region string, state []byte) error {
	owner := RegionMark + region
	_, entries, err := decode(now, state, owner)
	if err != nil {
		return errors.Wrap(err, "quarantine state of region "+region)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range entries {
		entries[i].owner, entries[i].via = owner, t.Instance
	}
	// Another instance of the region may tell next time and know less, so that
	// what is not told is not forgotten.
	t.mergeAll(now, owner, entries, true)
	return nil
}

// mergeAll merges the entries of one sender. A suspect that its owner no
// longer tells of has been forgotten there.
func (t *Table) mergeAll(now time.Time, sender string, entries []wireState, truncated bool) {
	told := make(map[Digest]bool, len(entries))
	for i := range entries {
		told[entries[i].digest] = true
		t.mergeOne(now, entries[i].digest, &entries[i].entry)
	}
	if truncated {
		return
	}
	for digest, e := range t.entries {
		if e.owner == sender && e.state != Quarantined && !told[digest] {
			delete(t.entries, digest)
		}
	}
}

func (t *Table) mergeOne(now time.Time, digest Digest, theirs *entry) {
	ours := t.live(now, digest)
	switch {
	case ours == nil || ours.owner == theirs.owner && ours.state != Quarantined:
		t.adopt(now, digest, ours, theirs)
	case ours.state == Quarantined:
		ours.expires = later(ours.expires, theirs.expires)
	case theirs.state == Quarantined:
		t.adopt(now, digest, ours, theirs)
	case theirs.state == Cleared:
		if ours.state == Suspect && ours.crash.same(theirs.crash) {
			t.adopt(now, digest, ours, theirs)
		}
	case ours.state == Cleared:
		if !ours.crash.same(theirs.crash) {
			t.adopt(now, digest, ours, theirs)
		}
	case !ours.crash.same(theirs.crash):
		t.quarantine(now, digest, ours)
	case ours.state != Trial && (theirs.state == Trial || theirs.owner < ours.owner):
		t.adopt(now, digest, ours, theirs)
	}
}

// adopt replaces our entry by theirs.
func (t *Table) adopt(now time.Time, digest Digest, ours, theirs *entry) {
	if ours != nil && ours.state == Trial && ours.owner == t.Instance && theirs.state != Quarantined {
		return
	}
	t.put(now, digest, theirs)
	if theirs.state == Quarantined {
		t.clearBeside(now, digest, theirs.crash)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Forget is called once an instance has surely left. Every other instance takes
// over its suspects; the states that they exchange then leave each to one. One that it had on trial stays out of use until it expires,
// since nobody knows how the trial ended.
func (t *Table) Forget(now time.Time, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(instance)
	for _, e := range t.entries {
		if e.owner != instance {
			continue
		}
		switch e.state {
		case Suspect:
			e.owner, e.since = t.Instance, now
		case Trial:
			e.state, e.owner, e.since = Quarantined, t.Instance, now
		case Quarantined:
			// Every instance tells of it from now on, so that newcomers learn it.
			e.owner = t.Instance
		}
	}
}

// wireState is a decoded entry.
type wireState struct {
	digest Digest
	entry
}

// wireHeader is a decoded header.
type wireHeader struct {
	reserved  bool
	truncated bool
	server    uint64
	age       time.Duration
}

// errState is a state that cannot be decoded.
var errState = errors.New("malformed state")

func decode(now time.Time, state []byte, sender string) (wireHeader, []wireState, error) {
	if len(state) < wireHeaderBytes || len(state) > maxWireBytes || state[0] != wireVersion {
		return wireHeader{}, nil, errState
	}
	header := wireHeader{
		reserved:  state[1]&flagReserved != 0,
		truncated: state[1]&flagTruncated != 0,
		server:    binary.BigEndian.Uint64(state[2:]),
		age:       age(binary.BigEndian.Uint32(state[10:])),
	}
	reader := bytes.NewReader(state[wireHeaderBytes:])
	var entries []wireState
	for reader.Len() > 0 {
		next, err := decodeEntry(now, reader, sender)
		if err != nil {
			return wireHeader{}, nil, err
		}
		entries = append(entries, next)
	}
	return header, entries, nil
}

func decodeEntry(now time.Time, reader io.Reader, sender string) (wireState, error) {
	var w wireEntry
	if err := binary.Read(reader, binary.BigEndian, &w); err != nil {
		return wireState{}, errState
	}
	owner := make([]byte, w.OwnerBytes)
	if _, err := io.ReadFull(reader, owner); err != nil || w.State < Suspect || w.State > Quarantined {
		return wireState{}, errState
	}
	x := wireState{digest: w.Digest, entry: entry{
		state: w.State, owner: string(owner), crash: crash{w.Server, now.Add(-age(w.CrashAgeMs))},
		since: now.Add(-age(w.AgeMs)), expires: now.Add(age(w.LifeMs)),
	}}
	if x.owner == "" {
		x.owner = sender
	}
	return x, nil
}
