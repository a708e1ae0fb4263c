package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

// lastEventID is the header that asks a server to resume a stream.
const lastEventID = "Last-Event-ID"

// errCut is the cause of a stream that ended without its end marker.
var errCut = errors.New("the stream ended before its end marker")

// errNotResumed is the cause of a stream that began again where it should have
// been resumed.
var errNotResumed = errors.New("the server began the stream again instead of resuming it")

// copyStream forwards events in the order of their offsets. The outcome of a
// stream is in its trailer. The stream of the caller stays open after a cut, so
// that another answer can resume it.
func (a *Answer) copyStream(resp *http.Response) Result {
	if !a.started {
		a.start(resp)
	}
	decoder := stream.NewDecoder(resp.Body)
	defer decoder.Close()
	a.sequencer.Restart()
	resumedAfter := int64(stream.NoOffset)
	if a.Resumable() {
		resumedAfter = a.sequencer.Last()
	}
	for {
		event, err := decoder.Next()
		if err != nil {
			return a.cut(resp, decoder, err)
		}
		if !a.Monotonic && event.Offset != stream.NoOffset && resumedAfter != stream.NoOffset {
			if event.Offset <= resumedAfter {
				a.failed = true
				return a.cut(resp, decoder, errNotResumed)
			}
			resumedAfter = stream.NoOffset
		}
		ended, err := a.sequencer.Add(event, a.write)
		if err == nil && !decoder.Buffered() {
			_ = http.NewResponseController(a.Writer).Flush()
		}
		switch {
		case ended && err == nil:
			return a.end(outcome.Served, nil)
		case errors.Is(err, stream.ErrGap):
			return a.cut(resp, decoder, err)
		case err != nil:
			a.failed = true
			return a.end(outcome.MayHaveRun, err) // the caller has gone
		}
		a.ended = a.ended || event.Failed
	}
}

// start begins the caller's stream. Its header leaves with the first event, so
// that a stream that is cut before it can still become an error.
func (a *Answer) start(resp *http.Response) {
	a.first = resp
	next := int64(0)
	if last, err := strconv.ParseInt(a.LastEventID, 10, 64); err == nil && last >= 0 {
		next = last + 1
	}
	a.sequencer = stream.NewSequencer(next)
	if a.Monotonic {
		a.sequencer = stream.NewMonotonic(next - 1)
	}
	a.streaming = true
}

// writeHeader sends the header of the caller's stream once.
func (a *Answer) writeHeader() {
	if a.started {
		return
	}
	a.started = true
	a.copyHeader(a.first)
	if !a.Direct {
		a.Writer.Header().Set("Trailer", outcome.Header)
	}
	a.Writer.WriteHeader(a.first.StatusCode)
	a.first = nil
}

// write sends one event to the caller. It may stay in the buffer of the
// connection until the next flush.
func (a *Answer) write(raw []byte) error {
	if a.bytes == 0 {
		a.OnFirst()
	}
	a.writeHeader()
	n, err := a.Writer.Write(raw)
	a.bytes += int64(n)
	return err
}

// cut ends one answer that is not whole, or whose end has no marker of its own.
func (a *Answer) cut(resp *http.Response, decoder *stream.Decoder, err error) Result {
	if errors.Is(err, io.EOF) {
		text, told := resp.Trailer[outcome.Header]
		if told {
			if o := outcome.Parse(strings.Join(text, "")); o != outcome.Unknown {
				return a.end(o, errCut) // an instance of another region says how it ended
			}
		}
		if a.Monotonic && !told && !decoder.Partial() {
			return a.end(outcome.Served, nil)
		}
		err = errCut
	}
	return Result{Outcome: outcome.MayHaveRun, Started: a.started, Bytes: a.bytes, Err: err}
}

// end ends the caller's stream.
func (a *Answer) end(o outcome.Outcome, err error) Result {
	a.ended = true
	a.writeHeader()
	if !a.Direct {
		a.Writer.Header().Set(outcome.Header, o.String())
	}
	if o == outcome.Served {
		err = nil
	}
	return Result{Outcome: o, Started: true, Bytes: a.bytes, Err: err}
}

// Resumable reports whether another answer can continue the caller's stream.
func (a *Answer) Resumable() bool {
	return a.streaming && !a.ended && !a.failed && (a.sequencer.Numbered() || a.bytes == 0)
}

// SetResume asks for the rest of a stream that was cut.
func (a *Answer) SetResume(header http.Header) {
	if a.Resumable() && a.sequencer.Last() >= 0 {
		header.Set(lastEventID, strconv.FormatInt(a.sequencer.Last(), 10))
	}
}

// Fail ends a stream that was cut and is not resumed, in the form that clients
// of the OpenAI API report as an error. It does nothing for other answers.
func (a *Answer) Fail(failure *outcome.Error) {
	if !a.started || a.ended {
		return
	}
	if a.Monotonic {
		a.end(failure.Outcome, failure)
		return
	}
	body, err := json.Marshal(failure.Body(a.RequestID))
	if err != nil {
		panic("relay: error body cannot be encoded: " + err.Error())
	}
	_, _ = a.Writer.Write([]byte("event: error\ndata: "))
	_, _ = a.Writer.Write(body)
	_, _ = a.Writer.Write([]byte("\n\n"))
	a.end(failure.Outcome, failure)
}
