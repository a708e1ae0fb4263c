package stream

import "github.com/go-faster/errors"

// Limits of the events that are buffered until an earlier event arrives.
const (
	maxPendingEvents = 64
	maxPendingBytes  = 16 << 10
)

// ErrGap is returned if an event is missing and the events after it exceed the
// limits of the buffer.
var ErrGap = errors.New("stream: an event is missing")

// Sequencer delivers events in the order of their offsets and drops duplicates.
// An event without an offset is delivered at once, except for the end marker,
// which is buffered while other events are.
type Sequencer struct {
	next         int64 // lowest offset that has not been delivered
	pending      map[int64][]byte
	pendingBytes int
	endMarker    []byte // without an offset, buffered while an event is missing
	endOffset    *int64 // offset of a buffered end marker that has one
	hasOffsets   bool   // an event with an offset has been received
	unnumbered   bool   // an event without an offset has been delivered
	monotonic    bool   // offsets increase, but not always by one
	delivered    bool   // an event with an offset has been delivered
	stepped      bool   // monotonic: an offset increased by one
	skipped      bool   // monotonic: an offset increased by more than one
}

// NewMonotonic returns a Sequencer for a stream whose offsets are above last and
// increase, but not always by one. It drops events with an offset at or below
// the highest delivered one, and cannot detect a missing event.
func NewMonotonic(last int64) *Sequencer { return &Sequencer{next: last + 1, monotonic: true} }

// NewSequencer returns a Sequencer for a stream whose offsets increase by one.
// next is the offset of the first event to deliver.
func NewSequencer(next int64) *Sequencer { return &Sequencer{next: next} }

// LastOffset returns the highest offset that has been delivered. Before the
// first delivery it returns the offset below the first expected one, which is
// NoOffset for a stream that starts at 0.
func (s *Sequencer) LastOffset() int64 { return s.next - 1 }

// HasOffsets reports whether an event with an offset has been received.
func (s *Sequencer) HasOffsets() bool { return s.hasOffsets }

// Resumable reports whether the stream can be resumed after LastOffset: all events so
// far have offsets. Comments need none.
func (s *Sequencer) Resumable() bool { return s.hasOffsets && !s.unnumbered }

// SkipsEvents reports whether e, the first event after a monotonic stream has been
// resumed, follows a gap: its offset is not the next one, although all offsets so far
// increased by one.
func (s *Sequencer) SkipsEvents(e Event) bool {
	return s.monotonic && s.stepped && !s.skipped && e.Offset > s.next
}

// DropPending drops the buffered events. It is called before the stream is
// resumed after LastOffset.
func (s *Sequencer) DropPending() {
	s.pending, s.pendingBytes, s.endMarker, s.endOffset = nil, 0, nil, nil
}

// Add processes e and calls deliver for each event that can be delivered now.
// ended reports whether the end marker has been delivered.
func (s *Sequencer) Add(e Event, deliver func(raw []byte) error) (ended bool, err error) {
	switch {
	case e.Offset == NoOffset && e.Done && len(s.pending) > 0:
		s.endMarker = append([]byte(nil), e.Raw...)
		return false, nil
	case e.Offset == NoOffset:
		s.unnumbered = s.unnumbered || e.Fields
		return e.Done, deliver(e.Raw)
	}
	s.hasOffsets = true
	switch {
	case e.Offset < s.next:
		return false, nil
	case e.Offset > s.next && !s.monotonic:
		return false, s.addPending(e)
	}
	s.countStep(e)
	s.next = e.Offset + 1
	if err := deliver(e.Raw); err != nil || e.Done {
		return err == nil, err
	}
	return s.deliverPending(deliver)
}

// countStep records how the offset of e, which is to be delivered, has increased.
func (s *Sequencer) countStep(e Event) {
	switch {
	case !s.delivered:
		s.delivered = true
	case e.Offset == s.next:
		s.stepped = true
	default:
		s.skipped = true
	}
}

// addPending buffers an event until the events before it have been delivered.
func (s *Sequencer) addPending(e Event) error {
	if _, ok := s.pending[e.Offset]; ok {
		return nil
	}
	if len(s.pending) >= maxPendingEvents || s.pendingBytes+len(e.Raw) > maxPendingBytes {
		return ErrGap
	}
	if s.pending == nil {
		s.pending = make(map[int64][]byte)
	}
	s.pending[e.Offset] = append([]byte(nil), e.Raw...)
	s.pendingBytes += len(e.Raw)
	if e.Done {
		s.endOffset = &e.Offset
	}
	return nil
}

// deliverPending delivers the buffered events that follow without a gap, and
// then the end marker if no event is left in the buffer.
func (s *Sequencer) deliverPending(deliver func(raw []byte) error) (ended bool, err error) {
	for {
		raw, ok := s.pending[s.next]
		if !ok {
			break
		}
		delete(s.pending, s.next)
		s.pendingBytes -= len(raw)
		ended := s.endOffset != nil && *s.endOffset == s.next
		s.next++
		if err := deliver(raw); err != nil || ended {
			return ended && err == nil, err
		}
	}
	if len(s.pending) > 0 || s.endMarker == nil {
		return false, nil
	}
	endMarker := s.endMarker
	s.endMarker = nil
	return true, deliver(endMarker)
}
