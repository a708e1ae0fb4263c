package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

// LastEventIDHeader requests that a server resume a stream after an event.
const LastEventIDHeader = "Last-Event-ID"

// errTruncated is the cause of a stream that ended without its end marker.
var errTruncated = errors.New("stream ended before its end marker")

// errNotResumed is the cause of a response that does not resume a stream, such as
// one that starts the stream again or at a later event.
var errNotResumed = errors.New("backend server did not resume the stream")

// StreamError describes a response that ended before the end of the stream, or that
// did not resume it.
type StreamError struct {
	LastEvent int64 // highest id that has been delivered, or stream.NoOffset
	Bytes     int64 // sent to the caller by all responses so far
	Resumable bool  // another response can continue the stream
	Cause     error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("relay stream: truncated after event %d, %d bytes, resumable %t: %v", e.LastEvent, e.Bytes, e.Resumable, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Cause }

// errUnnumbered is the cause of an event without an id in a stream whose events
// have ids.
var errUnnumbered = errors.New("event has no id, unlike those before it")

// copyStream forwards events in the order of their offsets. The outcome of a
// stream is in its trailer. The caller's stream stays open after a truncation, so
// that another response can resume it.
func (r *CallerResponse) copyStream(resp *http.Response) Result {
	if !r.started {
		r.startStream(resp)
	}
	decoder := r.newDecoder(resp.Body)
	defer decoder.Close()
	r.sequencer.DropPending()
	resumedAfter := int64(stream.NoOffset)
	if r.Resumable() {
		resumedAfter = r.sequencer.LastOffset()
	}
	for {
		event, err := decoder.Next()
		if err != nil {
			return r.endWithoutMarker(resp, decoder, err)
		}
		if event.Offset != stream.NoOffset && resumedAfter != stream.NoOffset {
			if event.Offset <= resumedAfter || r.sequencer.SkipsEvents(event) {
				r.notResumable = true
				return r.endWithoutMarker(resp, decoder, errNotResumed)
			}
			resumedAfter = stream.NoOffset
		}
		if r.isForeign(event) {
			return r.endWithoutMarker(resp, decoder, errUnnumbered)
		}
		ended, err := r.sequencer.Add(event, r.write)
		if err == nil && !decoder.EventBuffered() {
			r.flush()
		}
		switch {
		case ended && err == nil:
			return r.endStream(outcome.Served, nil)
		case errors.Is(err, stream.ErrGap):
			return r.endWithoutMarker(resp, decoder, err)
		case err != nil:
			r.notResumable = true
			result := r.endStream(outcome.MayHaveRun, err)
			result.CallerLost = true
			return result
		}
		r.ended = r.ended || event.Failed
	}
}

// newDecoder returns a decoder of the body of a stream. The end marker and the error
// events of chat completions have no meaning in a monotonic stream.
func (r *CallerResponse) newDecoder(body io.Reader) *stream.Decoder {
	if r.Monotonic {
		return stream.NewDecoder(body)
	}
	return stream.NewChatDecoder(body)
}

// isForeign reports whether event does not belong to a monotonic stream: the events
// before it have ids, and it has none. Comments need none.
func (r *CallerResponse) isForeign(event stream.Event) bool {
	return r.Monotonic && event.Offset == stream.NoOffset && event.Fields && r.sequencer.HasOffsets()
}

// startStream prepares the caller's stream. The header is sent with the first
// event, so that a stream that is truncated before it can still be replaced by an
// error.
func (r *CallerResponse) startStream(resp *http.Response) {
	r.headerSource = resp
	next := int64(0)
	if last, err := strconv.ParseInt(r.LastEventID, 10, 64); err == nil && last >= 0 {
		next = last + 1
	}
	r.sequencer = stream.NewSequencer(next)
	if r.Monotonic {
		r.sequencer = stream.NewMonotonic(next - 1)
	}
	r.streaming = true
}

// writeHeader sends the header of the caller's stream, unless it has been sent.
func (r *CallerResponse) writeHeader() {
	if r.started {
		return
	}
	r.started = true
	r.copyHeader(r.headerSource)
	if !r.Passthrough {
		r.Writer.Header().Set("Trailer", outcome.Header)
	}
	r.Writer.WriteHeader(r.headerSource.StatusCode)
	r.headerSource = nil
}

// write sends one event to the caller. The event may stay in the connection's
// buffer until the next flush.
func (r *CallerResponse) write(raw []byte) error {
	if r.bytesSent == 0 {
		r.OnFirstByte()
	}
	if !r.started && r.OnFirstEvent != nil {
		r.OnFirstEvent(r.headerSource.Header)
	}
	r.writeHeader()
	n, err := r.Writer.Write(raw)
	r.bytesSent += int64(n)
	if err == nil {
		r.eventsSent++
		if r.OnEvent != nil {
			r.OnEvent()
		}
	}
	return err
}

// flush sends the buffered events.
func (r *CallerResponse) flush() { _ = http.NewResponseController(r.Writer).Flush() }

// endWithoutMarker handles a response that ended with err and without an end
// marker. After a regular end (io.EOF), the trailer of another instance states the
// outcome, and a monotonic stream without that trailer is complete if it does not
// end within an event, nor before its first one with the connection. Any other
// response is truncated.
func (r *CallerResponse) endWithoutMarker(resp *http.Response, decoder *stream.Decoder, err error) Result {
	if errors.Is(err, io.EOF) {
		values, hasTrailer := resp.Trailer[outcome.Header]
		if hasTrailer {
			if o := outcome.Parse(strings.Join(values, "")); o != outcome.Unknown {
				return r.endStream(o, errTruncated) // outcome stated by an instance of another region
			}
		}
		if r.Monotonic && !hasTrailer && !decoder.Partial() && (isFramed(resp) || decoder.Begun()) {
			return r.endStream(outcome.Served, nil)
		}
		err = errTruncated
	}
	if r.started {
		r.flush()
	}
	return Result{Outcome: outcome.MayHaveRun, Started: r.started, Bytes: r.bytesSent, Events: r.eventsSent, Err: r.streamError(err)}
}

// streamError returns err with the progress of the stream.
func (r *CallerResponse) streamError(err error) error {
	return &StreamError{LastEvent: r.sequencer.LastOffset(), Bytes: r.bytesSent, Resumable: r.Resumable(), Cause: err}
}

// isFramed reports whether the end of the body shows other than by the end of the
// connection.
func isFramed(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return head || resp.ProtoMajor >= 2 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// endStream ends the caller's stream.
func (r *CallerResponse) endStream(o outcome.Outcome, err error) Result {
	r.ended = true
	r.writeHeader()
	if !r.Passthrough {
		r.Writer.Header().Set(outcome.Header, o.String())
	}
	if o == outcome.Served {
		err = nil
	}
	return Result{Outcome: o, Started: true, Bytes: r.bytesSent, Events: r.eventsSent, Err: err}
}

// Resumable reports whether another response can continue the caller's stream.
func (r *CallerResponse) Resumable() bool {
	return r.streaming && !r.ended && !r.notResumable && (r.sequencer.Resumable() || r.bytesSent == 0)
}

// SetResume sets the request header that makes a server resume a truncated stream
// after the last event that the caller has received.
func (r *CallerResponse) SetResume(header http.Header) {
	if r.Resumable() && r.sequencer.LastOffset() >= 0 {
		header.Set(LastEventIDHeader, strconv.FormatInt(r.sequencer.LastOffset(), 10))
	}
}

// Fail ends a truncated stream that is not resumed. It sends an event that clients
// of the OpenAI API report as an error, except on a monotonic stream, which ends
// without it. Fail does nothing for other responses.
func (r *CallerResponse) Fail(failure *outcome.Error) {
	if !r.started || r.ended {
		return
	}
	if r.Monotonic {
		r.endStream(failure.Outcome, failure)
		return
	}
	body, err := json.Marshal(failure.Body(r.RequestID))
	if err != nil {
		panic("relay: encode error body: " + err.Error())
	}
	_, _ = r.Writer.Write([]byte("event: error\ndata: "))
	_, _ = r.Writer.Write(body)
	_, _ = r.Writer.Write([]byte("\n\n"))
	r.endStream(failure.Outcome, failure)
}
