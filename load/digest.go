package load

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// entry is the digest of one server on the wire: its key, its slots and one
// byte. Without slots, the byte tells why the server gets nothing new.
type entry struct {
	key     uint32
	slots   uint64
	packed  byte
	leaving bool
	silent  time.Duration // without an answer for this time
}

// The byte of an entry with slots holds the occupied part of the slots in its
// high half, and the magnitude of the queue in its low half. That is coarse,
// so that a state changes only if routing would.
const (
	occupancySteps = 15
	maxMagnitude   = 15
	halfByte       = 4
)

// The byte of an entry without slots is leavingMark or the time of silence.
const (
	leavingMark = 0xff
	silentUnit  = 100 * time.Millisecond
	maxSilent   = 0xfe
)

func packLoad(l backend.Load) byte {
	occupied := (l.Running*occupancySteps + l.Slots/2) / max(l.Slots, 1)
	magnitude := bits.Len(uint(max(l.Waiting, 0)))
	return byte(min(occupied, occupancySteps)<<halfByte | min(magnitude, maxMagnitude))
}

func unpackLoad(slots int, packed byte) backend.Load {
	occupied, magnitude := int(packed>>halfByte), int(packed&(1<<halfByte-1))
	l := backend.Load{Slots: slots, Running: (occupied*slots + occupancySteps/2) / occupancySteps}
	if magnitude > 0 {
		l.Waiting = 1 << (magnitude - 1)
	}
	return l
}

func (e *entry) append(state []byte) []byte {
	state = binary.BigEndian.AppendUint32(state, e.key)
	switch {
	case e.leaving:
		return append(state, 0, leavingMark)
	case e.silent > 0 || e.slots == 0:
		return append(state, 0, byte(min(e.silent/silentUnit, maxSilent)))
	}
	return append(binary.AppendUvarint(state, e.slots), e.packed)
}

// errDigest is returned for a state that cannot be decoded.
var errDigest = errors.New("load: malformed digest")

// parseEntry reads one entry and returns the rest of the state.
func parseEntry(state []byte) (e entry, rest []byte, err error) {
	const keyBytes, maxSlots = 4, 1 << 20
	if len(state) < keyBytes {
		return e, nil, errDigest
	}
	e.key, state = binary.BigEndian.Uint32(state), state[keyBytes:]
	slots, n := binary.Uvarint(state)
	if n <= 0 || len(state) == n || slots > maxSlots {
		return e, nil, errDigest
	}
	e.slots, e.packed = slots, state[n]
	if slots == 0 {
		e.leaving = e.packed == leavingMark
		e.silent = time.Duration(e.packed) * silentUnit
	}
	return e, state[n+1:], nil
}
