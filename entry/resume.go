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
	errTruncated         = errors.New("stream ended before its end marker")
	errNoIDs             = errors.New("no event with an id was received to resume after")
	errBodyNotReplayable = errors.New("request has a body but no GetBody to resend it")
	errWrongOffset       = errors.New("first numbered event of the resumed stream does not follow the last event received")
	errRequestMismatch   = errors.New("response to the resume has the id of another request")
	errNotResumed        = errors.New("resume was refused")
)

// StreamError is returned by Read for an event stream that broke and could not
// be resumed. The request may have run.
type StreamError struct {
	LastEventID int64  // id of the last event received that has one, or -1
	RequestID   string // for operators, to find the request
	Cause       error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("entry: stream of request %s broke after event %d: %v", e.RequestID, e.LastEventID, e.Cause)
}

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *StreamError) Unwrap() error { return e.Cause }

// eventBody reads an event stream and resumes it when it breaks. It returns
// only complete events to the reader, so that a resumed stream continues
// between two events.
type eventBody struct {
	roundTrip  *roundTrip
	first      *http.Response // response returned to the caller
	decoder    *stream.Decoder
	pending    []byte
	lastOffset int64
	resumed    bool // the next numbered event must be the one after lastOffset
	done       bool
	err        error

	mu      sync.Mutex // Close may be called concurrently with Read
	current *http.Response
	closed  bool
}

// resumable replaces the body of an event stream by an eventBody. It returns
// other responses unchanged.
func (t *roundTrip) resumable(resp *http.Response) *http.Response {
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if resp.StatusCode != http.StatusOK || media != "text/event-stream" {
		return resp
	}
	current := *resp
	resp.Body = &eventBody{
		roundTrip: t, first: resp, current: &current, lastOffset: stream.NoOffset,
		decoder: stream.NewChatDecoder(current.Body),
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

// next reads one event. If the stream has broken, it resumes the stream and
// returns without an event.
func (b *eventBody) next() error {
	event, err := b.decoder.Next()
	if err == nil {
		err = b.acceptEvent(event)
		if err != nil {
			return b.streamError(err)
		}
		return nil
	}
	if errors.Is(err, io.EOF) {
		if b.isComplete() {
			b.first.Trailer = b.current.Trailer
			return io.EOF
		}
		err = errTruncated
	}
	if b.roundTrip.req.Context().Err() != nil || b.isClosed() {
		return b.streamError(err)
	}
	return b.resume(err)
}

// acceptEvent makes an event available to Read. It returns an error if the
// first numbered event after a resume does not follow the last one before.
func (b *eventBody) acceptEvent(event stream.Event) error {
	if event.Offset != stream.NoOffset {
		if b.resumed && event.Offset != b.lastOffset+1 {
			return errWrongOffset
		}
		b.resumed, b.lastOffset = false, event.Offset
	}
	b.done = b.done || event.Done || event.Failed
	b.pending = event.Raw
	return nil
}

// isComplete reports whether the stream contained its end marker or an error
// event, or whether its trailer says that it was delivered completely.
func (b *eventBody) isComplete() bool {
	return b.done || outcome.Parse(b.current.Trailer.Get(outcome.Header)) == outcome.Served
}

// resume requests the rest of the stream. The gateway recognizes the request by
// its idempotency key and does not run a request twice that must not run twice.
func (b *eventBody) resume(cause error) error {
	t := b.roundTrip
	switch {
	case b.lastOffset == stream.NoOffset:
		return b.streamError(errNoIDs)
	case !t.canResend():
		return b.streamError(errBodyNotReplayable)
	case t.attempts >= maxAttempts:
		return b.streamError(cause)
	}
	t.client.eject(t.lastBase, ejectDuration)
	t.header = http.Header{"Last-Event-Id": {strconv.FormatInt(b.lastOffset, 10)}}
	if id := b.requestID(); id != "" {
		t.header.Set(outcome.RequestIDHeader, id)
	}
	resp, err := t.run()
	if err != nil {
		return b.streamError(err)
	}
	return b.continueWith(resp)
}

// continueWith continues the stream with the body of resp, the response to a
// resume.
func (b *eventBody) continueWith(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return b.streamError(errors.Wrapf(errNotResumed, "resume at %s: status %d", b.roundTrip.lastBase, resp.StatusCode))
	}
	if id := b.requestID(); id != "" && resp.Header.Get(outcome.RequestIDHeader) != id {
		_ = resp.Body.Close()
		return b.streamError(errRequestMismatch)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		_ = resp.Body.Close()
		return b.streamError(http.ErrBodyReadAfterClose)
	}
	_ = b.current.Body.Close()
	b.decoder.Close()
	b.current, b.decoder, b.resumed = resp, stream.NewChatDecoder(resp.Body), true
	return nil
}

func (b *eventBody) requestID() string { return b.first.Header.Get(outcome.RequestIDHeader) }

func (b *eventBody) streamError(cause error) error {
	return &StreamError{LastEventID: b.lastOffset, RequestID: b.requestID(), Cause: cause}
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
