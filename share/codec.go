package share

import (
	"encoding/binary"
	"math"
	"time"
)

// writer encodes a state of at most maxBytes bytes.
type writer struct {
	data     []byte
	maxBytes int
}

func (w *writer) byte(b byte)      { w.data = append(w.data, b) }
func (w *writer) fixed32(v uint32) { w.data = binary.LittleEndian.AppendUint32(w.data, v) }
func (w *writer) fixed64(v uint64) { w.data = binary.LittleEndian.AppendUint64(w.data, v) }
func (w *writer) uvarint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }

// appendLimit appends the state of a limit, or returns false if it does not fit.
func (w *writer) appendLimit(now time.Time, key Key, s *limitState, members map[memberID]*member) bool {
	before := len(w.data)
	w.fixed64(uint64(key))
	for _, level := range s.demand.Levels {
		w.uvarint(uint64(math.Ceil(level.Demand * demandScale)))
		w.uvarint(uint64(math.Ceil(level.Weight)))
	}
	w.uvarint(uint64(max(s.heldUnits(now), 0)))
	recipients := 0
	for _, p := range s.peers {
		if p.sentUnits > 0 && recipients < maxRecipients {
			recipients++
		}
	}
	w.uvarint(uint64(recipients))
	for id, p := range s.peers {
		if p.sentUnits > 0 && recipients > 0 {
			recipients--
			w.fixed32(uint32(members[id].incarnationID(id)))
			w.uvarint(p.sentUnits)
		}
	}
	if len(w.data) > w.maxBytes {
		w.data = w.data[:before]
		return false
	}
	return true
}

// reader decodes a state. After a decoding error every read returns zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) err() error {
	if r.failed {
		return errMalformedState
	}
	return nil
}

func (r *reader) take(n int) []byte {
	if len(r.data) < n {
		r.failed = true
		r.data = nil
		return make([]byte, n)
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) byte() byte      { return r.take(1)[0] }
func (r *reader) fixed32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) fixed64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return v
}
