// Package relay copies the answer of a backend server, or of the instance
// that a request was forwarded to, to the caller. It tells a whole answer from
// one that was cut: a cut answer never looks like a whole one to the caller.
package relay

import (
	"bytes"
	"io"
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

const (
	maxWholeBytes   = 4 << 20 // largest answer that is held until it is whole
	eventStreamType = "text/event-stream"
)

// Result tells how the copying ended.
type Result struct {
	Outcome outcome.Outcome // Served or MayHaveRun
	Started bool            // the caller's response has been started
	Bytes   int64           // bytes of the answer sent to the caller
	Err     error           // why the answer is not whole, or nil
}

// AttemptHeader carries the id of an attempt to a backend server. A server that
// returns it in its answer lets the gateway refuse the answer to another
// attempt.
const AttemptHeader = "Fuchsia-Attempt"

// hopByHop are the headers that are not copied.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, AttemptHeader: true, outcome.Header: true, outcome.RequestIDHeader: true,
}

// CopyHeader copies the end-to-end headers of an answer.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
}

// Answer is what one caller receives. Several answers of backend servers may
// make it up: a stream that was cut can be resumed by the next one.
type Answer struct {
	Writer      http.ResponseWriter
	RequestID   string
	LastEventID string // of the caller's request, who resumes a stream itself
	OnFirst     func() // called before the first byte of the body is sent

	sequencer *stream.Sequencer
	started   bool // the caller's response has been started
	streaming bool // it is a stream of events
	ended     bool // its end or an error event has been sent
	failed    bool // no other answer can continue it
	bytes     int64
}

// Copy sends the answer resp, or the rest of it, to the caller.
func (a *Answer) Copy(resp *http.Response) Result {
	if a.streaming {
		if resp.StatusCode != http.StatusOK || !isEventStream(resp) {
			return Result{Outcome: outcome.MayHaveRun, Started: true, Bytes: a.bytes, Err: errNotResumed}
		}
		return a.copyStream(resp)
	}
	CopyHeader(a.Writer.Header(), resp.Header)
	a.Writer.Header().Set(outcome.RequestIDHeader, a.RequestID)
	if isEventStream(resp) {
		return a.copyStream(resp)
	}
	return copyWhole(a.Writer, resp, a.OnFirst)
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
