package dispatch

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errUnwritten is the cause of an unframed response that ends before its request has been
// written.
var errUnwritten = errors.New("response without a length ended before the request was written")

// wroteTimeout bounds how long the end of an unframed response waits for the report that
// its request was written. The report follows the last write at once, but the goroutine
// that writes may have to wait for a processor.
const wroteTimeout = 250 * time.Millisecond

// requestWrite is the writing of a request. The transport repeats it on another connection
// if the first one turns out to be closed.
type requestWrite struct {
	mu   sync.Mutex
	done chan struct{} // closed when err is set
	err  error
}

func (r *requestWrite) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.err = make(chan struct{}), nil
}

func (r *requestWrite) end(info httptrace.WroteRequestInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done == nil || isClosed(r.done) {
		return
	}
	r.err = info.Err
	close(r.done)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// check returns an error unless the whole request was written. A transport that does not
// report its connections does not report writes either.
func (r *requestWrite) check() error {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done == nil {
		return nil
	}
	timer := time.NewTimer(wroteTimeout)
	defer timer.Stop()
	select {
	case <-done:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.err
	case <-timer.C:
		return errUnwritten
	}
}

// unframedBody is a body that ends with its connection. If the connection is reset while
// the request is being written, the write may receive the error of the socket, and a read
// then reports a regular end.
type unframedBody struct {
	io.ReadCloser
	write *requestWrite
}

// guardUnframed lets the body of resp fail instead of ending regularly before the request
// was written, if nothing but its connection ends it.
func guardUnframed(req *http.Request, resp *http.Response, write *requestWrite) {
	if isUnframed(resp) && resp.StatusCode >= http.StatusOK && req.Method != http.MethodHead {
		resp.Body = &unframedBody{resp.Body, write}
	}
}

// isUnframed reports whether resp has neither a length nor chunks.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.write.check(); writeErr != nil {
			return n, errors.Wrap(writeErr, "end of unframed response")
		}
	}
	return n, err
}
