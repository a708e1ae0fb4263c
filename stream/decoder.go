// Package stream reads server-sent events and puts them in order by offset.
package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Bounds of the memory of one stream.
const (
	MaxEventBytes = 256 << 10 // largest event
	readerBytes   = 1 << 10
	maxKeptBytes  = 8 << 10 // a larger event buffer is not kept for the next event
)

// NoOffset is the offset of an event without one.
const NoOffset = -1

// ErrTooLarge is returned for an event of more than MaxEventBytes.
var ErrTooLarge = errors.New("stream: event is too large")

// done is the data of the event that ends a chat completion.
var done = []byte("[DONE]")

// Event is one server-sent event.
type Event struct {
	// Raw is the text of the event with its empty line at the end. It is valid
	// until the next call of Next.
	Raw []byte
	// Offset is the id of the event, or NoOffset if it has none or one that is
	// no whole number.
	Offset int64
	// Done marks the end of a whole chat completion.
	Done bool
	// Failed marks an event of type "error", which ends a failed stream.
	Failed bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

// Decoder reads events.
type Decoder struct {
	reader *bufio.Reader
	raw    []byte
}

// NewDecoder returns a Decoder of r. Close must be called at the end.
func NewDecoder(r io.Reader) *Decoder {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(r)
	return &Decoder{reader: reader}
}

// Close frees the buffers.
func (d *Decoder) Close() {
	d.reader.Reset(nil)
	readers.Put(d.reader)
	d.reader, d.raw = nil, nil
}

// Buffered reports whether more of the stream has been read ahead.
func (d *Decoder) Buffered() bool { return d.reader.Buffered() > 0 }

// Partial reports whether the stream ended within an event.
func (d *Decoder) Partial() bool { return len(d.raw) > 0 }

// Next returns the next event. It returns io.EOF at the end, also if the last
// event is incomplete: without its empty line an event does not count. The
// one exception is the end marker.
func (d *Decoder) Next() (Event, error) {
	if cap(d.raw) > maxKeptBytes {
		d.raw = nil
	}
	d.raw = d.raw[:0]
	event := Event{Offset: NoOffset}
	for {
		line, err := d.line()
		if err != nil {
			if errors.Is(err, io.EOF) && event.Done {
				event.Raw = append(bytes.TrimRight(d.raw, "\r\n"), "\n\n"...)
				return event, nil
			}
			return Event{}, err
		}
		if len(line) == 0 {
			event.Raw = d.raw
			return event, nil
		}
		event.field(line)
	}
}

// line reads one line into raw and returns it without its end. A line that
// EOF ends is returned as a whole one; the next call returns io.EOF.
func (d *Decoder) line() ([]byte, error) {
	start := len(d.raw)
	for {
		part, err := d.reader.ReadSlice('\n')
		if len(d.raw)+len(part) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		d.raw = append(d.raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(d.raw) == start) {
			return nil, err
		}
		line := bytes.TrimSuffix(d.raw[start:], []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if err != nil && len(line) == 0 {
			return nil, err
		}
		return line, nil
	}
}

// field reads what is needed of one line.
func (e *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		offset, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || offset < 0 {
			offset = NoOffset
		}
		e.Offset = offset
	case "data":
		e.Done = bytes.Equal(value, done)
	case "event":
		e.Failed = string(value) == "error"
	}
}
