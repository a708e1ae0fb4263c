package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// cutBody ends with an error after its text.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (cutBody) Close() error { return nil }

func response(kind, text string, whole bool) *http.Response {
	body := io.NopCloser(strings.NewReader(text))
	if !whole {
		body = cutBody{strings.NewReader(text)}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Body: body,
		Header: http.Header{"Content-Type": {kind}, "X-Server": {text}},
	}
}

func directAnswer(w http.ResponseWriter) *Answer {
	return &Answer{Writer: w, Direct: true, Monotonic: true, OnFirst: func() {}}
}

// TestCutAnswerLeavesNoHeader checks that an error that takes the place of a
// cut answer has no header of it.
func TestCutAnswerLeavesNoHeader(t *testing.T) {
	for _, kind := range []string{"text/plain", eventStreamType} {
		c := qt.New(t)
		w := httptest.NewRecorder()
		result := directAnswer(w).Copy(response(kind, "id: 1\n", false))
		c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(result.Started, qt.IsFalse)
		c.Assert(w.Header(), qt.HasLen, 0)
	}
}

// TestStreamGoesOnAtAnotherServer checks that a stream that was cut within an
// event goes on with whole events, under the header of its first server.
func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	answer := directAnswer(w)
	first := response(eventStreamType, "id: 3\ndata: a\n\nid: 4\nda", false)
	c.Assert(answer.Copy(first).Outcome, qt.Equals, outcome.MayHaveRun)
	header := http.Header{}
	answer.SetResume(header)
	c.Assert(header.Get("Last-Event-ID"), qt.Equals, "3")
	second := response(eventStreamType, "id: 4\ndata: b\n\nid: 6\ndata: c\n\n", true)
	c.Assert(answer.Copy(second).Outcome, qt.Equals, outcome.Served)
	c.Assert(w.Body.String(), qt.Equals, "id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n")
	c.Assert(w.Header().Get("X-Server"), qt.Equals, "id: 3\ndata: a\n\nid: 4\nda")
}

// TestStreamEndsWithinAnEvent checks that a connection that ends in order
// within an event does not look like the end of the stream.
func TestStreamEndsWithinAnEvent(t *testing.T) {
	c := qt.New(t)
	result := directAnswer(httptest.NewRecorder()).Copy(response(eventStreamType, "id: 1\ndata: a\n\nid: 2\n", true))
	c.Assert(result.Outcome, qt.Equals, outcome.MayHaveRun)
	c.Assert(result.Err, qt.ErrorIs, errCut)
}
