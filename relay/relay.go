// Package relay copies the answer of a backend server, or of the instance
// that a request was forwarded to, to the caller. It tells a whole answer from
// one that was cut: a cut answer never looks like a whole one to the caller.
package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

const (
	bufferBytes     = 16 << 10 // one read of an answer
	maxWholeBytes   = 4 << 20  // largest answer that is held until it is whole
	eventStreamType = "text/event-stream"
)

// doneMarker ends the event stream of a whole chat completion.
var doneMarker = []byte("data: [DONE]")

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Result tells how the copying ended.
type Result struct {
	Outcome outcome.Outcome // Served or MayHaveRun
	Started bool            // the caller's response has been started
	Bytes   int64           // bytes of the answer sent to the caller
	Err     error           // why the answer is not whole, or nil
}

// hopByHop are the headers that are not copied.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, outcome.Header: true, outcome.RequestIDHeader: true,
}

// CopyHeader copies the end-to-end headers of an answer.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
}

// Copy sends the answer resp to w. onFirst is called before the first byte of
// the answer's body is sent.
func Copy(w http.ResponseWriter, resp *http.Response, requestID string, onFirst func()) Result {
	CopyHeader(w.Header(), resp.Header)
	w.Header().Set(outcome.RequestIDHeader, requestID)
	if isEventStream(resp) {
		return copyStream(w, resp, requestID, onFirst)
	}
	return copyWhole(w, resp, onFirst)
}

func isEventStream(resp *http.Response) bool {
	return bytes.HasPrefix([]byte(resp.Header.Get("Content-Type")), []byte(eventStreamType))
}

// copyWhole holds the answer until it is whole, so that a cut answer can
// still become an error. A larger answer is streamed, and a cut one resets
// the connection.
func copyWhole(w http.ResponseWriter, resp *http.Response, onFirst func()) Result {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes))
	if err != nil {
		return Result{Outcome: outcome.MayHaveRun, Err: err}
	}
	onFirst()
	w.Header().Set(outcome.Header, outcome.Served.String())
	w.WriteHeader(resp.StatusCode)
	written, err := w.Write(head)
	result := Result{Outcome: outcome.Served, Started: true, Bytes: int64(written), Err: err}
	if err != nil || len(head) < maxWholeBytes {
		return result
	}
	rest, err := io.Copy(w, resp.Body)
	result.Bytes += rest
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return result
}

// copyStream forwards events as they arrive. The outcome of a stream is in
// its trailer; a cut stream ends with an error event.
func copyStream(w http.ResponseWriter, resp *http.Response, requestID string, onFirst func()) Result {
	w.Header().Set("Trailer", outcome.Header)
	w.WriteHeader(resp.StatusCode)
	result := Result{Started: true}
	tail := tail{}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, readErr := resp.Body.Read(buffer[:])
		if n > 0 {
			if result.Bytes == 0 {
				onFirst()
			}
			tail.add(buffer[:n])
			result.Bytes += int64(n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return finishStream(w, result, outcome.MayHaveRun, err)
			}
			_ = controller.Flush()
		}
		if readErr == nil {
			continue
		}
		if readErr == io.EOF && tail.done() {
			return finishStream(w, result, outcome.Served, nil)
		}
		if readErr == io.EOF && resp.Trailer.Get(outcome.Header) != "" {
			return finishStream(w, result, outcome.Parse(resp.Trailer.Get(outcome.Header)), nil)
		}
		writeErrorEvent(w, requestID)
		return finishStream(w, result, outcome.MayHaveRun, readErr)
	}
}

func finishStream(w http.ResponseWriter, result Result, o outcome.Outcome, err error) Result {
	w.Header().Set(outcome.Header, o.String())
	result.Outcome = o
	result.Err = err
	return result
}

// writeErrorEvent ends a cut stream in the form that clients of the OpenAI
// API report as an error.
func writeErrorEvent(w io.Writer, requestID string) {
	failure := outcome.Fail(outcome.CodeBackendFailed, nil, "the answer was cut before its end")
	body, err := json.Marshal(failure.Body(requestID))
	if err != nil {
		panic("relay: error body cannot be encoded: " + err.Error())
	}
	_, _ = w.Write([]byte("\n\nevent: error\ndata: "))
	_, _ = w.Write(body)
	_, _ = w.Write([]byte("\n\n"))
}

// tailBytes is enough for the end marker with its line ends.
const tailBytes = 32

// tail keeps the last bytes of a stream.
type tail struct {
	data [tailBytes]byte
	size int
}

func (t *tail) add(p []byte) {
	if len(p) >= tailBytes {
		t.size = copy(t.data[:], p[len(p)-tailBytes:])
		return
	}
	keep := min(t.size, tailBytes-len(p))
	copy(t.data[:], t.data[t.size-keep:t.size])
	t.size = keep + copy(t.data[keep:], p)
}

func (t *tail) done() bool {
	return bytes.HasSuffix(bytes.TrimRight(t.data[:t.size], "\r\n"), doneMarker)
}
