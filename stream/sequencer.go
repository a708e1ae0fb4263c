package stream

import "github.com/go-faster/errors"

// Bounds of the events that are held until an earlier one arrives.
const (
	maxHeldEvents = 64
	maxHeldBytes  = 16 << 10
)

// ErrGap is returned if an event is missing and too much has followed it.
var ErrGap = errors.New("stream: an event is missing")

// Sequencer puts events in the order of their offsets and drops those that
// came before. Events without an offset follow the event before them.
type Sequencer struct {
	next      int64
	held      map[int64][]byte
	heldBytes int
	end       []byte // the end marker, held while an event is missing
	numbered  bool   // an event with an offset has been seen
	monotonic bool   // offsets rise, but need not follow each other
}

// NewMonotonic returns a Sequencer of a stream whose offsets rise from above
// last, not always by one. It drops events that came before, and cannot tell
// that one is missing.
func NewMonotonic(last int64) *Sequencer { return &Sequencer{next: last + 1, monotonic: true} }

// NewSequencer returns a Sequencer whose first event has offset next.
func NewSequencer(next int64) *Sequencer { return &Sequencer{next: next} }

// Last returns the offset of the last event delivered in order; NoOffset before
// the first one.
func (s *Sequencer) Last() int64 { return s.next - 1 }

// Numbered reports whether the stream has offsets, and so can be resumed.
func (s *Sequencer) Numbered() bool { return s.numbered }

// Restart drops what is held, before the stream is resumed after Last.
func (s *Sequencer) Restart() {
	s.held, s.heldBytes, s.end = nil, 0, nil
}

// Add calls deliver for each event that is due now. It reports whether the
// end marker has been delivered.
func (s *Sequencer) Add(e Event, deliver func(raw []byte) error) (ended bool, err error) {
	switch {
	case e.Offset == NoOffset && e.Done && len(s.held) > 0:
		s.end = append([]byte(nil), e.Raw...)
		return false, nil
	case e.Offset == NoOffset:
		return e.Done, deliver(e.Raw)
	}
	s.numbered = true
	switch {
	case e.Offset < s.next:
		return false, nil
	case e.Offset > s.next && !s.monotonic:
		return false, s.hold(e)
	}
	s.next = e.Offset + 1
	if err := deliver(e.Raw); err != nil {
		return false, err
	}
	return s.release(deliver)
}

// hold keeps an event until those before it have come.
func (s *Sequencer) hold(e Event) error {
	if _, ok := s.held[e.Offset]; ok {
		return nil
	}
	if len(s.held) >= maxHeldEvents || s.heldBytes+len(e.Raw) > maxHeldBytes {
		return ErrGap
	}
	if s.held == nil {
		s.held = make(map[int64][]byte)
	}
	s.held[e.Offset] = append([]byte(nil), e.Raw...)
	s.heldBytes += len(e.Raw)
	return nil
}

// release delivers the held events that are due.
func (s *Sequencer) release(deliver func(raw []byte) error) (ended bool, err error) {
	for {
		raw, ok := s.held[s.next]
		if !ok {
			break
		}
		delete(s.held, s.next)
		s.heldBytes -= len(raw)
		s.next++
		if err := deliver(raw); err != nil {
			return false, err
		}
	}
	if len(s.held) > 0 || s.end == nil {
		return false, nil
	}
	end := s.end
	s.end = nil
	return true, deliver(end)
}
