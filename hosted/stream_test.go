package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
)

// answer is what a scripted backend server sends before it ends the connection.
type answer struct {
	text  string // REQUEST stands for the id of the request
	reset bool   // the connection is reset, not closed
}

// scriptedBackend sends raw answers to requests: one to those that do not resume a
// stream, and another to those that do.
type scriptedBackend struct{ first, next answer }

func (b scriptedBackend) respond(conn net.Conn, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	a := b.first
	if req.Header.Get("Last-Event-Id") != "" {
		a = b.next
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(a.text, "REQUEST", req.Header.Get("Request-Id"))); err != nil {
		return
	}
	if a.reset {
		time.Sleep(50 * time.Millisecond) // the instance reads the text before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// startScriptedServers starts two backend servers with the same script.
func (f *fleet) startScriptedServers(b scriptedBackend, service, zone string) {
	for range 2 {
		f.startRawServer(service, zone, b.respond)
	}
}

const (
	streamHead  = responseHead + "Content-Type: text/event-stream\r\n"
	unframed    = streamHead + "\r\n"
	chunkedHead = streamHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk   = "0\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamEvents returns the events with the ids first to last.
func streamEvents(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", id, id)
	}
	return text.String()
}

// failure returns a response that is no stream.
func failure(status, header, body string) string {
	return "HTTP/1.1 " + status + "\r\nConnection: close\r\nRequest-Id: REQUEST\r\n" + header + "Content-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
}

// brokenStreams are the first answers of the tests below. Each breaks off after the
// event 2.
var brokenStreams = map[string]answer{
	"chunks cut within an event": {chunkedHead + chunk(streamEvents(1, 2)) + chunk("id: 3\nda"), false},
	"closed within an event":     {unframed + streamEvents(1, 2) + "id: 3\nda", false},
	"closed within an id":        {unframed + streamEvents(1, 2) + "id: 3", false},
	"closed within a line end":   {unframed + streamEvents(1, 2) + "id: 3\r\ndata: event 3\r\n\r", false},
	"reset after an event":       {unframed + streamEvents(1, 2), true},
	"error text within":          {unframed + streamEvents(1, 2) + "the server failed\n\n", false},
	"response within":            {chunkedHead + chunk(streamEvents(1, 2)+"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nfailed\n") + lastChunk, false},
}

// nextAnswers are the answers to the request that resumes the stream after event 2.
// The caller's stream ends after the event last, complete or not.
var nextAnswers = map[string]struct {
	answer
	last     int
	complete bool
}{
	"rest":                    {answer{chunkedHead + chunk(streamEvents(3, 5)) + lastChunk, false}, 5, true},
	"rest, unframed":          {answer{unframed + streamEvents(3, 5), false}, 5, true},
	"interim response":        {answer{"HTTP/1.1 102 Processing\r\n\r\n" + unframed + streamEvents(3, 5), false}, 5, true},
	"rest, reset":             {answer{unframed + streamEvents(3, 5), true}, 5, false},
	"cut again":               {answer{unframed + streamEvents(3, 4) + "id: 5\n", false}, 4, false},
	"from the start":          {answer{unframed + streamEvents(1, 5), false}, 2, false},
	"a later event":           {answer{unframed + streamEvents(4, 5), false}, 2, false},
	"no ids":                  {answer{unframed + "data: x\n\n", false}, 2, false},
	"nothing, unframed":       {answer{unframed, false}, 2, false},
	"no response":             {answer{}, 2, false},
	"500":                     {answer{failure("500 Internal Server Error", "Content-Type: text/plain\r\n", "the server failed"), false}, 2, false},
	"500, empty line":         {answer{failure("500 Internal Server Error", "", "failed\n\n"), false}, 2, false},
	"500, unframed":           {answer{"HTTP/1.1 500 Failed\r\nRequest-Id: REQUEST\r\n\r\nfailed\n\n", false}, 2, false},
	"500, events":             {answer{failure("500 Failed", "Content-Type: text/event-stream\r\n", streamEvents(3, 5)), false}, 2, false},
	"503, not executed":       {answer{failure("503 Service Unavailable", "Not-Executed: 1\r\n", "full\n\n"), false}, 2, false},
	"421":                     {answer{failure("421 Misdirected Request", "Instance: i-x\r\n", ""), false}, 2, false},
	"429":                     {answer{failure("429 Too Many Requests", "Not-Executed: 1\r\n", "{}\n\n"), false}, 2, false},
	"400":                     {answer{failure("400 Bad Request", "", "bad\n\n"), false}, 2, false},
	"404":                     {answer{failure("404 Not Found", "Content-Type: application/json\r\n", `{"error":"none"}`+"\n\n"), false}, 2, false},
	"204":                     {answer{"HTTP/1.1 204 No Content\r\nRequest-Id: REQUEST\r\nContent-Type: text/event-stream\r\n\r\n", false}, 2, false},
	"304":                     {answer{"HTTP/1.1 304 Not Modified\r\nRequest-Id: REQUEST\r\nContent-Type: text/event-stream\r\n\r\n", false}, 2, false},
	"other type":              {answer{failure("200 OK", "Content-Type: text/plain\r\n", streamEvents(3, 5)), false}, 2, false},
	"encoded":                 {answer{failure("200 OK", "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n", streamEvents(3, 5)), false}, 2, false},
	"other request":           {answer{strings.ReplaceAll(unframed, "REQUEST", "id-x") + streamEvents(3, 5), false}, 2, false},
	"error text in the rest":  {answer{unframed + streamEvents(3, 3) + "the server failed\n\n", false}, 3, false},
	"response in the rest":    {answer{unframed + streamEvents(3, 3) + failure("500 Failed", "", "failed\n\n"), false}, 3, false},
	"response instead of one": {answer{"failed\n\n", false}, 2, false},
}

// protocols are the kinds of callers.
var protocols = map[string]string{
	"1.1": "HTTP/1.1\r\n", "1.1 close": "HTTP/1.1\r\nConnection: close\r\n", "1.0": "HTTP/1.0\r\n",
}

const resumableStream = "resumable stream"

// streamCase is a route with servers of its own.
type streamCase struct {
	name, service string
	protocol      string // rest of the request's first line
	kind          string // of the route; resumableStream for a stream that may be resumed
	backend       scriptedBackend
	want          string // body
	complete      bool
}

func newStreamCases() []streamCase {
	var cases []streamCase
	addText := func(name string, resumable bool, b scriptedBackend, want string, complete bool) {
		kind := "stream"
		if resumable {
			kind = resumableStream
		}
		for version, protocol := range protocols {
			cases = append(cases, streamCase{
				name: name + ", " + version, service: fmt.Sprintf("drafts-%d", len(cases)), protocol: protocol,
				kind: kind, backend: b, want: want, complete: complete,
			})
		}
	}
	add := func(name string, resumable bool, b scriptedBackend, last int, complete bool) {
		addText(name, resumable, b, streamEvents(1, last), complete)
	}
	for name, first := range brokenStreams {
		add(name+", rest", true, scriptedBackend{first, nextAnswers["rest"].answer}, 5, true)
		add(name+", not resumable", false, scriptedBackend{first, nextAnswers["rest"].answer}, 2, false)
	}
	for name, next := range nextAnswers {
		add("then "+name, true, scriptedBackend{brokenStreams["closed within an event"], next.answer}, next.last, next.complete)
	}
	add("whole, unframed", false, scriptedBackend{first: answer{unframed + streamEvents(1, 5), false}}, 5, true)
	for name, event := range chatMarkers {
		begin, rest := streamEvents(1, 2)+event, streamEvents(4, 5)
		cut := answer{chunkedHead + chunk(begin+"id: 4\nda"), false}
		next := answer{chunkedHead + chunk(rest) + lastChunk, false}
		addText(name, false, scriptedBackend{first: answer{unframed + begin + rest, false}}, begin+rest, true)
		addText(name+", cut later, resumed", true, scriptedBackend{cut, next}, begin+rest, true)
		addText(name+", cut later", false, scriptedBackend{cut, next}, begin, false)
		addText(name+", reset at once", false, scriptedBackend{first: answer{unframed + begin, true}}, begin, false)
	}
	return cases
}

// chatMarkers are events with the id 3 that end a stream of the chat completions API.
// On the platform they are events like any other.
var chatMarkers = map[string]string{
	"end marker":      "id: 3\ndata: [DONE]\n\n",
	"end marker last": "data: [DONE]\nid: 3\n\n",
	"error event":     "id: 3\nevent: error\ndata: {}\n\n",
}

// configureServices writes a configuration with a route and a service for each case.
func (f *fleet) configureServices(cases []streamCase) {
	var routes, services []any
	for _, test := range cases {
		r := newRoute(test.service, test.kind, test.service)
		if test.kind == resumableStream {
			r.Type, r.Resumable = "stream", true
		}
		routes = append(routes, r)
		services = append(services, map[string]any{"name": test.service, "health-path": "/healthz"})
	}
	data, err := json.Marshal(map[string]any{"version": 1, "routes": routes, "services": services, "limits": map[string]any{"max-body-bytes": 1 << 20}})
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ConfigKey, string(data))
}

// TestBrokenStreamIsNeverMixed guards against streams that have begun and broke off,
// and whose caller finds a part of an event, another answer's text or a regular end
// after that, and against streams that end as complete after an event in which another
// API marks its end. Each stream is served by this region or by another one, for callers
// of both versions of HTTP/1. It doesn't run beside tests with large responses: the
// instances of a process share its heap, and shed requests when that is full.
func TestBrokenStreamIsNeverMixed(t *testing.T) {
	for name, zone := range map[string]string{"own region": "cairo-a", "other region": "alex-a"} {
		t.Run(name, func(t *testing.T) {
			cases := newStreamCases()
			n := newFleet(t).startCases(cases, zone)
			for _, test := range cases {
				t.Run(test.name, func(t *testing.T) {
					c := qt.New(t)
					body, err := n.sendRaw(test.service, test.protocol)
					c.Assert(body, qt.Equals, test.want, qt.Commentf("%v", err))
					c.Assert(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
				})
			}
		})
	}
}

// sendRaw sends a request with the rest of its first line and returns the body of a
// successful response, and an error if the body is incomplete or there is none.
func (n *testInstance) sendRaw(service, protocol string) (body string, err error) {
	resp, err := n.exchangeRaw("POST /" + service + "/ " + protocol + "Host: " + host + "\r\nRequest-Id: id-1\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return string(text), err
}

// TestUnframedResponse guards against a response without a length or chunks that is
// changed, or that looks complete to its caller although its connection was reset. A
// large response may have been relayed in part when that happens. It doesn't run beside
// other tests with large responses, as the instances share the heap.
func TestUnframedResponse(t *testing.T) {
	const head = responseHead + "\r\n"
	small, large := strings.Repeat("line\n\n", 100), strings.Repeat("0123456789abcdef", 6<<20/16)
	var cases []streamCase
	for name, test := range map[string]struct {
		backend  answer
		want     string // nothing of an incomplete response is relayed if it is empty
		complete bool
	}{
		"small":        {answer{head + small, false}, small, true},
		"large":        {answer{head + large, false}, large, true},
		"empty":        {answer{head, false}, "", true},
		"small, reset": {answer{head + small, true}, "", false},
		"large, reset": {answer{head + large, true}, large, false},
	} {
		for version, protocol := range protocols {
			cases = append(cases, streamCase{
				name: name + ", " + version, service: fmt.Sprintf("orders-%d", len(cases)), protocol: protocol,
				kind: "stream", backend: scriptedBackend{first: test.backend}, want: test.want, complete: test.complete,
			})
		}
	}
	n := newFleet(t).startCases(cases, "cairo-a")
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			body, err := n.sendRaw(test.service, test.protocol)
			c.Assert(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
			if test.complete {
				c.Assert(body == test.want, qt.IsTrue, qt.Commentf("%d bytes, want %d", len(body), len(test.want)))
			} else if test.want != "" {
				c.Assert(strings.HasPrefix(test.want, body), qt.IsTrue, qt.Commentf("%d bytes are no part of the response", len(body)))
			}
		})
	}
}
