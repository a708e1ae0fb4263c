package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// truncatedBody returns an error at the end of its text.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

func response(contentType, text string, complete bool) *http.Response {
	body := io.NopCloser(strings.NewReader(text))
	if !complete {
		body = truncatedBody{strings.NewReader(text)}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Body: body,
		Header: http.Header{"Content-Type": {contentType}, "X-Server": {text}},
	}
}

func newPassthroughResponse(w http.ResponseWriter) *CallerResponse {
	return &CallerResponse{Writer: w, Passthrough: true, Monotonic: true, OnFirstByte: func() {}}
}

// TestTruncatedResponseLeavesNoHeader checks that an error that replaces a
// truncated response carries none of its headers.
func TestTruncatedResponseLeavesNoHeader(t *testing.T) {
	for _, contentType := range []string{"text/plain", eventStreamType} {
		c := qt.New(t)
		w := httptest.NewRecorder()
		result := newPassthroughResponse(w).Copy(response(contentType, "id: 1\n", false))
		c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(result.Started, qt.IsFalse)
		c.Assert(w.Header(), qt.HasLen, 0)
	}
}

// TestStreamResumesOnAnotherServer checks that a stream that is truncated within an
// event continues with complete events and keeps the header of its first server.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	callerResponse := newPassthroughResponse(w)
	first := response(eventStreamType, "id: 3\ndata: a\n\nid: 4\nda", false)
	c.Assert(callerResponse.Copy(first).Outcome, qt.Equals, outcome.MayHaveRun)
	header := http.Header{}
	callerResponse.SetResume(header)
	c.Assert(header.Get("Last-Event-ID"), qt.Equals, "3")
	second := response(eventStreamType, "id: 4\ndata: b\n\nid: 6\ndata: c\n\n", true)
	result := callerResponse.Copy(second)
	c.Assert(result.Outcome, qt.Equals, outcome.Served)
	c.Assert(result.Events, qt.Equals, 3)
	c.Assert(w.Body.String(), qt.Equals, "id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n")
	c.Assert(w.Header().Get("X-Server"), qt.Equals, "id: 3\ndata: a\n\nid: 4\nda")
}

// TestStreamTruncatedWithinAnEvent checks that a response body that ends regularly
// within an event is not taken for the end of the stream.
func TestStreamTruncatedWithinAnEvent(t *testing.T) {
	c := qt.New(t)
	result := newPassthroughResponse(httptest.NewRecorder()).Copy(response(eventStreamType, "id: 1\ndata: a\n\nid: 2\n", true))
	c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
	c.Assert(result.Err, qt.ErrorIs, errTruncated)
}

// TestForeignTextWithinStream guards against the text of an error that a server
// writes into its stream and that reaches the caller as an event.
func TestForeignTextWithinStream(t *testing.T) {
	for name, text := range map[string]string{
		"response": "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n",
		"text":     "the server failed\n\n",
		"a word":   "failed\n\n",
		"no id":    "data: failed\n\n",
		"bad id":   "id: x\ndata: failed\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			callerResponse := newPassthroughResponse(w)
			result := callerResponse.Copy(response(eventStreamType, "id: 1\ndata: a\n\n: comment\n\n"+text, true))
			c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
			c.Assert(callerResponse.Resumable(), qt.IsTrue)
			c.Assert(w.Body.String(), qt.Equals, "id: 1\ndata: a\n\n: comment\n\n")
		})
	}
}

// numbered returns events with the given ids.
func numbered(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", id, id)
	}
	return text.String()
}

// TestResumeAtWrongEvent guards against a stream that is continued by a server that
// started it again, possibly with other events, or that left events out.
func TestResumeAtWrongEvent(t *testing.T) {
	for name, test := range map[string]struct {
		before, after string
		joined        bool
	}{
		"next":                   {numbered(1, 2), numbered(3, 4), true},
		"from the start":         {numbered(1, 2), numbered(1, 2, 3, 4), false},
		"last event again":       {numbered(1, 2), numbered(2, 3, 4), false},
		"start, other ids":       {numbered(2, 5, 7), numbered(1, 4, 8), false},
		"later":                  {numbered(1, 2), numbered(4, 5), false},
		"later, after one event": {numbered(3), numbered(6, 9), true},
		"later, ids with gaps":   {numbered(1, 2, 4), numbered(6, 7), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			callerResponse := newPassthroughResponse(w)
			callerResponse.Copy(response(eventStreamType, test.before+"id: ", false))
			result := callerResponse.Copy(response(eventStreamType, test.after, true))
			if test.joined {
				c.Assert(result.Outcome, qt.Equals, outcome.Served)
				c.Assert(w.Body.String(), qt.Equals, test.before+test.after)
				return
			}
			c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
			c.Assert(result.Err, qt.ErrorIs, errNotResumed)
			c.Assert(w.Body.String(), qt.Equals, test.before)
		})
	}
}

// TestResumeWithAnotherKindOfResponse guards against a response that is no stream of
// events, or not one that can be decoded, whose body continues a stream.
func TestResumeWithAnotherKindOfResponse(t *testing.T) {
	status := func(status int, contentType, text string) *http.Response {
		resp := response(contentType, text, true)
		resp.StatusCode = status
		return resp
	}
	encoded := func(encoding string) *http.Response {
		resp := response(eventStreamType, numbered(3), true)
		resp.Header.Set("Content-Encoding", encoding)
		return resp
	}
	for name, test := range map[string]struct {
		resp   *http.Response
		joined bool
	}{
		"events":             {response(eventStreamType, numbered(3), true), true},
		"charset":            {response("Text/Event-Stream; charset=utf-8", numbered(3), true), true},
		"identity":           {encoded("identity"), true},
		"gzip":               {encoded("gzip"), false},
		"two encodings":      {encoded("gzip, identity"), false},
		"text":               {response("text/plain", numbered(3), true), false},
		"no type":            {response("", numbered(3), true), false},
		"similar type":       {response("text/event-streams", numbered(3), true), false},
		"500 text":           {status(500, "text/plain", "failed"), false},
		"500 events":         {status(500, eventStreamType, numbered(3)), false},
		"503 no final line":  {status(503, "text/plain", "full"), false},
		"421":                {status(421, "", ""), false},
		"429":                {status(429, "application/json", `{"error":{}}`), false},
		"400":                {status(400, "text/plain", "bad\n\n"), false},
		"404 JSON":           {status(404, "application/json", `{"error":{}}`), false},
		"204":                {status(204, eventStreamType, ""), false},
		"206":                {status(206, eventStreamType, numbered(3)), false},
		"304":                {status(304, eventStreamType, ""), false},
		"text in the stream": {response(eventStreamType, "the server failed\n\n", true), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			callerResponse := newPassthroughResponse(w)
			callerResponse.Copy(response(eventStreamType, numbered(1, 2), false))
			result := callerResponse.Copy(test.resp)
			want := numbered(1, 2)
			if test.joined {
				want = numbered(1, 2, 3)
			}
			c.Assert(result.Outcome == outcome.Served, qt.Equals, test.joined)
			c.Assert(result.Started, qt.IsTrue)
			c.Assert(w.Body.String(), qt.Equals, want)
			c.Assert(callerResponse.Resumable(), qt.Equals, !test.joined)
		})
	}
}

// TestEndOfConnection guards against a stream that counts as complete although its
// connection ended within an event or before anything of it had arrived.
func TestEndOfConnection(t *testing.T) {
	const unframed, chunked, length, reset = "unframed", "chunked", "length", "reset"
	for name, test := range map[string]struct {
		before, whole, partial string
		end                    string
		complete               bool
	}{
		"after an event":                 {"", numbered(1, 2), "", unframed, true},
		"after an event, reset":          {"", numbered(1, 2), "", reset, false},
		"within an event":                {"", numbered(1), "id: 2\nda", unframed, false},
		"within an event, chunks":        {"", numbered(1), "id: 2\nda", chunked, false},
		"within an event, length":        {"", numbered(1), "id: 2\nda", length, false},
		"within the end marker":          {"", numbered(1), "data: [DONE]", unframed, false},
		"within an id":                   {"", numbered(1), "id: 2", unframed, false},
		"before the empty line":          {"", numbered(1), "id: 2\ndata: b\n", unframed, false},
		"within the empty line":          {"", "", "id: 1\r\ndata: a\r\n\r", unframed, false},
		"within a line ending":           {"", "", "id: 1\r\ndata: a\r", unframed, false},
		"after CR LF":                    {"", "id: 1\r\ndata: a\r\n\r\n", "", unframed, true},
		"nothing":                        {"", "", "", unframed, false},
		"nothing, reset":                 {"", "", "", reset, false},
		"nothing, chunks":                {"", "", "", chunked, true},
		"nothing, length":                {"", "", "", length, true},
		"nothing after the last event":   {numbered(1), "", "", unframed, false},
		"no chunks after the last event": {numbered(1), "", "", chunked, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			callerResponse := newPassthroughResponse(w)
			if test.before != "" {
				callerResponse.Copy(response(eventStreamType, test.before+"id", false))
			}
			resp := response(eventStreamType, test.whole+test.partial, test.end != reset)
			if test.end != length {
				resp.ContentLength = -1
			}
			if test.end == chunked {
				resp.TransferEncoding = []string{"chunked"}
			}
			result := callerResponse.Copy(resp)
			c.Assert(result.Outcome == outcome.Served, qt.Equals, test.complete)
			c.Assert(w.Body.String(), qt.Equals, test.before+test.whole)
		})
	}
}

// TestHeadOfStream checks that a response to a HEAD request, which has no body and may
// have no length, is complete.
func TestHeadOfStream(t *testing.T) {
	c := qt.New(t)
	resp := response(eventStreamType, "", true)
	resp.ContentLength, resp.Request = -1, httptest.NewRequest(http.MethodHead, "/", nil)
	result := newPassthroughResponse(httptest.NewRecorder()).Copy(resp)
	c.Assert(result.Outcome, qt.Equals, outcome.Served)
}

// TestLargeResponseIsNotContinued guards against a second response that is appended
// to a truncated one, which was relayed after a stream that ended before its first
// event.
func TestLargeResponseIsNotContinued(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	callerResponse := newPassthroughResponse(w)
	callerResponse.Copy(response(eventStreamType, "id: 1\n", false))
	c.Assert(callerResponse.Resumable(), qt.IsTrue)
	large := strings.Repeat("x", maxBufferedBytes+1)
	result := callerResponse.Copy(response("text/plain", large, false))
	c.Assert(result.Started, qt.IsTrue)
	c.Assert(result.NeedsReset, qt.IsTrue)
	c.Assert(callerResponse.Resumable(), qt.IsFalse)
	for _, contentType := range []string{"text/plain", eventStreamType} {
		result = callerResponse.Copy(response(contentType, numbered(1), true))
		c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(w.Body.Len(), qt.Equals, len(large))
	}
}

// TestUnnumberedEventIsNotRepeated guards against a stream that is resumed after its
// last id although events without ids have been delivered, which the next server
// sends again.
func TestUnnumberedEventIsNotRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		before    string
		resumable bool
	}{
		"ids":                      {numbered(0, 1), true},
		"comments":                 {": a\n\n" + numbered(0) + ": b\n\n", true},
		"event without id before":  {"data: a\n\n" + numbered(0), false},
		"event without id, no ids": {"data: a\n\n", false},
		"event without id after":   {numbered(0) + "data: a\n\n", false},
		"event waits for others":   {"data: a\n\n" + numbered(3), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			callerResponse := &CallerResponse{Writer: httptest.NewRecorder(), OnFirstByte: func() {}}
			result := callerResponse.Copy(response(eventStreamType, test.before, false))
			c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
			c.Assert(callerResponse.Resumable(), qt.Equals, test.resumable)
			callerResponse.Fail(outcome.Fail(outcome.CodeBackendFailed, nil, "cut"))
			c.Assert(callerResponse.Resumable(), qt.IsFalse)
		})
	}
}

// flushRecorder is a ResponseWriter that counts the bytes that have been flushed.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushed atomic.Int64
}

func (w *flushRecorder) Flush() { w.flushed.Store(int64(w.Body.Len())) }

// TestEventIsNotHeldBack guards against an event that waits in the connection's buffer
// until the rest of the next one arrives, or until another server resumes the stream.
func TestEventIsNotHeldBack(t *testing.T) {
	for name, cut := range map[string]string{
		"beginning of the next": "id: 3\nda",
		"foreign text":          "the server failed\n\n",
		"event of another run":  numbered(2),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader, writer := io.Pipe()
			defer writer.Close()
			w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp := response(eventStreamType, "", true)
				resp.Body = reader
				newPassthroughResponse(w).Copy(resp)
			}()
			_, err := io.WriteString(writer, numbered(1, 2)+cut)
			c.Assert(err, qt.IsNil)
			want := int64(len(numbered(1, 2)))
			for deadline := time.Now().Add(5 * time.Second); w.flushed.Load() < want; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("flushed %d bytes, want %d", w.flushed.Load(), want))
			}
			writer.CloseWithError(io.ErrUnexpectedEOF)
			<-done
		})
	}
}

// TestCallerReceivesPrefixOfStream cuts a stream at any byte, several times, and
// answers each request that resumes it at random. It guards against bytes that are no
// part of the stream, and against a regular end before the last event.
func TestCallerReceivesPrefixOfStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stride := rapid.IntRange(1, 3).Draw(t, "stride")
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		count := rapid.IntRange(1, 8).Draw(t, "events")
		var events []string
		for i := range count {
			events = append(events, strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: event %d\n\n", (i+1)*stride, i), "\n", lineEnd))
		}
		whole := strings.Join(events, "")
		w := httptest.NewRecorder()
		callerResponse := newPassthroughResponse(w)
		complete := false
		for attempt := 0; attempt < 5 && !complete && (attempt == 0 || callerResponse.Resumable()); attempt++ {
			resp, mayEnd := drawResponse(t, callerResponse, events, stride)
			result := callerResponse.Copy(resp)
			complete = result.Outcome == outcome.Served
			if complete && !mayEnd {
				t.Fatalf("complete after %q", w.Body)
			}
			got := w.Body.String()
			if !strings.HasPrefix(whole, got) || len(got) > 0 && !strings.HasSuffix(got, lineEnd+lineEnd) {
				t.Fatalf("got %q, which is not the beginning of %q", got, whole)
			}
		}
		callerResponse.Fail(outcome.Fail(outcome.CodeBackendFailed, nil, "truncated"))
		if got := w.Body.String(); complete && got != whole || !strings.HasPrefix(whole, got) {
			t.Fatalf("got %q, complete %t, want %q", got, complete, whole)
		}
	})
}

// drawResponse draws the response to the next request of a caller, and reports
// whether the stream may be complete after it.
func drawResponse(t *rapid.T, r *CallerResponse, events []string, stride int) (_ *http.Response, mayEnd bool) {
	header := http.Header{}
	r.SetResume(header)
	first := 0
	if last := header.Get("Last-Event-ID"); last != "" {
		id, err := strconv.Atoi(last)
		if err != nil {
			t.Fatalf("resume after %q", last)
		}
		first = id / stride
	}
	rest := strings.Join(events[first:], "")
	if r.started && rapid.Bool().Draw(t, "other answer") {
		return drawOtherResponse(t), false
	}
	switch cut := rapid.IntRange(0, len(rest)).Draw(t, "cut"); {
	case cut == len(rest) && len(rest) > 0, rapid.Bool().Draw(t, "whole"):
		resp := response(eventStreamType, rest, true)
		resp.TransferEncoding = []string{"chunked"}
		return resp, true
	case rapid.Bool().Draw(t, "foreign text"):
		foreign := rapid.SampledFrom([]string{"the server failed\n\n", "failed: no memory\n\n", "HTTP/1.1 500 Failed\r\nX: y\r\n\r\n"}).Draw(t, "text")
		cut = strings.LastIndex("\n\n"+rest[:cut], "\n\n") // elsewhere it may be a part of a line
		return response(eventStreamType, rest[:cut]+foreign, true), false
	default:
		closed := rapid.Bool().Draw(t, "closed")
		// A regular end of the connection after whole events cannot be told from the
		// end of the stream.
		if text := rest[:cut]; strings.HasSuffix(text, "\n\n") || strings.HasSuffix(text, "\r\n\r\n") {
			closed = false
		}
		resp := response(eventStreamType, rest[:cut], !closed)
		resp.ContentLength = -1
		if !closed {
			resp.Body = truncatedBody{strings.NewReader(rest[:cut])}
		} else {
			resp.Body = io.NopCloser(strings.NewReader(rest[:cut]))
		}
		return resp, false
	}
}

// drawOtherResponse draws a response that is no rest of the stream.
func drawOtherResponse(t *rapid.T) *http.Response {
	text := rapid.SampledFrom([]string{"", "failed", "failed\n\n", "data: x\n\n", numbered(0, 1), "{}\n\n"}).Draw(t, "body")
	resp := response(rapid.SampledFrom([]string{"", "text/plain", eventStreamType}).Draw(t, "type"), text, true)
	resp.StatusCode = rapid.SampledFrom([]int{204, 304, 400, 404, 421, 429, 500, 502, 503}).Draw(t, "status")
	if rapid.Bool().Draw(t, "success") {
		resp.StatusCode = http.StatusOK
		resp.ContentLength = -1
	}
	return resp
}

// TestStreamErrorNamesProgress checks that the error of a truncated stream, which is
// logged, tells how far the stream came and why it ended.
func TestStreamErrorNamesProgress(t *testing.T) {
	c := qt.New(t)
	callerResponse := newPassthroughResponse(httptest.NewRecorder())
	result := callerResponse.Copy(response(eventStreamType, numbered(1, 2)+"id: 3\n", true))
	var streamErr *StreamError
	c.Assert(errors.As(result.Err, &streamErr), qt.IsTrue)
	c.Assert(streamErr.LastEvent, qt.Equals, int64(2))
	c.Assert(streamErr.Bytes, qt.Equals, int64(len(numbered(1, 2))))
	c.Assert(result.Err, qt.ErrorIs, errTruncated)
	c.Assert(result.Err, qt.ErrorMatches, "relay stream: truncated after event 2, 30 bytes, resumable true: stream ended before its end marker")
	result = callerResponse.Copy(response("text/plain", "failed", true))
	c.Assert(result.Err, qt.ErrorIs, errNotResumed)
	c.Assert(result.Err, qt.ErrorMatches, `relay stream: truncated after event 2, .*: status 200, content type "text/plain": .*`)
}
