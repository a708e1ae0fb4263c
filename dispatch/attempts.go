package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// errStalled cancels an attempt whose answer did not begin in time.
var errStalled = errors.New("the answer did not begin in time")

// errServerFailed is the cause of an answer with a status of the 5xx class.
var errServerFailed = errors.New("the backend server answered that it failed")

// run is the attempts of one request.
type run struct {
	*Dispatcher
	ctx     context.Context
	x       *filters.Exchange
	req     *routing.Request
	answer  *relay.Answer
	suspect suspect
	// mayHaveRun is set once an attempt may have run: from then on the request
	// is never reported as not run.
	mayHaveRun bool
	runs       int // attempts that may have run
	// failed is the answer of a server that failed, which the caller gets if no
	// other attempt succeeds.
	failed *http.Response
}

// attempts tries until the request is served or must not be tried again.
func (r *run) attempts() *outcome.Error {
	defer r.suspect.abandon()
	r.Retry.FirstTry(time.Now(), r.x.Service.Name)
	for number := 1; ; number++ {
		decision, refusal := r.next(number)
		if refusal != nil {
			return r.final(refusal)
		}
		end := r.attempt(decision, number)
		r.suspect.end(end)
		if end.err == nil {
			return nil
		}
		if end.err.Outcome != outcome.NotRun {
			r.mayHaveRun = true
			r.runs++
		}
		verdict := r.Retry.Decide(time.Now(), r.tried(decision, end, number))
		r.Observer.Retried(r.x, number, verdict)
		if !verdict.Retry || !sleep(r.ctx, verdict.After) {
			return r.final(end.err)
		}
	}
}

// next decides where the next attempt goes.
func (r *run) next(number int) (routing.Decision, *outcome.Error) {
	if refusal := r.suspect.admit(); refusal != nil {
		return routing.Decision{}, refusal
	}
	for r.req.Alone {
		decision, refusal := r.suspect.reserve()
		if refusal != nil {
			return decision, refusal
		}
		if decision.Server != nil {
			r.Observer.Decided(r.x, number, decision)
			return decision, nil
		}
	}
	decision := r.Router.Decide(r.req)
	for decision.Server != nil && !r.Router.Admit(r.req, decision.Server) {
		decision = r.Router.Decide(r.req)
	}
	r.Observer.Decided(r.x, number, decision)
	if decision.Server == nil && decision.Region == "" {
		return decision, r.nowhere(decision)
	}
	return decision, nil
}

// nowhere refuses a request that no server and no region takes.
func (r *run) nowhere(decision routing.Decision) *outcome.Error {
	if decision.Reason == routing.ReasonTooLong {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "the prompts ahead take too long").WithRetryAfter(min(decision.Wait, time.Second))
	}
	code, text := outcome.CodeNoBackend, "no backend server can serve this request now"
	if r.req.NoSlot {
		code, text = outcome.CodeOverloaded, "no slot becomes free in time, here or in another region"
	}
	return outcome.Refuse(http.StatusServiceUnavailable, code, "%s", text).WithRetryAfter(time.Second)
}

// final returns the error that the caller is told.
func (r *run) final(err *outcome.Error) *outcome.Error {
	if r.mayHaveRun && err.Outcome == outcome.NotRun {
		err.Outcome = outcome.MayHaveRun
	}
	if r.failed != nil && !r.x.Started {
		return r.relay(r.x, r.failed, r.answer)
	}
	r.answer.Fail(err)
	return err
}

// mayRepeat reports whether the request may be sent again after a server has
// run it.
func (r *run) mayRepeat() bool { return r.x.Work.Repeatable && !r.x.Started }

// maxFailedBytes bounds the answer of a failed server that is kept.
const maxFailedBytes = 64 << 10

// hold keeps the answer of a server that failed, while another one is tried.
func (r *run) hold(resp *http.Response) *outcome.Error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFailedBytes))
	if err == nil && len(body) < maxFailedBytes {
		kept := *resp
		kept.Body = io.NopCloser(bytes.NewReader(body))
		r.failed = &kept
	}
	return outcome.Fail(outcome.CodeBackendFailed, errServerFailed, "the backend server failed")
}

// attemptEnd tells how an attempt ended.
type attemptEnd struct {
	err     *outcome.Error
	crashed bool // the backend server was lost under the request
	stalled bool // canceled, since the answer did not begin in time
	// unreachable means that no instance of the region answered.
	unreachable bool
}

func (r *run) attempt(decision routing.Decision, number int) attemptEnd {
	var end attemptEnd
	if decision.Server != nil {
		end = r.toServer(decision)
	} else {
		var answered bool
		end.err, answered = r.toRegion(r.ctx, r.x, decision.Region, r.runs, r.answer)
		end.unreachable = !answered
	}
	result := outcome.Served
	var cause error
	if end.err != nil {
		result, cause = end.err.Outcome, end.err
	}
	r.Observer.Attempted(r.x, number, decision, result, cause)
	return end
}

// tried describes a failed attempt to the retry policy, and keeps the next one
// away from where it failed.
func (r *run) tried(decision routing.Decision, end attemptEnd, number int) retry.Try {
	if decision.Server != nil {
		r.req.Tried[decision.Server.ID] = true
	} else {
		r.req.StayLocal = true
		if r.Router.Spill != nil && end.unreachable && r.ctx.Err() == nil {
			r.Router.Spill.Failed(time.Now(), decision.Region)
		}
	}
	return retry.Try{
		Number: number, Outcome: end.err.Outcome, Code: end.err.Code,
		Repeatable: r.x.Work.Repeatable, Started: r.x.Started && !r.answer.Resumable(), Forwarded: decision.Region != "",
		Remaining: time.Until(r.x.Deadline), Paid: end.stalled,
		Service: r.x.Service.Name, Runs: r.runs, MaxRuns: r.x.Work.MaxServers,
	}
}

// toServer sends the request to a backend server. The attempt is over when it
// returns: its connection is closed or its answer has been read, so that a
// following attempt never runs beside it.
func (r *run) toServer(decision routing.Decision) attemptEnd {
	server := decision.Server
	if !r.x.Service.Permits(r.x.Work, server.Region) {
		panic("dispatch: backend server " + server.ID + " is outside the permitted regions")
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	w := r.watch(decision, cancel)
	defer w.stop()
	served := false
	defer func() { w.attempt.End(time.Now(), served) }()
	r.Router.Dispatched(r.req, server)
	err := r.exchange(ctx, r.x, server, w)
	end := attemptEnd{err: err, stalled: errors.Is(context.Cause(ctx), errStalled)}
	if end.stalled && err != nil {
		err.Code = outcome.CodeBackendFailed
	}
	failed := err != nil && err.Code == outcome.CodeBackendFailed && r.ctx.Err() == nil
	cut := failed && err.Outcome == outcome.MayHaveRun && !w.answered && !end.stalled
	if cut && w.closedIdle() {
		cut, failed = false, false
	}
	end.crashed = w.crashed || cut
	if end.crashed && !w.crashed {
		r.suspect.crashed(server, w.begun)
	}
	served = err == nil
	unreachable := failed && err.Outcome == outcome.NotRun && !w.reused.Load()
	r.judge(decision, failed || end.crashed || w.serverError, unreachable, served)
	return end
}

// judge tells the ejector how the server did.
func (r *run) judge(decision routing.Decision, failed, unreachable, served bool) {
	if unreachable {
		// It may come back with cold caches before its entry says so.
		decision.Server.ExtendCold(time.Now().Add(r.x.Service.Warmup.Time))
	}
	if r.Ejector == nil {
		return
	}
	var ejection routing.Ejection
	var changed bool
	switch {
	case unreachable:
		ejection, changed = r.Ejector.Unreachable(time.Now(), decision.Server, decision.Probe())
	case failed:
		ejection, changed = r.Ejector.Failed(time.Now(), decision.Server, decision.Probe())
	case served:
		ejection, changed = r.Ejector.Succeeded(time.Now(), decision.Server, decision.Probe())
	}
	if changed {
		r.Observer.Ejected(ejection)
	}
}

// watch follows the answer of one attempt.
type watch struct {
	run         *run
	server      *backend.Server
	attempt     *backend.Attempt
	begun       time.Time
	stall       *time.Timer
	fetchFrom   string      // address of the server whose cache has more of the prompt
	reused      atomic.Bool // the connection had been idle
	answered    bool        // the header of the answer has come
	serverError bool        // the server answered that it failed
	refused     bool        // the server refused the request without running it
	crashed     bool        // the answer was cut
	bytes       int64
}

// watch begins an attempt. An attempt that may be repeated and whose answer
// does not begin in time is canceled, if the budget allows another one.
func (r *run) watch(decision routing.Decision, cancel context.CancelCauseFunc) *watch {
	w := &watch{run: r, server: decision.Server, begun: time.Now()}
	if decision.FetchFrom != nil {
		w.fetchFrom = decision.FetchFrom.Addr
	}
	job := decision.Job(r.req)
	if !r.beginsEarly() {
		job.Prompt = 0
	}
	w.attempt = decision.Server.Start(w.begun, job)
	limit := retry.StallLimit(decision.Cost, time.Until(r.x.Deadline))
	if limit > 0 && r.beginsEarly() && r.x.Work.Repeatable {
		w.stall = time.AfterFunc(limit, func() {
			if r.Retry.Take(time.Now(), r.x.Service.Name) {
				cancel(errStalled)
			}
		})
	}
	return w
}

// beginsEarly reports whether the beginning of the answer tells the time to
// first token. A whole answer of a model begins at its end.
func (r *run) beginsEarly() bool { return r.x.Stream || r.x.Service.Kind != catalog.Model }

// trace watches which connection the request gets.
func (w *watch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { w.reused.Store(info.Reused) },
	})
}

// Bounds of what may be an idle connection that the server closed.
const (
	idleCloseLimit = 50 * time.Millisecond // after the request was sent
	confirmTimeout = time.Second           // of the connection that tells whether the server lives
)

// closedIdle reports whether a cut connection is taken for an idle one that the
// server closed just when the request was sent, as servers do after some
// seconds. A server that crashed refuses new connections.
func (w *watch) closedIdle() bool {
	if !w.reused.Load() || time.Since(w.begun) > idleCloseLimit {
		return false
	}
	ctx, cancel := context.WithTimeout(w.run.ctx, confirmTimeout)
	defer cancel()
	return w.run.dial(ctx, w.server.Addr) == nil
}

// dial opens and closes a connection.
func (d *Dispatcher) dial(ctx context.Context, addr string) error {
	if d.Dial != nil {
		return d.Dial(ctx, addr)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// header is called when the header of the answer has come. It replaces the
// body by one that is watched.
func (w *watch) header(resp *http.Response) {
	w.answered = true
	w.serverError = resp.StatusCode >= http.StatusInternalServerError
	w.stop()
	resp.Body = &watchedBody{ReadCloser: resp.Body, watch: w}
}

func (w *watch) stop() {
	if w.stall != nil {
		w.stall.Stop()
	}
}

// watchedBody learns from the answer as it is read.
type watchedBody struct {
	io.ReadCloser
	watch *watch
}

// Read implements io.Reader. A cut answer is held back until the other
// instances know of the crash: the caller may send the request again at once.
func (b *watchedBody) Read(p []byte) (int, error) {
	w := b.watch
	if w.bytes > w.run.maxAnswerBytes() {
		return 0, errTooLarge
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 && w.bytes == 0 && w.run.beginsEarly() {
		w.attempt.FirstToken(time.Now())
	}
	w.bytes += int64(n)
	if err != nil && !errors.Is(err, io.EOF) && w.run.ctx.Err() == nil && !w.crashed {
		w.crashed = true
		w.run.suspect.crashed(w.server, w.begun)
	}
	return n, err
}

// Close implements io.Closer. The answer to a request of another region is
// counted against the link.
func (b *watchedBody) Close() error {
	if w := b.watch; w.run.x.Hop != nil && w.run.Link != nil {
		w.run.Link.Spend(time.Now(), w.bytes)
	}
	return b.ReadCloser.Close()
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
