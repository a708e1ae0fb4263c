package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/relay"
)

// offsetEvents returns the events with the offsets first to last.
func offsetEvents(first, last int) string {
	var text strings.Builder
	for offset := first; offset <= last; offset++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", offset, offset)
	}
	return text.String()
}

// newScriptedDispatcher returns a dispatcher with two servers that answer a request
// with first, and one that resumes a stream with next.
func newScriptedDispatcher(t *testing.T, first, next http.HandlerFunc) *Dispatcher {
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-ID") != "" {
			next(w, r)
		} else {
			first(w, r)
		}
	})
	return newServerDispatcher(t, answer, answer)
}

// sendText returns a handler that sends a response with a status and the given header
// lines, and aborts it if aborts is set.
func sendText(status int, text string, aborts bool, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, line := range header {
			name, value, _ := strings.Cut(line, ": ")
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		if aborts {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestBrokenStreamEndsWithErrorEvent guards against the text of another response, or
// events of another run, within a stream of the gateway's own format, and against one
// that ends as complete. It ends with the rest of its events, or with an error event
// and an outcome other than served.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	const events, done = "Content-Type: text/event-stream", "data: [DONE]\n\n"
	for name, test := range map[string]struct {
		next     http.HandlerFunc
		last     int // last event that the caller receives
		complete bool
	}{
		"rest":              {sendText(200, offsetEvents(2, 4)+done, false, events), 4, true},
		"no end marker":     {sendText(200, offsetEvents(2, 4), false, events), 4, false},
		"cut again":         {sendText(200, offsetEvents(2, 3)+"id: 4\nda", true, events), 3, false},
		"from the start":    {sendText(200, offsetEvents(0, 4)+done, false, events), 1, false},
		"a later event":     {sendText(200, offsetEvents(3, 4)+done, false, events), 1, false},
		"nothing":           {sendText(200, "", false, events), 1, false},
		"500":               {sendText(500, "the server failed\n\n", false), 1, false},
		"500, events":       {sendText(500, offsetEvents(2, 4)+done, false, events), 1, false},
		"503, refused":      {sendText(503, "full\n\n", false, refusedHeader+": 1"), 1, false},
		"421":               {sendText(421, "", false), 1, false},
		"429":               {sendText(429, "{}\n\n", false), 1, false},
		"404":               {sendText(404, `{"error":{}}`+"\n\n", false, "Content-Type: application/json"), 1, false},
		"204":               {sendText(204, "", false, events), 1, false},
		"other type":        {sendText(200, offsetEvents(2, 4)+done, false, "Content-Type: text/plain"), 1, false},
		"encoded":           {sendText(200, offsetEvents(2, 4)+done, false, events, "Content-Encoding: br"), 1, false},
		"other attempt":     {sendText(200, offsetEvents(2, 4)+done, false, events, relay.AttemptHeader+": x"), 1, false},
		"error text within": {sendText(200, offsetEvents(2, 2)+"the server failed\n\n"+done, false, events), 2, false},
		"response within":   {sendText(200, offsetEvents(2, 2)+"HTTP/1.1 500 Failed\r\nX: y\r\n\r\nfailed\n\n"+done, false, events), 2, false},
	} {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %t", name, repeatable), func(t *testing.T) {
				c := qt.New(t)
				d := newScriptedDispatcher(t, sendText(200, offsetEvents(0, 1)+"id: 2\ndata: ev", true, events), test.next)
				recorder := httptest.NewRecorder()
				x := newExchange(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody), nil)
				x.Work.Repeatable = repeatable
				err := d.Handle(x)
				c.Assert(x.Started, qt.IsTrue)
				last, complete := test.last, test.complete
				if !repeatable {
					last, complete = 1, false
				}
				body, trailer := recorder.Body.String(), recorder.Result().Trailer.Get(outcome.Header)
				c.Assert(err == nil, qt.Equals, complete)
				if complete {
					c.Assert(body, qt.Equals, offsetEvents(0, last)+done)
					c.Assert(trailer, qt.Equals, outcome.Served.String())
					return
				}
				rest, found := strings.CutPrefix(body, offsetEvents(0, last)+"event: error\ndata: {")
				c.Assert(found, qt.IsTrue, qt.Commentf("%q", body))
				c.Assert(strings.Index(rest, "\n"), qt.Equals, len(rest)-2, qt.Commentf("%q", rest))
				c.Assert(trailer, qt.Equals, outcome.MayHaveRun.String())
			})
		}
	}
}

// onePeer is a Peers with one instance.
type onePeer struct{ addr string }

func (p onePeer) Peer(string) string { return p.addr }

// TestBrokenStreamIsNotContinuedByRefusalOfRegion guards against the text of another
// instance's refusal or failure within a stream that has begun here, and against its
// regular end. Streams of both formats are resumed in the other region.
func TestBrokenStreamIsNotContinuedByRefusalOfRegion(t *testing.T) {
	const events, trailer, served = "Content-Type: text/event-stream", http.TrailerPrefix + outcome.Header, "served"
	const refusal = `{"error":{"code":"overloaded","message":"full"}}`
	for name, test := range map[string]struct {
		peer     http.HandlerFunc
		last     int // last event that the caller receives
		complete bool
	}{
		"rest":                {sendText(200, offsetEvents(2, 3), false, events, trailer+": "+served), 3, true},
		"nothing, served":     {sendText(200, "", false, events, trailer+": "+served), 1, true},
		"rest, may have run":  {sendText(200, offsetEvents(2, 3), false, events, trailer+": may-have-run"), 3, false},
		"rest, aborted":       {sendText(200, offsetEvents(2, 3)+"id", true, events), 3, false},
		"head only":           {sendText(200, "", true, events), 1, false},
		"refusal":             {sendText(503, refusal, false, outcome.Header+": not-run"), 1, false},
		"refusal, no text":    {sendText(503, "", false, outcome.Header+": not-run"), 1, false},
		"failure":             {sendText(502, refusal+"\n\n", false, outcome.Header+": may-have-run"), 1, false},
		"failure, no outcome": {sendText(500, "failed\n\n", false), 1, false},
		"failure of a server": {sendText(500, "failed\n\n", false, outcome.Header+": "+served), 1, false},
		"from the start":      {sendText(200, offsetEvents(0, 3), false, events, trailer+": "+served), 1, false},
		"text within":         {sendText(200, offsetEvents(2, 2)+refusal+"\n\n", false, events, trailer+": "+served), 2, false},
	} {
		for _, passthrough := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, passthrough %t", name, passthrough), func(t *testing.T) {
				c := qt.New(t)
				peer := httptest.NewServer(test.peer)
				defer peer.Close()
				d := newScriptedDispatcher(t, nil, nil)
				d.Peers, d.Passthrough = onePeer{peer.Listener.Addr().String()}, passthrough
				recorder := httptest.NewRecorder()
				x := newExchange(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody), nil)
				callerResponse := &relay.CallerResponse{Writer: recorder, Passthrough: passthrough, Monotonic: passthrough, OnFirstByte: func() {}}
				broken := &http.Response{
					StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
					Body: io.NopCloser(strings.NewReader(offsetEvents(0, 1) + "id: 2\ndata: ev")),
				}
				c.Assert(d.relay(x, broken, callerResponse, "engine-0"), qt.IsNotNil)
				c.Assert(x.Started, qt.IsTrue)
				ctx, cancel := context.WithDeadline(t.Context(), x.Deadline)
				defer cancel()
				err, _ := d.forward(ctx, x, "alex", 1, callerResponse)
				c.Assert(x.Started, qt.IsTrue)
				c.Assert(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
				c.Assert(recorder.Body.String(), qt.Equals, offsetEvents(0, test.last))
			})
		}
	}
}
