package load

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// serverDigest is the load of one server as sent to other instances. It is encoded
// as the key, the number of slots and one byte. If the number of slots is 0, the
// server is to receive no new requests, and the byte holds the reason: the server is
// draining, or its last report is too old.
type serverDigest struct {
	key        uint32 // low 32 bits of the server key
	slots      uint64
	packedLoad byte
	draining   bool
	reportAge  time.Duration // time since the last load report; 0 if recent
}

// If a digest has slots, its byte holds the occupied fraction of the slots, in
// steps of 1/occupancySteps, in the high 4 bits and the bit length of the queue
// length in the low 4 bits. The encoding is coarse so that a state changes only
// if routing would.
const (
	occupancySteps    = 15
	maxQueueMagnitude = 15
	halfByteBits      = 4
)

// If a digest has no slots, its byte is drainingMarker or the report age in units
// of reportAgeUnit.
const (
	drainingMarker    = 0xff
	reportAgeUnit     = 100 * time.Millisecond
	maxReportAgeUnits = 0xfe
)

// packLoad encodes a load report as the byte of a digest with slots.
func packLoad(l backend.Load) byte {
	occupied := (l.Running*occupancySteps + l.Slots/2) / max(l.Slots, 1)
	magnitude := bits.Len(uint(max(l.Waiting, 0)))
	return byte(min(occupied, occupancySteps)<<halfByteBits | min(magnitude, maxQueueMagnitude))
}

// unpackLoad decodes the byte of a digest with slots. The result is approximate.
func unpackLoad(slots int, packed byte) backend.Load {
	occupied, magnitude := int(packed>>halfByteBits), int(packed&(1<<halfByteBits-1))
	l := backend.Load{Slots: slots, Running: (occupied*slots + occupancySteps/2) / occupancySteps}
	if magnitude > 0 {
		l.Waiting = 1 << (magnitude - 1)
	}
	return l
}

func (d *serverDigest) appendTo(state []byte) []byte {
	state = binary.BigEndian.AppendUint32(state, d.key)
	switch {
	case d.draining:
		return append(state, 0, drainingMarker)
	case d.reportAge > 0 || d.slots == 0:
		return append(state, 0, byte(min(d.reportAge/reportAgeUnit, maxReportAgeUnits)))
	}
	return append(binary.AppendUvarint(state, d.slots), d.packedLoad)
}

// errMalformedDigest is returned for a state that is truncated or contains an
// invalid number of slots.
var errMalformedDigest = errors.New("load: malformed digest: truncated, or too many slots")

// parseDigest decodes the first digest of a state and returns the rest of the
// state.
func parseDigest(state []byte) (d serverDigest, rest []byte, err error) {
	const keyBytes, maxSlots = 4, 1 << 20
	if len(state) < keyBytes {
		return d, nil, errMalformedDigest
	}
	d.key, state = binary.BigEndian.Uint32(state), state[keyBytes:]
	slots, n := binary.Uvarint(state)
	if n <= 0 || len(state) == n || slots > maxSlots {
		return d, nil, errMalformedDigest
	}
	d.slots, d.packedLoad = slots, state[n]
	if slots == 0 {
		d.draining = d.packedLoad == drainingMarker
		d.reportAge = time.Duration(d.packedLoad) * reportAgeUnit
	}
	return d, state[n+1:], nil
}
