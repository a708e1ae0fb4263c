// Package gateway serves HTTP: it wraps each request in an Exchange, passes it
// through the filter chain and writes an error response if the chain fails.
package gateway

import (
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Observer receives the start and the end of each request.
type Observer interface {
	// Begin is called when a request arrives. The returned function is called
	// when the request has ended, with its error or nil.
	Begin(x *filters.Exchange) (end func(err *outcome.Error))
	// Panicked is called when the chain has panicked with cause. started reports
	// whether the response had begun, so that its connection is reset.
	Panicked(x *filters.Exchange, cause any, stack []byte, started bool)
}

// Codec defines how request ids are read and how errors are encoded.
type Codec interface {
	// RequestID returns the id of a request.
	RequestID(r *http.Request) string
	// WriteError sends err as the response, which has not been started.
	WriteError(w http.ResponseWriter, err *outcome.Error, requestID string)
}

// defaultCodec is the Codec of the gateway's own API.
type defaultCodec struct{}

// RequestID implements Codec.
func (defaultCodec) RequestID(r *http.Request) string { return filters.RequestID(r) }

// ForwardedCodec is the Codec for requests that another instance forwards. Their ids have
// been checked by the codec of that instance and are kept as they are.
type ForwardedCodec struct{ defaultCodec }

// RequestID implements Codec.
func (ForwardedCodec) RequestID(r *http.Request) string {
	return r.Header.Get(outcome.RequestIDHeader)
}

// WriteError implements Codec.
func (defaultCodec) WriteError(w http.ResponseWriter, err *outcome.Error, requestID string) {
	err.Write(w, requestID)
}

// Handler serves requests through a chain.
type Handler struct {
	Chain    filters.Handler
	Observer Observer
	Codec    Codec // nil: the codec of the gateway's own API
	// AbortOnError makes the handler abort the connection if a response fails after
	// its start. If it is false, the connection is aborted only if
	// Exchange.ResetRequired is set: any other response reports the failure itself.
	AbortOnError bool
	// Acknowledge makes the handler send the interim status 102 at once, which
	// confirms to the sender that the instance has received the request.
	Acknowledge bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Acknowledge {
		w.WriteHeader(http.StatusProcessing)
	}
	codec := h.Codec
	if codec == nil {
		codec = defaultCodec{}
	}
	x := &filters.Exchange{Writer: &startWriter{ResponseWriter: w}, Request: r, ID: codec.RequestID(r), Received: time.Now()}
	end := h.Observer.Begin(x)
	err := h.runChain(x)
	if err != nil && !x.Started {
		if err.Status == 0 {
			err.Status = http.StatusInternalServerError
		}
		codec.WriteError(w, err, x.ID)
	}
	end(err)
	if err != nil && x.Started && (h.AbortOnError || x.ResetRequired) {
		resetUnframed(w, r)
		panic(http.ErrAbortHandler)
	}
}

// startWriter records whether the response has been started.
type startWriter struct {
	http.ResponseWriter
	started bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *startWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter. An invalid status panics and starts nothing.
func (w *startWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.started = w.started || status >= http.StatusOK
}

// Write implements http.ResponseWriter.
func (w *startWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// errPanicked is the cause of a request whose handling panicked.
var errPanicked = errors.New("panic while the request was handled")

// runChain runs the chain. A panic becomes an error: net/http would close the connection
// without a response.
func (h *Handler) runChain(x *filters.Exchange) (err *outcome.Error) {
	writer := x.Writer.(*startWriter)
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if abort, ok := cause.(error); ok && errors.Is(abort, http.ErrAbortHandler) {
			panic(cause)
		}
		h.Observer.Panicked(x, cause, debug.Stack(), writer.started)
		err = outcome.Fail(outcome.CodeInternal, errPanicked, "internal error")
		err.Status = http.StatusInternalServerError
		x.Writer, x.Started, x.ResetRequired = writer, writer.started, writer.started
		if !writer.started {
			discardHeader(writer.Header())
		}
	}()
	return h.Chain(x)
}

// discardHeader deletes the header of a response that is replaced, except for what
// applies to the connection.
func discardHeader(header http.Header) {
	maps.DeleteFunc(header, func(name string, _ []string) bool { return name != "Connection" })
}

// resetUnframed resets the connection if only its end shows the end of the response.
// A regular end, as after a panic, would make the response look complete.
func resetUnframed(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return // the response has chunks or a length
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
