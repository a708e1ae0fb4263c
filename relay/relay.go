// Package relay copies the response of a backend server, or of the instance that
// a request was forwarded to, to the caller. It distinguishes complete responses
// from truncated ones: a truncated response never looks complete to the caller.
package relay

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

const (
	maxBufferedBytes = 4 << 20 // largest response that is buffered until it is complete
	bufferChunkBytes = 32 << 10
	eventStreamType  = "text/event-stream"
)

// Result describes how the copying of a response ended.
type Result struct {
	Outcome outcome.Outcome // Served or MayHaveRun, or as stated in the trailer of another instance
	Started bool            // the caller's response has been started
	Bytes   int64           // body bytes sent to the caller
	Events  int             // events sent to the caller by all responses so far
	Err     error           // why the response is incomplete, or nil
	// CallerLost means that the caller receives nothing any more.
	CallerLost bool
	// NeedsReset means that the caller can detect the truncation only if its
	// connection is reset.
	NeedsReset bool
}

// Memory limits the memory of all buffered responses.
type Memory interface {
	// Reserve reserves bytes, or returns false if that would exceed the limit.
	Reserve(bytes int64) bool
	// Release releases reserved bytes.
	Release(bytes int64)
}

// AttemptHeader carries the id of an attempt to a backend server. If the server
// echoes it in the response, the gateway can reject a response that belongs to
// another attempt. A refusal without it counts only on a new connection.
const AttemptHeader = "Fuchsia-Attempt"

// VersionHeader carries the version of the backend server that sends a stream, from one
// instance to another.
const VersionHeader = "Fuchsia-Version"

// excludedHeaders are the response headers that are not copied: those that apply
// to a single connection, and those that the gateway sets itself.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, AttemptHeader: true, VersionHeader: true, outcome.Header: true,
}

// copyEndToEnd copies the end-to-end headers of a response.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !excludedHeaders[name] {
			to[name] = values
		}
	}
}

// CallerResponse is the response to one caller. It may be assembled from the
// responses of several backend servers, because a truncated stream can be resumed
// on another server.
type CallerResponse struct {
	Writer      http.ResponseWriter
	RequestID   string // for the header and for errors; "" keeps the header of the backend server
	LastEventID string // from the request of a caller that resumes a stream, or ""
	// OnEvent is called when an event of a stream has been sent; nil for none.
	OnEvent func()
	// OnFirstEvent is called before the first event of a stream is sent, with the header of
	// the response that it comes from; nil for none.
	OnFirstEvent func(header http.Header)
	OnFirstByte  func() // called before the first byte of the body is sent
	// Passthrough relays the response as the backend server sent it, without
	// gateway headers. As it carries no outcome, the connection must be reset if
	// the response is truncated.
	Passthrough bool
	// Memory limits buffered responses; nil for no limit.
	Memory Memory
	// Monotonic means that the event ids of streams increase, but are not
	// necessarily consecutive, and that a stream ends where its response ends,
	// whatever its events contain. Otherwise streams are chat completions.
	Monotonic bool

	sequencer    *stream.Sequencer
	headerSource *http.Response // response whose header the caller receives; nil once it has been sent
	started      bool           // the header of the caller's response has been sent
	streaming    bool           // the response is an event stream
	ended        bool           // nothing may be added to the response
	notResumable bool           // no other response can continue the stream
	bytesSent    int64          // bytes of the stream sent to the caller
	eventsSent   int            // events of the stream sent to the caller
}

// Copy sends resp to the caller, or the part of it that continues a stream that
// has been started.
func (r *CallerResponse) Copy(resp *http.Response) Result {
	if r.started {
		if r.ended || resp.StatusCode != http.StatusOK || !isEventStream(resp) {
			err := errors.Wrapf(errNotResumed, "status %d, content type %.100q", resp.StatusCode, resp.Header.Get("Content-Type"))
			if r.streaming {
				err = r.streamError(err)
			}
			return Result{Outcome: outcome.MayHaveRun, Started: true, Bytes: r.bytesSent, Events: r.eventsSent, Err: err}
		}
		return r.copyStream(resp)
	}
	if isEventStream(resp) && resp.StatusCode == http.StatusOK {
		return r.copyStream(resp)
	}
	return r.copyBuffered(resp)
}

// gatewayHeaderPrefix is the prefix of the gateway's own headers.
const gatewayHeaderPrefix = "Fuchsia-"

// copyHeader copies the header of resp to the caller's response. It must be called
// only when no other response can replace resp any more.
func (r *CallerResponse) copyHeader(resp *http.Response) {
	header := r.Writer.Header()
	copyEndToEnd(header, resp.Header)
	if r.RequestID != "" {
		header.Set(outcome.RequestIDHeader, r.RequestID)
	}
	if !r.Passthrough {
		return
	}
	for name := range header {
		if strings.HasPrefix(name, gatewayHeaderPrefix) {
			delete(header, name)
		}
	}
}

// isEventStream reports whether the body of resp is an event stream that can be
// decoded.
func isEventStream(resp *http.Response) bool {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	encoding := resp.Header.Get("Content-Encoding")
	return err == nil && media == eventStreamType && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// copyBuffered buffers the response until it is complete, so that a truncated
// response can still be replaced by an error. A response that is too large or for
// which no memory is left is relayed as it is received. If it is truncated, the
// caller's connection must be reset.
func (r *CallerResponse) copyBuffered(resp *http.Response) Result {
	prefix, complete, err := r.bufferPrefix(resp.Body)
	defer r.release(prefix)
	if err != nil {
		return Result{Outcome: outcome.MayHaveRun, Err: err}
	}
	r.OnFirstByte()
	r.copyHeader(resp)
	if !r.Passthrough {
		r.Writer.Header().Set(outcome.Header, outcome.Served.String())
	}
	if length := resp.Header.Get("Content-Length"); length != "" {
		r.Writer.Header().Set("Content-Length", length)
	}
	r.started, r.ended = true, true
	r.Writer.WriteHeader(resp.StatusCode)
	written, err := r.Writer.Write(prefix.bytes)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		err = nil
	}
	result := Result{Outcome: outcome.Served, Started: true, Bytes: int64(written), Err: err, CallerLost: err != nil}
	if err != nil || complete {
		return result
	}
	rest, err := io.Copy(r.Writer, resp.Body)
	result.Bytes += rest
	if err != nil {
		result.Outcome, result.Err, result.NeedsReset = outcome.MayHaveRun, err, true
	}
	return result
}

// bufferedPrefix is the beginning of a response that has not been sent yet.
type bufferedPrefix struct {
	bytes    []byte
	reserved int64 // bytes reserved from Memory
}

// bufferPrefix reads a response to its end, or until no more of it may be buffered.
func (r *CallerResponse) bufferPrefix(body io.Reader) (prefix bufferedPrefix, complete bool, err error) {
	var buffer bytes.Buffer
	for buffer.Len() < maxBufferedBytes {
		n, err := io.CopyN(&buffer, body, bufferChunkBytes)
		prefix.bytes = buffer.Bytes()
		if errors.Is(err, io.EOF) {
			return prefix, true, nil
		}
		if err != nil {
			return prefix, false, err
		}
		if r.Memory != nil && !r.Memory.Reserve(n) {
			return prefix, false, nil
		}
		prefix.reserved += n
	}
	return prefix, false, nil
}

func (r *CallerResponse) release(prefix bufferedPrefix) {
	if r.Memory != nil {
		r.Memory.Release(prefix.reserved)
	}
}
