// Package relay copies the answer of a backend server, or of the instance
// that a request was forwarded to, to the caller. It tells a whole answer from
// one that was cut: a cut answer never looks like a whole one to the caller.
package relay

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

const (
	maxWholeBytes   = 4 << 20 // largest answer that is held until it is whole
	holdPiece       = 32 << 10
	eventStreamType = "text/event-stream"
)

// Result tells how the copying ended.
type Result struct {
	Outcome outcome.Outcome // Served or MayHaveRun
	Started bool            // the caller's response has been started
	Bytes   int64           // bytes of the answer sent to the caller
	Err     error           // why the answer is not whole, or nil
	// Reset means that only a reset tells the caller that the answer is not whole.
	Reset bool
}

// Memory bounds what answers hold together.
type Memory interface {
	// Reserve takes some bytes, or reports false if they are not there.
	Reserve(bytes int64) bool
	// Return gives bytes back.
	Return(bytes int64)
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

// copyEndToEnd copies the end-to-end headers of an answer.
func copyEndToEnd(to, from http.Header) {
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
	// Direct passes the answer on as the backend server gave it, without the
	// outcome: an answer that is not whole cuts the connection.
	Direct bool
	// Memory is for what is held until it is whole; nil for no bound.
	Memory Memory
	// Monotonic streams have rising event ids, which need not follow each other.
	Monotonic bool

	sequencer *stream.Sequencer
	first     *http.Response // whose header the caller gets; nil once it was sent
	started   bool           // the caller's response has been started
	streaming bool           // a stream of events has begun
	ended     bool           // its end or an error event has been sent
	failed    bool           // no other answer can continue it
	bytes     int64
}

// Copy sends the answer resp, or the rest of it, to the caller.
func (a *Answer) Copy(resp *http.Response) Result {
	if a.started {
		if resp.StatusCode != http.StatusOK || !isEventStream(resp) {
			return Result{Outcome: outcome.MayHaveRun, Started: true, Bytes: a.bytes, Err: errNotResumed}
		}
		return a.copyStream(resp)
	}
	if isEventStream(resp) && resp.StatusCode == http.StatusOK {
		return a.copyStream(resp)
	}
	return a.copyWhole(resp)
}

// ownPrefix begins the headers of this system.
const ownPrefix = "Fuchsia-"

// copyHeader copies the header of the answer that the caller gets. It must be
// called once that answer is certain: no other one takes its place.
func (a *Answer) copyHeader(resp *http.Response) {
	header := a.Writer.Header()
	copyEndToEnd(header, resp.Header)
	if !a.Direct {
		header.Set(outcome.RequestIDHeader, a.RequestID)
		return
	}
	for name := range header {
		if strings.HasPrefix(name, ownPrefix) {
			delete(header, name)
		}
	}
}

func isEventStream(resp *http.Response) bool {
	return bytes.HasPrefix([]byte(resp.Header.Get("Content-Type")), []byte(eventStreamType))
}

// copyWhole holds the answer until it is whole, so that a cut answer can
// still become an error. A larger answer, or one for which there is no memory, is
// passed on as it comes, and a cut one resets the connection.
func (a *Answer) copyWhole(resp *http.Response) Result {
	beginning, whole, err := a.hold(resp.Body)
	defer a.release(beginning)
	if err != nil {
		return Result{Outcome: outcome.MayHaveRun, Err: err}
	}
	a.OnFirst()
	a.copyHeader(resp)
	if !a.Direct {
		a.Writer.Header().Set(outcome.Header, outcome.Served.String())
	}
	if length := resp.Header.Get("Content-Length"); length != "" && a.Direct {
		a.Writer.Header().Set("Content-Length", length)
	}
	a.Writer.WriteHeader(resp.StatusCode)
	written, err := a.Writer.Write(beginning.bytes)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		err = nil
	}
	result := Result{Outcome: outcome.Served, Started: true, Bytes: int64(written), Err: err}
	if err != nil || whole {
		return result
	}
	rest, err := io.Copy(a.Writer, resp.Body)
	result.Bytes += rest
	if err != nil {
		result.Outcome, result.Err, result.Reset = outcome.MayHaveRun, err, true
	}
	return result
}

// held is the beginning of an answer that has not been passed on.
type held struct {
	bytes    []byte
	reserved int64 // of Memory
}

// hold reads an answer to its end, or to where no more of it is held.
func (a *Answer) hold(body io.Reader) (h held, whole bool, err error) {
	var buffer bytes.Buffer
	for buffer.Len() < maxWholeBytes {
		n, err := io.CopyN(&buffer, body, holdPiece)
		h.bytes = buffer.Bytes()
		if errors.Is(err, io.EOF) {
			return h, true, nil
		}
		if err != nil {
			return h, false, err
		}
		if a.Memory != nil && !a.Memory.Reserve(n) {
			return h, false, nil
		}
		h.reserved += n
	}
	return h, false, nil
}

func (a *Answer) release(h held) {
	if a.Memory != nil {
		a.Memory.Return(h.reserved)
	}
}
