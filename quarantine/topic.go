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

// RegionOwnerPrefix is the prefix of the owner of an entry that was received
// from another region. The name of the region follows it.
const RegionOwnerPrefix = "@"

// Version and sizes of the wire form of a table's state.
const (
	wireVersion     = 1
	maxOwnerBytes   = 64
	maxWireBytes    = exchange.MaxStateBytes
	wireHeaderBytes = 2 + 8 + 4
)

// wireEntry is the wire form of an entry. The OwnerBytes bytes of its owner
// follow; an empty owner stands for the sender.
type wireEntry struct {
	Digest      Digest
	State       State
	ServerKey   uint64
	CrashAgeMs  uint32
	AgeMs       uint32
	ExpiresInMs uint32
	OwnerBytes  uint8
}

var wireEntryBytes = binary.Size(wireEntry{})

// Topic exchanges the state of a Table among the instances of a region. It
// implements exchange.Topic.
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
func (t Topic) Forget(instance string) { t.Table.RemoveInstance(t.Now(), instance) }

// encoder encodes entries. It skips those that would exceed maxWireBytes or
// maxOwnerBytes, and then sets truncated.
type encoder struct {
	buffer    bytes.Buffer
	truncated bool
}

func (enc *encoder) add(now time.Time, digest Digest, e *entry, owner string) {
	if enc.buffer.Len()+wireEntryBytes+len(owner)+wireHeaderBytes > maxWireBytes || len(owner) > maxOwnerBytes {
		enc.truncated = true
		return
	}
	_ = binary.Write(&enc.buffer, binary.BigEndian, wireEntry{
		Digest: digest, State: e.state, ServerKey: e.firstCrash.serverKey, OwnerBytes: uint8(len(owner)),
		CrashAgeMs: clampedMillis(now.Sub(e.firstCrash.at)), AgeMs: clampedMillis(now.Sub(e.since)), ExpiresInMs: clampedMillis(e.expires.Sub(now)),
	})
	_, _ = enc.buffer.WriteString(owner)
}

// clampedMillis returns d in milliseconds, limited to the range from 0 to 1<<31.
func clampedMillis(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), 1<<31))) }

func millisDuration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// OwnState returns the state that this instance sends to the others of its
// region: the entries that it owns, those that it received from other regions,
// and its reservation. It returns nil as long as there has been nothing to send.
func (t *Table) OwnState(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOwn := func(e *entry) bool { return e.owner == t.Instance || e.receivedBy == t.Instance }
	return t.encode(now, isOwn)
}

// RegionState returns the state that this instance sends to other regions: all
// entries of its region. Of the requests it contains only keyed digests.
func (t *Table) RegionState(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encode(now, func(e *entry) bool { return !strings.HasPrefix(e.owner, RegionOwnerPrefix) })
}

// encode encodes the unexpired entries that include accepts, in the order of
// comparePriority, so that truncation drops the least important ones. t.mu must
// be held.
func (t *Table) encode(now time.Time, include func(*entry) bool) []byte {
	var digests []Digest
	for digest, e := range t.entries {
		if include(e) && !now.After(e.expires) {
			digests = append(digests, digest)
		}
	}
	r, reserved := t.reservations[t.Instance]
	if len(digests) == 0 && !reserved && !t.stateSent {
		return nil
	}
	t.stateSent = true
	slices.SortFunc(digests, t.comparePriority)
	var enc encoder
	for _, digest := range digests {
		e := t.entries[digest]
		owner := ""
		if strings.HasPrefix(e.owner, RegionOwnerPrefix) {
			owner = e.owner
		}
		enc.add(now, digest, e, owner)
	}
	header := []byte{wireVersion, flags(reserved, enc.truncated)}
	header = binary.BigEndian.AppendUint64(header, r.serverKey)
	header = binary.BigEndian.AppendUint32(header, clampedMillis(now.Sub(r.since)))
	return append(header, enc.buffer.Bytes()...)
}

// comparePriority orders digests by descending priority, newer entries first.
func (t *Table) comparePriority(a, b Digest) int {
	x, y := t.entries[a], t.entries[b]
	if x.priority() != y.priority() {
		return y.priority() - x.priority()
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

// Merge merges the state of another instance of this region.
func (t *Table) Merge(now time.Time, instance string, state []byte) error {
	header, entries, err := decode(now, state, instance)
	if err != nil {
		return errors.Wrap(err, "merge quarantine state of instance "+instance)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if header.reserved {
		t.reserve(instance, reservation{header.serverKey, now.Add(-header.reservationAge), now.Add(reservationTTL)})
	} else {
		t.release(instance)
	}
	t.mergeEntries(now, instance, entries, header.truncated)
	return nil
}

// MergeRegion merges the state that an instance of another region has sent for
// its region.
func (t *Table) MergeRegion(now time.Time, region string, state []byte) error {
	owner := RegionOwnerPrefix + region
	_, entries, err := decode(now, state, owner)
	if err != nil {
		return errors.Wrap(err, "merge quarantine state of region "+region)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range entries {
		entries[i].owner, entries[i].receivedBy = owner, t.Instance
	}
	// The next state may come from another instance of the region that has
	// fewer entries. Entries that are missing from it must not be deleted, so
	// every state of a region is merged as if it were truncated.
	t.mergeEntries(now, owner, entries, true)
	return nil
}

// mergeEntries merges the entries of one sender. An entry of the sender that is
// missing from a complete state has been deleted there and is deleted here too,
// unless it is quarantined.
func (t *Table) mergeEntries(now time.Time, sender string, entries []decodedEntry, truncated bool) {
	received := make(map[Digest]bool, len(entries))
	for i := range entries {
		received[entries[i].digest] = true
		t.mergeEntry(now, entries[i].digest, &entries[i].entry)
	}
	if truncated {
		return
	}
	for digest, e := range t.entries {
		if e.owner == sender && e.state != Quarantined && !received[digest] {
			delete(t.entries, digest)
		}
	}
}

// mergeEntry merges a received entry into the local one of the same digest. An
// entry of the same owner replaces the local one. Between owners, Quarantined
// wins over all other states, and a digest that is suspect for two different
// crashes is quarantined. If both are suspect for the same crash, an entry on
// trial wins, and otherwise that of the lower owner.
func (t *Table) mergeEntry(now time.Time, digest Digest, theirs *entry) {
	ours := t.live(now, digest)
	switch {
	case ours == nil || ours.owner == theirs.owner && ours.state != Quarantined:
		t.replaceEntry(now, digest, ours, theirs)
	case ours.state == Quarantined:
		ours.expires = later(ours.expires, theirs.expires)
	case theirs.state == Quarantined:
		t.replaceEntry(now, digest, ours, theirs)
	case theirs.state == Cleared:
		if ours.state == Suspect && ours.firstCrash.sameAs(theirs.firstCrash) {
			t.replaceEntry(now, digest, ours, theirs)
		}
	case ours.state == Cleared:
		if !ours.firstCrash.sameAs(theirs.firstCrash) {
			t.replaceEntry(now, digest, ours, theirs)
		}
	case !ours.firstCrash.sameAs(theirs.firstCrash):
		t.quarantine(now, digest, ours)
	case ours.state != Trial && (theirs.state == Trial || theirs.owner < ours.owner):
		t.replaceEntry(now, digest, ours, theirs)
	}
}

// replaceEntry replaces the local entry by the received one. The current trial
// of this instance is replaced only by a quarantined entry.
func (t *Table) replaceEntry(now time.Time, digest Digest, ours, theirs *entry) {
	if ours != nil && ours.state == Trial && ours.owner == t.Instance && theirs.state != Quarantined {
		return
	}
	if ours != nil && ours.owner == theirs.owner && theirs.receivedBy == "" {
		theirs.receivedBy = ours.receivedBy
	}
	t.put(now, digest, theirs)
	if theirs.state == Quarantined {
		t.clearConcurrent(now, digest, theirs.firstCrash)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RemoveInstance handles an instance that is known to have terminated. Every other
// instance takes over its suspects; when these then exchange their states, the
// one with the lowest ID remains the owner. A digest that the instance had on
// trial is quarantined until its entry expires, since the result of the trial is
// unknown.
func (t *Table) RemoveInstance(now time.Time, instance string) {
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
			// From now on every instance sends the entry, so that new instances
			// receive it.
			e.owner = t.Instance
		}
	}
}

// decodedEntry is a decoded entry.
type decodedEntry struct {
	digest Digest
	entry
}

// decodedHeader is a decoded header.
type decodedHeader struct {
	reserved       bool
	truncated      bool
	serverKey      uint64
	reservationAge time.Duration
}

// errMalformedState means that a state cannot be decoded.
var errMalformedState = errors.New("malformed state")

func decode(now time.Time, state []byte, sender string) (decodedHeader, []decodedEntry, error) {
	if len(state) < wireHeaderBytes || len(state) > maxWireBytes || state[0] != wireVersion {
		return decodedHeader{}, nil, errMalformedState
	}
	header := decodedHeader{
		reserved:       state[1]&flagReserved != 0,
		truncated:      state[1]&flagTruncated != 0,
		serverKey:      binary.BigEndian.Uint64(state[2:]),
		reservationAge: millisDuration(binary.BigEndian.Uint32(state[10:])),
	}
	reader := bytes.NewReader(state[wireHeaderBytes:])
	var entries []decodedEntry
	for reader.Len() > 0 {
		next, err := decodeEntry(now, reader, sender)
		if err != nil {
			return decodedHeader{}, nil, err
		}
		entries = append(entries, next)
	}
	return header, entries, nil
}

func decodeEntry(now time.Time, reader io.Reader, sender string) (decodedEntry, error) {
	var wire wireEntry
	if err := binary.Read(reader, binary.BigEndian, &wire); err != nil {
		return decodedEntry{}, errMalformedState
	}
	owner := make([]byte, wire.OwnerBytes)
	if _, err := io.ReadFull(reader, owner); err != nil || wire.State < Suspect || wire.State > Quarantined {
		return decodedEntry{}, errMalformedState
	}
	decoded := decodedEntry{digest: wire.Digest, entry: entry{
		state: wire.State, owner: string(owner), firstCrash: crash{wire.ServerKey, now.Add(-millisDuration(wire.CrashAgeMs))},
		since: now.Add(-millisDuration(wire.AgeMs)), expires: now.Add(millisDuration(wire.ExpiresInMs)),
	}}
	if decoded.owner == "" {
		decoded.owner = sender
	}
	return decoded, nil
}
