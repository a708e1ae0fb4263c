// Package dispatch sends a request to the backend server or to the region
// that routing chose, tries again where that is safe, and relays the answer.
package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// refusedRetryAfter is what callers are told if the last backend server that
// was asked has no room. Slots are held for about as long.
const refusedRetryAfter = 200 * time.Millisecond

// DefaultMaxAnswerBytes is well above the largest answer of a model or a plain
// service.
const DefaultMaxAnswerBytes = 16 << 20

// MaxAnswerHeadBytes bounds the header of an answer. It is for the transport of a
// Dispatcher.
const MaxAnswerHeadBytes = 64 << 10

// errTooLarge is the cause of an answer whose body exceeds MaxAnswerBytes.
var errTooLarge = errors.New("the answer is larger than the bound")

// errOtherAttempt is the cause of an answer that carries another attempt's id.
var errOtherAttempt = errors.New("the answer belongs to another attempt")

// errNotBegun cancels a request whose caller has left, as its stream did not
// begin in time. It does not depend on the close of the caller's connection,
// which may be late or lost on the way.
var errNotBegun = errors.New("the stream did not begin before its caller left")

// Peers finds instances of other regions.
type Peers interface {
	// Peer returns the host:port of an instance in region for other instances,
	// or "".
	Peer(region string) string
}

// Observer is told of decisions and attempts.
type Observer interface {
	// Decided is called once for each routing decision.
	Decided(x *filters.Exchange, attempt int, d routing.Decision)
	// FirstByte is called when the answer begins.
	FirstByte(x *filters.Exchange)
	// Attempted is called at the end of each attempt.
	Attempted(x *filters.Exchange, attempt int, d routing.Decision, o outcome.Outcome, err error)
	// Retried is called after each failed attempt.
	Retried(x *filters.Exchange, attempt int, v retry.Verdict)
	// Suspected is called when the state of a digest matters to a request.
	// server is the id of the backend server that crashed, or "".
	Suspected(x *filters.Exchange, digest quarantine.Digest, state quarantine.State, server string)
	// Ejected is called when a backend server is ejected or let back in.
	Ejected(e routing.Ejection)
}

// Dispatcher is the last step of the filter chain.
type Dispatcher struct {
	Instance  string // id of this instance
	Region    string
	Router    *routing.Router
	Peers     Peers
	Transport http.RoundTripper
	// PeerScheme is "https" with mutual TLS, or "http" in development.
	PeerScheme string
	Observer   Observer
	// Protocol is what the backend servers speak; nil for the product's own.
	Protocol Protocol
	// Direct answers reach the caller as the backend server gave them.
	Direct bool

	Retry      *retry.Policy
	Ejector    *routing.Ejector    // nil for none
	Quarantine *quarantine.Table   // nil for none
	DigestKey  quarantine.Key      // of the digests in Quarantine
	Link       *routing.LinkBudget // nil for no cap on the links between regions
	Memory     relay.Memory        // for answers that are held until they are whole; nil for no bound
	// MaxAnswerBytes bounds the body of an answer. A larger one counts as without
	// end, and is cut. 0 stands for DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Dial tells whether a backend server accepts connections; nil for TCP.
	Dial func(ctx context.Context, addr string) error
	// OwnerURL returns the URL for callers of the instance, or of one in the
	// region, that examines a suspect; "" if unknown. Nil for none.
	OwnerURL func(owner string) string
}

// Handle implements filters.Handler.
func (d *Dispatcher) Handle(x *filters.Exchange) *outcome.Error {
	ctx, cancel := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer cancel()
	ctx, began := untilBegun(ctx, x.FirstBy)
	defer began()
	r := &run{Dispatcher: d, ctx: ctx, x: x, req: RouteRequest(x), answer: &relay.Answer{
		Writer: x.Writer, RequestID: x.ID, LastEventID: x.Request.Header.Get("Last-Event-ID"),
		Direct: d.Direct && x.Hop == nil, Monotonic: d.Direct, Memory: d.Memory,
		OnFirst: func() { began(); d.Observer.FirstByte(x) },
	}}
	r.suspect.run = r
	return r.attempts()
}

// untilBegun returns a context that is canceled at a time, if began has not been
// called before. A zero time stands for never.
func untilBegun(ctx context.Context, at time.Time) (_ context.Context, began func()) {
	if at.IsZero() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(at), func() { cancel(errNotBegun) })
	return ctx, func() { timer.Stop() }
}

// RouteRequest returns what routing needs to know of a request.
func RouteRequest(x *filters.Exchange) *routing.Request {
	return &routing.Request{
		ID:           x.ID,
		Service:      x.Service,
		Work:         x.Work,
		Caller:       x.Caller,
		Received:     x.Received,
		Deadline:     x.Deadline,
		BodyBytes:    len(x.Body),
		PromptTokens: x.PromptTokens,
		Prefix:       x.Prefix,
		PrefixTokens: x.PrefixTokens,
		Shared:       x.Shared,
		Forwarded:    x.Hop != nil,
		NoSlot:       x.NoSlot,
		Tried:        make(map[string]bool),
	}
}

func (d *Dispatcher) maxAnswerBytes() int64 {
	if d.MaxAnswerBytes > 0 {
		return d.MaxAnswerBytes
	}
	return DefaultMaxAnswerBytes
}

// exchange sends the request to a backend server and relays the answer.
func (d *Dispatcher) exchange(ctx context.Context, x *filters.Exchange, server *backend.Server, w *watch) *outcome.Error {
	req, err := newRequest(w.trace(ctx), x, "http", server.Addr)
	if err != nil {
		return badPath(err)
	}
	attempt := Attempt{Exchange: x, Server: server, ID: uuid.NewString(), Remaining: time.Until(x.Deadline), FetchFrom: w.fetchFrom}
	d.protocol().Request(req.Header, attempt)
	w.run.answer.SetResume(req.Header)
	resp, failure := d.send(req)
	if failure != nil {
		return failure
	}
	w.header(resp)
	defer resp.Body.Close()
	if resp.ContentLength > d.maxAnswerBytes() && req.Method != http.MethodHead {
		return outcome.Fail(outcome.CodeBackendFailed, errTooLarge, "the answer is too large")
	}
	answer := d.protocol().Answer(attempt, resp)
	answer.learn(server)
	switch {
	case answer.Foreign:
		return outcome.Fail(outcome.CodeBackendFailed, errOtherAttempt, "the backend server answered another request")
	case answer.Refused:
		w.refused = true
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeBackendRefused, "the backend server refused the request").WithRetryAfter(refusedRetryAfter)
	case answer.Failed && w.run.mayRepeat():
		return w.run.hold(resp)
	}
	return d.relay(x, resp, w.run.answer)
}

// toRegion sends the request to an instance of another region, after a number
// of runs. It reports
// whether that instance answered at all.
func (d *Dispatcher) toRegion(ctx context.Context, x *filters.Exchange, region string, runs int, answer *relay.Answer) (err *outcome.Error, answered bool) {
	if x.Hop != nil || !x.Service.Permits(x.Work, region) {
		panic("dispatch: request must not be forwarded to " + region)
	}
	addr := d.Peers.Peer(region)
	if addr == "" {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoBackend, "no instance of region %s is known", region), false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, invalid := newRequest(ctx, x, d.PeerScheme, addr)
	if invalid != nil {
		return badPath(invalid), true
	}
	CopyEndToEnd(req.Header, x.Request.Header)
	if !d.Direct {
		req.Header.Del("Authorization")
	}
	d.setHop(req.Header, x)
	if x.Work.MaxServers > 0 {
		req.Header.Set(filters.HopRunsHeader, strconv.Itoa(max(x.Work.MaxServers-runs, 1)))
	}
	answer.SetResume(req.Header)
	ack := newAckTimer(cancel)
	defer ack.stop()
	resp, failure := d.send(req.WithContext(ack.attach(ctx)))
	if failure != nil {
		return ack.explain(failure), false
	}
	defer resp.Body.Close()
	if o := outcome.Parse(resp.Header.Get(outcome.Header)); o != outcome.Unknown && o != outcome.Served {
		return peerError(resp, o), true
	}
	return d.relay(x, resp, answer), true
}

func (d *Dispatcher) setHop(header http.Header, x *filters.Exchange) {
	header.Set(outcome.RequestIDHeader, x.ID)
	header.Set(filters.HopOriginHeader, d.Instance)
	header.Set(filters.HopRegionHeader, d.Region)
	header.Set(filters.HopCallerHeader, x.Caller)
	header.Set(filters.HopServiceHeader, x.Service.Name)
	header.Set(filters.HopWorkHeader, x.Work.Name)
	header.Set(filters.HopDeadlineHeader, strconv.FormatInt(time.Until(x.Deadline).Milliseconds(), 10))
	if !x.FirstBy.IsZero() && !x.Started {
		header.Set(filters.HopFirstByHeader, strconv.FormatInt(time.Until(x.FirstBy).Milliseconds(), 10))
	}
	header.Set(filters.HopStreamHeader, strconv.FormatBool(x.Stream))
}

// peerError returns the error that another instance answered with.
func peerError(resp *http.Response, o outcome.Outcome) *outcome.Error {
	const maxErrorBytes = 16 << 10
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := decodeError(text)
	err.Outcome = o
	err.Status = resp.StatusCode
	if seconds, convErr := strconv.Atoi(resp.Header.Get("Retry-After")); convErr == nil {
		err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return err
}

// newRequest returns a request with the method, target, host and body of the
// caller's, byte for byte.
func newRequest(ctx context.Context, x *filters.Exchange, scheme, addr string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, x.Request.Method, scheme+"://"+addr+"/", bytes.NewReader(x.Body))
	if err != nil {
		return nil, err
	}
	path, query, _ := strings.Cut(x.Path, "?")
	req.URL.Opaque, req.URL.RawQuery, req.URL.ForceQuery = path, query, len(path) < len(x.Path)
	req.Host = x.Request.Host
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	return req, nil
}

func badPath(err error) *outcome.Error {
	refusal := outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "bad path")
	refusal.Cause = err
	return refusal
}

// send does one round trip. An error is NotRun if no byte of the request left.
func (d *Dispatcher) send(req *http.Request) (*http.Response, *outcome.Error) {
	deadline, _ := req.Context().Deadline()
	gate := &gate{deadline: deadline}
	resp, err := d.Transport.RoundTrip(req.WithContext(gate.attach(req.Context())))
	if err == nil {
		return resp, nil
	}
	failure := outcome.Fail(outcome.CodeBackendFailed, err, "the backend server did not answer")
	if gate.close() {
		failure.Outcome = outcome.NotRun
		failure.Status = http.StatusServiceUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		failure.Code = outcome.CodeDeadline
		failure.Status = http.StatusGatewayTimeout
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, errNotBegun) {
		failure.Code = outcome.CodeCanceled
	}
	return nil, failure
}

func (d *Dispatcher) relay(x *filters.Exchange, resp *http.Response, answer *relay.Answer) *outcome.Error {
	if !answer.Direct {
		x.Writer.Header().Set(filters.RevisionHeader, strconv.FormatUint(x.Snapshot.Revision, 10))
	}
	x.Status = resp.StatusCode
	result := answer.Copy(resp)
	x.Started = x.Started || result.Started
	x.Reset = x.Reset || result.Reset
	if result.Outcome == outcome.Served {
		return nil
	}
	return outcome.Fail(outcome.CodeBackendFailed, result.Err, "the answer was cut before its end")
}
