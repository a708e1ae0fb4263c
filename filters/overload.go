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

// shedRetryAfter is the shortest Retry-After of a shed request. Jitter of up to
// the same duration is added, so that requests shed together are not retried
// together.
const shedRetryAfter = time.Second

// shedReadTimeout limits the time for reading the rest of the body of a shed
// request.
const shedReadTimeout = time.Second

// errBodyMemoryFull is returned by the read that exceeds the memory limit of all
// request bodies.
var errBodyMemoryFull = errors.New("filters: no memory left for request bodies")

// Overload limits the requests in flight, the memory of their bodies, and the time
// for reading a body and for each write of a response. It is first in the chain,
// so that shedding a request costs little.
type Overload struct {
	Guard *overload.Guard
	// BodyTimeout limits the time in which the caller sends the body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time of each write of the response.
	WriteTimeout time.Duration
	Observer     AdmissionObserver
}

// Name implements Filter.
func (Overload) Name() string { return "overload" }

// Handle implements Filter.
func (f Overload) Handle(x *Exchange, next Handler) *outcome.Error {
	if reason := f.Guard.StartRequest(); reason != "" {
		closeAfterResponse(x)
		return shed(x, f.Observer, f.Name(), reason)
	}
	defer f.Guard.EndRequest()
	controller := http.NewResponseController(x.Writer)
	x.Writer = &timeoutWriter{ResponseWriter: x.Writer, controller: controller, timeout: f.WriteTimeout}
	if x.Request.Body == nil || x.Request.Body == http.NoBody {
		return next(x)
	}
	body := &countedBody{ReadCloser: x.Request.Body, guard: f.Guard}
	defer body.release()
	x.Request.Body = body
	// Not every ResponseWriter supports deadlines. That of the HTTP server does,
	// and the server clears this deadline once it has read the body.
	_ = controller.SetReadDeadline(time.Now().Add(f.BodyTimeout))
	err := next(x)
	if err != nil && errors.Is(err, errBodyMemoryFull) {
		closeAfterResponse(x)
		return shed(x, f.Observer, f.Name(), overload.ReasonBodyBytes)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !body.complete {
		refusal := outcome.Refuse(http.StatusRequestTimeout, outcome.CodeBadRequest, "the body was not sent within %v", f.BodyTimeout)
		f.Observer.Refused(x, f.Name(), "slow_body", refusal)
		return refusal
	}
	return err
}

// closeAfterResponse makes the server respond at once and close the connection.
// On a connection that stays open, the server would first read the rest of the
// body, however slowly the caller sends it. Data that arrives within
// shedReadTimeout is still read, because closing a connection with unread data
// can prevent the caller from receiving the response.
func closeAfterResponse(x *Exchange) {
	x.Writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.Writer).SetReadDeadline(time.Now().Add(shedReadTimeout))
}

// countedBody reserves memory of the guard for each part of a body that is read.
type countedBody struct {
	io.ReadCloser
	guard    *overload.Guard
	reserved int64
	complete bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.guard.Reserve(int64(n)) {
			return 0, errBodyMemoryFull
		}
		b.reserved += int64(n)
	}
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

func (b *countedBody) release() { b.guard.Release(b.reserved) }

// timeoutWriter sets a deadline for each write of the response, so that a caller
// that does not read cannot hold the request indefinitely.
type timeoutWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// Unwrap lets http.ResponseController reach the connection.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *timeoutWriter) Write(p []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Shed refuses batch work when the instance is close to its limits. It must come
// after the filters that set the Exchange's Work, which has the rank.
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
	retryAfter := shedRetryAfter + time.Duration(rand.Int64N(int64(shedRetryAfter)))
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "this instance is at its bound of %s", reason)
	observer.Refused(x, filter, string(reason), refusal.WithRetryAfter(retryAfter))
	return refusal
}
