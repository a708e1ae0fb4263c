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

// errStalled cancels an attempt whose response did not start in time.
var errStalled = errors.New("response did not start within the stall timeout")

// errServerError is the cause of a response that reports a server failure, such
// as one with a 5xx status.
var errServerError = errors.New("backend server reported a failure")

// attemptLoop holds the state of all attempts of one request.
type attemptLoop struct {
	*Dispatcher
	ctx            context.Context
	x              *filters.Exchange
	req            *routing.Request
	callerResponse *relay.CallerResponse
	suspect        suspectTracker
	// mayHaveRun is set once an attempt may have run. From then on the request
	// is never reported as not run.
	mayHaveRun bool
	runs       int  // attempts that may have run
	recorded   bool // the first attempt at a server of this region is recorded
	// refusedOn are the connections on which a backend server refused the request.
	// A server that sends the refusal again could make a further attempt there look
	// refused.
	refusedOn []*guardedConn
	// streaming is the attempt at a backend server in progress, and server that server; nil
	// if there is none.
	streaming   *backend.Attempt
	server      *backend.Server
	lastEventAt time.Time // when the last event was sent to the caller; zero before the first one
	// failedResponse is the response of a server that failed. The caller receives
	// it if no other attempt succeeds.
	failedResponse *http.Response
}

// run makes attempts until the request is served or must not be retried.
func (r *attemptLoop) run() *outcome.Error {
	defer r.suspect.abandonTrial()
	for number := 1; ; number++ {
		decision, refusal := r.route(number)
		if refusal != nil {
			return r.finish(refusal)
		}
		r.recordFirstAttempt(decision)
		result := r.attempt(decision, number)
		r.suspect.recordResult(result)
		if result.err == nil {
			return nil
		}
		if result.err.Outcome != outcome.NotRun {
			r.mayHaveRun = true
			r.runs++
		}
		verdict := r.Retry.Decide(time.Now(), r.recordFailure(decision, result, number))
		r.Observer.RetryDecided(r.x, number, verdict)
		if !verdict.Retry || !sleep(r.ctx, verdict.After) {
			return r.finish(result.err)
		}
	}
}

// finish ends a request that no attempt served, for the reason err. It relays the
// saved response of a failed server if there is one. Otherwise it returns err,
// whose outcome then covers all attempts.
func (r *attemptLoop) finish(err *outcome.Error) *outcome.Error {
	if r.mayHaveRun && err.Outcome == outcome.NotRun {
		err.Outcome = outcome.MayHaveRun
	}
	if r.failedResponse != nil && !r.x.Started {
		return r.relay(r.x, r.failedResponse, r.callerResponse, "failed server")
	}
	r.callerResponse.Fail(err)
	return err
}

// mayRepeat reports whether the request may be sent again after a server has
// run it.
func (r *attemptLoop) mayRepeat() bool { return r.x.Work.Repeatable && !r.x.Started }

// maxFailedResponseBytes limits the saved response of a failed server.
const maxFailedResponseBytes = 64 << 10

// saveFailedResponse keeps the response of a failed server while another server
// is tried, unless the response is too large or cannot be read.
func (r *attemptLoop) saveFailedResponse(resp *http.Response) *outcome.Error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFailedResponseBytes))
	if err == nil && len(body) < maxFailedResponseBytes {
		saved := *resp
		saved.Body = io.NopCloser(bytes.NewReader(body))
		r.failedResponse = &saved
	}
	return outcome.Fail(outcome.CodeBackendFailed, errors.Wrapf(errServerError, "status %d", resp.StatusCode), "the backend server failed")
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	err     *outcome.Error
	crashed bool // the connection to the backend server was lost during the request
	stalled bool // canceled because the response did not start in time
	// unreachable means that no instance of the region responded.
	unreachable bool
}

func (r *attemptLoop) attempt(decision routing.Decision, number int) attemptResult {
	var result attemptResult
	if decision.Server != nil {
		result = r.tryServer(decision)
	} else {
		var responded bool
		result.err, responded = r.forward(r.ctx, r.x, decision.Region, r.runs, r.callerResponse)
		result.unreachable = !responded
	}
	finalOutcome := outcome.Served
	var cause error
	if result.err != nil {
		finalOutcome, cause = result.err.Outcome, result.err
	}
	r.Observer.AttemptEnded(r.x, number, decision, finalOutcome, cause)
	return result
}

// recordFailure excludes the target of a failed attempt from the next ones, and
// returns the attempt in the form that the retry policy evaluates. A request
// whose attempt in another region failed stays in this region.
func (r *attemptLoop) recordFailure(decision routing.Decision, result attemptResult, number int) retry.Attempt {
	if decision.Server != nil {
		r.req.Tried[decision.Server.ID] = true
	} else {
		r.req.StayLocal = true
		if r.Router.Spill != nil && result.unreachable && r.ctx.Err() == nil {
			r.Router.Spill.Failed(time.Now(), decision.Region)
		}
	}
	return retry.Attempt{
		Number: number, Outcome: result.err.Outcome, Code: result.err.Code,
		Repeatable: r.x.Work.Repeatable, ResponseStarted: r.x.Started && !r.mayContinue(), Forwarded: decision.Region != "",
		Remaining: time.Until(r.x.Deadline), BudgetCharged: result.stalled,
		Service: r.x.Service.Name, PossibleRuns: r.runs, MaxPossibleRuns: r.x.Work.MaxServers,
	}
}

// tryServer sends the request to a backend server. The attempt is over when it
// returns: the connection is closed or the response has been read, so attempts
// of one request never overlap.
func (r *attemptLoop) tryServer(decision routing.Decision) attemptResult {
	server := decision.Server
	if !r.x.Service.Permits(r.x.Work, server.Region) {
		panic("dispatch: backend server " + server.ID + " is outside the permitted regions")
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	w := r.startAttempt(decision, cancel)
	defer w.stopStallTimer()
	served := false
	r.streaming, r.server = w.attempt, server
	defer func() {
		r.streaming, r.server = nil, nil
		if served && r.x.Stream && r.callerResponse.LastEventID == "" {
			w.attempt.StreamCompleted(r.x.OutputTokensHint, r.x.EventsSent)
		}
		w.attempt.End(time.Now(), served)
	}()
	r.Router.RecordDispatch(r.req, server)
	if r.x.Version == 0 {
		r.recordVersion(server.Origin(), true)
	}
	err := r.sendToServer(ctx, r.x, server, w)
	result := attemptResult{err: err, stalled: errors.Is(context.Cause(ctx), errStalled)}
	if result.stalled && err != nil {
		err.Code = outcome.CodeBackendFailed
	}
	failed := err != nil && err.Code == outcome.CodeBackendFailed && r.ctx.Err() == nil &&
		!errors.Is(err, errRetiredConn) && !errors.Is(err, errServerWithdrew)
	connectionLost := failed && err.Outcome == outcome.MayHaveRun && !w.gotHeader && !result.stalled
	if connectionLost && w.lostIdleConnection() {
		connectionLost, failed = false, false
	}
	result.crashed = w.bodyTruncated || connectionLost
	if result.crashed && !w.bodyTruncated {
		r.suspect.recordCrash(server, w.startedAt)
	}
	served = err == nil
	if served {
		r.recordServedParts(w)
	}
	if failed && err.Outcome == outcome.MayHaveRun && !result.stalled {
		r.recordLostAnswer(w)
	}
	// A connection that is not answered in time shows less than one that is refused: a
	// single packet may have been lost.
	unreachable := failed && err.Outcome == outcome.NotRun && !w.reused.Load() && !errors.Is(err, context.DeadlineExceeded)
	r.recordHealth(decision, (failed || w.serverError) && !w.withdrew || result.crashed, unreachable, served)
	return result
}

// eventSent records the time of an event of a stream.
func (r *attemptLoop) eventSent() {
	now := time.Now()
	if !r.lastEventAt.IsZero() {
		r.x.LongestGap = max(r.x.LongestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if r.streaming != nil {
		r.streaming.EventReceived(now)
	}
}

// recordHealth reports the result of an attempt to the ejector.
func (r *attemptLoop) recordHealth(decision routing.Decision, failed, unreachable, served bool) {
	if unreachable {
		// The server may return with cold caches before its registry entry shows it.
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
		r.Observer.EjectionChanged(ejection)
	}
}

// attemptWatcher monitors the response of one attempt at a backend server.
type attemptWatcher struct {
	loop          *attemptLoop
	server        *backend.Server
	attempt       *backend.Attempt
	startedAt     time.Time
	stallTimer    *time.Timer
	fetchFrom     string      // address of a server that has more of the prompt in its cache, or ""
	reused        atomic.Bool // the attempt used a connection that was open before
	gotHeader     bool        // the response header has been received
	success       bool        // the response status is 2xx or 304
	serverError   bool        // the response status is 5xx, or that of a refusal without evidence
	withdrew      bool        // the status is 503 and the server has withdrawn from new requests
	refused       bool        // the server refused the request without running it
	unframed      bool        // the response body ends with its connection
	firstByteAt   time.Time   // of the response body; zero before
	bodyTruncated bool        // reading the body failed; the crash has been recorded
	bodyBytes     int64       // read from the response body
	resumes       bool        // the request asks for the rest of a stream
	// recordedAge is the time since firstByteAt at which recordProgress last recorded that
	// the body still arrives; 0 before.
	recordedAge time.Duration
}

// recordFirstAttempt records the first attempt at a server of this region. A request that
// runs in another region counts there.
func (r *attemptLoop) recordFirstAttempt(decision routing.Decision) {
	if decision.Server != nil && !r.recorded {
		r.recorded = true
		r.Retry.RecordFirstAttempt(time.Now(), r.x.Service.Name)
	}
}

// startAttempt registers an attempt at the server. The attempt of a repeatable
// request is canceled if its response does not start within the stall timeout and
// the retry budget allows another attempt.
func (r *attemptLoop) startAttempt(decision routing.Decision, cancel context.CancelCauseFunc) *attemptWatcher {
	w := &attemptWatcher{loop: r, server: decision.Server, startedAt: time.Now()}
	if decision.FetchFrom != nil && decision.FetchFrom.MayReceive(w.startedAt) {
		w.fetchFrom = decision.FetchFrom.Addr
	}
	job := decision.Job(r.req)
	if !r.firstByteMeasuresTTFT() {
		job.UncachedTokens = 0
	}
	w.attempt = decision.Server.StartAttempt(w.startedAt, job)
	stallTimeout := retry.StallTimeout(decision.Cost, time.Until(r.x.Deadline))
	if stallTimeout > 0 && r.firstByteMeasuresTTFT() && r.x.Work.Repeatable {
		w.stallTimer = time.AfterFunc(stallTimeout, func() {
			if r.Retry.TakeRetry(time.Now(), r.x.Service.Name) {
				cancel(errStalled)
			}
		})
	}
	return w
}

// firstByteMeasuresTTFT reports whether the first byte of the response marks the
// time to first token. A model that does not stream sends its first byte only
// once it has generated the whole response.
func (r *attemptLoop) firstByteMeasuresTTFT() bool {
	return r.x.Stream || r.x.Service.Kind != catalog.Model
}

// withTrace returns a context that records whether the request is sent on a
// connection that was open before.
func (w *attemptWatcher) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { w.reused.Store(info.Reused) },
	})
}

// Limits for treating a lost connection as an idle one that the server closed.
const (
	idleCloseWindow  = 50 * time.Millisecond // from the start of the attempt
	reachableTimeout = time.Second           // to check whether the server accepts connections
)

// lostIdleConnection reports whether the lost connection is treated as an idle
// one that the server closed just as the request was sent. Servers close idle
// connections after some seconds. A crashed server refuses new connections.
func (w *attemptWatcher) lostIdleConnection() bool {
	if !w.reused.Load() || time.Since(w.startedAt) > idleCloseWindow {
		return false
	}
	ctx, cancel := context.WithTimeout(w.loop.ctx, reachableTimeout)
	defer cancel()
	return w.loop.checkReachable(ctx, w.server.Addr) == nil
}

// checkReachable returns an error if no connection to addr can be opened.
func (d *Dispatcher) checkReachable(ctx context.Context, addr string) error {
	if d.CheckReachable != nil {
		return d.CheckReachable(ctx, addr)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// onHeader must be called when the response header has been received. It stops
// the stall timer and wraps the body in a watchedBody.
func (w *attemptWatcher) onHeader(resp *http.Response) {
	w.gotHeader = true
	w.success = resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices || resp.StatusCode == http.StatusNotModified
	w.serverError = resp.StatusCode >= http.StatusInternalServerError
	w.unframed = isUnframed(resp) && w.loop.x.Request.Method != http.MethodHead
	w.stopStallTimer()
	resp.Body = &watchedBody{ReadCloser: resp.Body, watcher: w}
}

// recordWithdrawal applies what the response header says of the server to it, and
// reports withdrawals and ignored headers to the observer.
func (w *attemptWatcher) recordWithdrawal(info *ResponseInfo, status int) {
	if info.Mismatched {
		return
	}
	now, observer, x := time.Now(), w.loop.Observer, w.loop.x
	w.withdrew = status == http.StatusServiceUnavailable && (info.Draining || info.Pause > 0)
	for _, withdrawal := range info.updateServer(now, w.server) {
		withdrawal.Status, withdrawal.Refused, withdrawal.Elapsed = status, info.Refused, now.Sub(w.startedAt)
		observer.ServerWithdrew(x, w.server, withdrawal)
	}
	for _, ignored := range info.Ignored {
		observer.HeaderIgnored(x, w.server, ignored)
	}
}

func (w *attemptWatcher) stopStallTimer() {
	if w.stallTimer != nil {
		w.stallTimer.Stop()
	}
}

// watchedBody updates its attemptWatcher as the response body is read.
type watchedBody struct {
	io.ReadCloser
	watcher *attemptWatcher
}

// Read implements io.Reader. It delays the error of a truncated response until
// the crash has been propagated to the other instances, because the caller may
// send the request again at once.
func (b *watchedBody) Read(p []byte) (int, error) {
	w := b.watcher
	if w.bodyBytes > w.loop.maxResponseBytes() {
		return 0, errors.Wrapf(errTooLarge, "read response of %s: limit %d bytes", w.server.ID, w.loop.maxResponseBytes())
	}
	began := time.Now()
	n, err := b.ReadCloser.Read(p)
	if n > 0 && w.bodyBytes > 0 {
		w.attempt.Waited(began, time.Now())
	}
	if n > 0 && w.bodyBytes == 0 && w.loop.firstByteMeasuresTTFT() {
		w.attempt.FirstToken(time.Now())
	}
	if n > 0 && w.bodyBytes == 0 {
		w.firstByteAt = time.Now()
		if w.success && w.loop.firstByteMeasuresTTFT() {
			w.attempt.Began(w.firstByteAt)
		}
	}
	w.bodyBytes += int64(n)
	if n > 0 {
		w.loop.recordProgress(w)
	}
	if err != nil && !errors.Is(err, io.EOF) && w.loop.ctx.Err() == nil && !w.bodyTruncated {
		w.bodyTruncated = true
		w.loop.suspect.recordCrash(w.server, w.startedAt)
	}
	return n, err
}

// Close implements io.Closer. It charges the response to a request from another
// region to the link budget.
func (b *watchedBody) Close() error {
	if w := b.watcher; w.loop.x.Hop != nil && w.loop.Link != nil {
		w.loop.Link.Spend(time.Now(), w.bodyBytes)
	}
	return b.ReadCloser.Close()
}

// sleep waits for d and returns false if ctx ends first.
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
