package filters

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/overload"
)

// shedRetryAfter is the Retry-After of a shed request, before jitter of up to
// the same time, so that the requests shed together do not return together.
const shedRetryAfter = time.Second

// shedLinger bounds the time in which the rest of a shed body is read.
const shedLinger = time.Second

// errNoMemory ends the reading of a body that exceeds the memory for bodies.
var errNoMemory = errors.New("filters: no memory left for request bodies")

// Overload bounds what the instance holds. It stands first in the chain, so
// that a shed request costs next to nothing.
type Overload struct {
	Guard *overload.Guard
	// BodyTimeout bounds the time in which a caller sends its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes one piece of the
	// answer.
	WriteTimeout time.Duration
	Observer     AdmissionObserver
}

// Name implements Filter.
func (Overload) Name() string { return "overload" }

// Handle implements Filter.
func (f Overload) Handle(x *Exchange, next Handler) *outcome.Error {
	if reason := f.Guard.Enter(); reason != "" {
		closeAfterAnswer(x)
		return shed(x, f.Observer, f.Name(), reason)
	}
	defer f.Guard.Leave()
	control := http.NewResponseController(x.Writer)
	x.Writer = &boundWriter{ResponseWriter: x.Writer, control: control, timeout: f.WriteTimeout}
	if x.Request.Body == nil || x.Request.Body == http.NoBody {
		return next(x)
	}
	body := &boundBody{ReadCloser: x.Request.Body, guard: f.Guard}
	defer body.release()
	x.Request.Body = body
	// Not every writer has deadlines; those of the HTTP server do, and it ends
	// this one itself once it has read the body.
	_ = control.SetReadDeadline(time.Now().Add(f.BodyTimeout))
	err := next(x)
	if err != nil && errors.Is(err, errNoMemory) {
		closeAfterAnswer(x)
		return shed(x, f.Observer, f.Name(), overload.BodyBytes)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !body.whole {
		slow := outcome.Refuse(http.StatusRequestTimeout, outcome.CodeBadRequest, "the body was not sent within %v", f.BodyTimeout)
		f.Observer.Refused(x, f.Name(), "slow_body", slow)
		return slow
	}
	return err
}

// closeAfterAnswer lets the server answer at once. On a connection that stays
// open it first reads the rest of the body, as slowly as the caller sends it.
// What a caller sends within shedLinger is still read, as closing a connection
// with unread data may take the answer from the caller.
func closeAfterAnswer(x *Exchange) {
	x.Writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.Writer).SetReadDeadline(time.Now().Add(shedLinger))
}

// boundBody counts the memory of a body while it is read.
type boundBody struct {
	io.ReadCloser
	guard *overload.Guard
	held  int64
	whole bool
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.guard.Reserve(int64(n)) {
			return 0, errNoMemory
		}
		b.held += int64(n)
	}
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

func (b *boundBody) release() { b.guard.Return(b.held) }

// boundWriter gives each write of the answer a deadline, so that a caller that
// does not read holds the request for a bounded time.
type boundWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Unwrap lets http.ResponseController reach the connection.
func (w *boundWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *boundWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Shed refuses batch work when the instance is nearly full. It stands after
// the filters that find the rank.
type Shed struct {
	Guard    *overload.Guard
	Observer AdmissionObserver
}

// Name implements Filter.
func (Shed) Name() string { return "shed" }

// Handle implements Filter.
func (f Shed) Handle(x *Exchange, next Handler) *outcome.Error {
	if reason := f.Guard.Check(x.Work.Rank); reason != "" {
		return shed(x, f.Observer, f.Name(), reason)
	}
	return next(x)
}

func shed(x *Exchange, observer AdmissionObserver, filter string, reason overload.Reason) *outcome.Error {
	retry := shedRetryAfter + time.Duration(rand.Int64N(int64(shedRetryAfter)))
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "this instance is at its bound of %s", reason)
	observer.Refused(x, filter, string(reason), refusal.WithRetryAfter(retry))
	return refusal
}
