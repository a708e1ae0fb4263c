package share

import (
	"encoding/binary"
	"math"
	"time"
)

// writer encodes a state of at most limit bytes.
type writer struct {
	data  []byte
	limit int
}

func (w *writer) byte(b byte)      { w.data = append(w.data, b) }
func (w *writer) fixed32(v uint32) { w.data = binary.LittleEndian.AppendUint32(w.data, v) }
func (w *writer) fixed64(v uint64) { w.data = binary.LittleEndian.AppendUint64(w.data, v) }
func (w *writer) uvarint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }

// row adds a row, or reports false if it does not fit.
func (w *writer) row(now time.Time, key Key, r *row, members map[memberID]*member) bool {
	before := len(w.data)
	w.fixed64(uint64(key))
	for _, level := range r.demand.Levels {
		w.uvarint(uint64(math.Ceil(level.Want * wantScale)))
		w.uvarint(uint64(math.Ceil(level.Weight)))
	}
	w.uvarint(uint64(max(r.held(now), 0)))
	given := 0
	for _, c := range r.cells {
		if c.out > 0 && given < maxMembers {
			given++
		}
	}
	w.uvarint(uint64(given))
	for id, c := range r.cells {
		if c.out > 0 && given > 0 {
			given--
			w.fixed32(uint32(members[id].address(id)))
			w.uvarint(c.out)
		}
	}
	if len(w.data) > w.limit {
		w.data = w.data[:before]
		return false
	}
	return true
}

// reader decodes a state. After a fault every read returns zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) err() error {
	if r.failed {
		return errState
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
