package entry

import (
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

// Causes of a StreamError.
var (
	errCut        = errors.New("the stream ended before its end marker")
	errNoIDs      = errors.New("the events have no ids to resume at")
	errNoBody     = errors.New("the body of the request cannot be had again")
	errWrongEvent = errors.New("the resumed stream does not continue at its offset")
	errOtherID    = errors.New("the resumed stream answers another request")
	errRefused    = errors.New("the stream was not resumed")
)

// StreamError is a stream of events that broke and could not be resumed. The
// request may have run.
type StreamError struct {
	LastEventID int64  // of the last event that was read, or -1
	RequestID   string // for the operators
	Cause       error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("entry: stream of request %s broke after event %d: %v", e.RequestID, e.LastEventID, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Cause }

// eventBody reads a stream of events and resumes it when it breaks. It passes
// on whole events only, so that a resumed stream continues between two events.
type eventBody struct {
	trip    *trip
	first   *http.Response // what the caller holds
	decoder *stream.Decoder
	pending []byte
	last    int64
	resumed bool // the next numbered event must be the one after last
	done    bool
	err     error

	mu      sync.Mutex // Close may be called beside Read
	current *http.Response
	closed  bool
}

// resumable replaces the body of a stream of events.
func (t *trip) resumable(resp *http.Response) *http.Response {
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if resp.StatusCode != http.StatusOK || media != "text/event-stream" {
		return resp
	}
	current := *resp
	resp.Body = &eventBody{
		trip: t, first: resp, current: &current, last: stream.NoOffset,
		decoder: stream.NewDecoder(current.Body),
	}
	return resp
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.next()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// next reads one event, from a resumed stream if need be.
func (b *eventBody) next() error {
	event, err := b.decoder.Next()
	if err == nil {
		err = b.take(event)
		if err != nil {
			return b.fail(err)
		}
		return nil
	}
	if errors.Is(err, io.EOF) {
		if b.ended() {
			b.first.Trailer = b.current.Trailer
			return io.EOF
		}
		err = errCut
	}
	if b.trip.req.Context().Err() != nil || b.isClosed() {
		return b.fail(err)
	}
	return b.resume(err)
}

// take checks that an event belongs where it is and passes it on.
func (b *eventBody) take(event stream.Event) error {
	if event.Offset != stream.NoOffset {
		if b.resumed && event.Offset != b.last+1 {
			return errWrongEvent
		}
		b.resumed, b.last = false, event.Offset
	}
	b.done = b.done || event.Done || event.Failed
	b.pending = event.Raw
	return nil
}

// ended reports whether the stream is whole, or says itself that it failed.
func (b *eventBody) ended() bool {
	return b.done || outcome.Parse(b.current.Trailer.Get(outcome.Header)) == outcome.Served
}

// resume asks for the rest of the stream. The gateway runs no request twice
// that must not be: it knows it by its idempotency key.
func (b *eventBody) resume(cause error) error {
	t := b.trip
	switch {
	case b.last == stream.NoOffset:
		return b.fail(errNoIDs)
	case !t.canResend():
		return b.fail(errNoBody)
	case t.attempts >= maxAttempts:
		return b.fail(cause)
	}
	t.client.avoid(t.base, ejectTime)
	t.header = http.Header{"Last-Event-Id": {strconv.FormatInt(b.last, 10)}}
	if id := b.id(); id != "" {
		t.header.Set(outcome.RequestIDHeader, id)
	}
	resp, err := t.run()
	if err != nil {
		return b.fail(err)
	}
	return b.follow(resp)
}

// follow continues with the body of another response.
func (b *eventBody) follow(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return b.fail(errors.Wrapf(errRefused, "status %d", resp.StatusCode))
	}
	if id := b.id(); id != "" && resp.Header.Get(outcome.RequestIDHeader) != id {
		_ = resp.Body.Close()
		return b.fail(errOtherID)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		_ = resp.Body.Close()
		return b.fail(http.ErrBodyReadAfterClose)
	}
	_ = b.current.Body.Close()
	b.decoder.Close()
	b.current, b.decoder, b.resumed = resp, stream.NewDecoder(resp.Body), true
	return nil
}

func (b *eventBody) id() string { return b.first.Header.Get(outcome.RequestIDHeader) }

func (b *eventBody) fail(cause error) error {
	return &StreamError{LastEventID: b.last, RequestID: b.id(), Cause: cause}
}

// Close implements io.Closer.
func (b *eventBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return b.current.Body.Close()
}

func (b *eventBody) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}
