// Package stream decodes server-sent events and orders them by offset.
package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Memory limits of one stream.
const (
	MaxEventBytes   = 256 << 10 // largest event
	readBufferBytes = 1 << 10
	maxReusedBytes  = 8 << 10 // a larger event buffer is not reused for the next event
)

// NoOffset is the value of Event.Offset for an event without an offset.
const NoOffset = -1

// ErrTooLarge is returned for an event of more than MaxEventBytes.
var ErrTooLarge = errors.New("stream: event is too large")

// ErrMalformed is returned for text that is no event, such as that of an error or the
// header of another response: a line of it is no field, or none of its fields is known.
var ErrMalformed = errors.New("stream: text is not an event")

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// doneData is the data of the event that ends a chat completion.
var doneData = []byte("[DONE]")

// Event is one server-sent event.
type Event struct {
	// Raw is the text of the event with its terminating empty line. It is valid
	// until the next call of Next.
	Raw []byte
	// Offset is the id of the event, or NoOffset if the id is missing or is not
	// a non-negative integer.
	Offset int64
	// Done reports whether the event is the end marker "[DONE]" of a complete
	// chat completion. It is false for a Decoder that is not one of chat completions.
	Done bool
	// Failed reports whether the event is of type "error", which ends a failed chat
	// completion. It is false for a Decoder that is not one of chat completions.
	Failed bool
	// Fields reports whether the event has a field. Without one it consists of
	// comments, which clients ignore.
	Fields bool
	// Unterminated reports whether the stream ended before the empty line of the
	// event, which Next has added. Only the end marker is returned then.
	Unterminated bool
	// known is whether one of the fields is of the event stream format.
	known    bool
	dataSeen bool // a data field has been read
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// Decoder reads server-sent events from a stream.
type Decoder struct {
	reader *bufio.Reader
	raw    []byte
	begun  bool // a line has been read
	chat   bool // the events are those of a chat completion
}

// NewDecoder returns a Decoder that reads from r. It gives the content of events no
// meaning: the stream ends where r does. The caller must call Close.
func NewDecoder(r io.Reader) *Decoder {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(r)
	return &Decoder{reader: reader}
}

// NewChatDecoder is like NewDecoder for a chat completion of the OpenAI API, in which
// an end marker and events of type "error" end the stream.
func NewChatDecoder(r io.Reader) *Decoder {
	d := NewDecoder(r)
	d.chat = true
	return d
}

// Close returns the read buffer to the pool. The Decoder must not be used
// afterwards. Close does not close the underlying reader.
func (d *Decoder) Close() {
	d.reader.Reset(nil)
	readerPool.Put(d.reader)
	d.reader, d.raw = nil, nil
}

// EventBuffered reports whether Next can return the next event without reading from
// the stream.
func (d *Decoder) EventBuffered() bool {
	buffered, _ := d.reader.Peek(d.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// Partial reports whether the stream ended within an event. It is valid after
// Next has returned io.EOF.
func (d *Decoder) Partial() bool { return len(d.raw) > 0 }

// Begun reports whether the stream contains anything.
func (d *Decoder) Begun() bool { return d.begun || len(d.raw) > 0 }

// Next returns the next event, or io.EOF at the end of the stream. A last event
// without its terminating empty line is incomplete and is not returned, except
// for the end marker, whose empty line Next adds. After ErrMalformed the stream must
// not be read further.
func (d *Decoder) Next() (Event, error) {
	if cap(d.raw) > maxReusedBytes {
		d.raw = nil
	}
	d.raw = d.raw[:0]
	event := Event{Offset: NoOffset}
	for {
		line, err := d.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && event.Done {
				event.Raw = append(bytes.TrimRight(d.raw, "\r\n"), "\n\n"...)
				event.Unterminated = true
				return event, nil
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if event.Fields && !event.known {
				return Event{}, ErrMalformed
			}
			event.Raw = d.raw
			return event, nil
		}
		if !d.begun {
			d.begun = true
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		if !event.parseField(line, d.chat) {
			return Event{}, ErrMalformed
		}
	}
}

// readLine appends one line to raw and returns it without its line ending. A
// last line that ends at io.EOF is returned like any other line; the next call
// returns io.EOF.
func (d *Decoder) readLine() ([]byte, error) {
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

// parseField sets the fields of e from one line of the event. It returns false if
// the line is neither a field nor a comment. chat reports whether the event is one of
// a chat completion.
func (e *Event) parseField(line []byte, chat bool) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !isFieldName(name) {
		return false
	}
	e.Fields = e.Fields || len(name) > 0
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "retry":
		e.known = true
	case "id":
		e.known = true
		offset, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || offset < 0 {
			offset = NoOffset
		}
		e.Offset = offset
	case "data":
		e.known = true
		e.Done = chat && !e.dataSeen && bytes.Equal(value, doneData) // the data of several lines is longer
		e.dataSeen = true
	case "event":
		e.known = true
		e.Failed = chat && string(value) == "error"
	}
	return true
}

// isFieldName reports whether name may be the name of a field. The names of the
// event stream format and of its extensions are in lower case, unlike those of
// HTTP headers. The name of a comment is empty.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
