package hosted

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/drain"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// drainNoticeTime is how long callers may still use an instance that the
	// directory does not name any more: they cache a response of the directory for
	// three times its TTL.
	drainNoticeTime = 3*directoryTTL + 500*time.Millisecond
	// shutdownReserve is the time between the end of the requests in flight and the
	// moment at which the platform kills the process. It covers the delay of the
	// signal, and shutdownResponseTime.
	shutdownReserve = 700 * time.Millisecond
	// shutdownResponseTime is how long the requests that are ended at the end of the
	// drain may take to respond.
	shutdownResponseTime = 300 * time.Millisecond
	// minGraceFraction is the fraction of the grace period after which the requests
	// in flight are ended at the earliest.
	minGraceFraction  = 0.875
	deregisterTimeout = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond

	// lateAfter is when callers that come to a draining instance can no longer do so
	// by a cached directory response: such requests are only taken if they surely end
	// in time. It allows for the delay of the signal and of the request.
	lateAfter = 3*directoryTTL - 250*time.Millisecond

	// drainRetryAfter is the Retry-After time of requests that are refused while
	// another instance of the region is ready.
	drainRetryAfter = 20 * time.Millisecond
)

// errShutdown is the cause of requests that are ended because the instance exits.
var errShutdown = errors.New("the instance exits")

// drain removes the instance from the directory and shuts the servers down. Until the
// cached directory responses of callers have expired, and while requests that came
// before that are in flight, the instance accepts new requests that end in time. It
// ends the requests that are left when it must exit.
func (i *Instance) drain(servers *httpServers) {
	start := time.Now()
	grace := i.settings.Bounds.GracePeriod
	exit := start.Add(max(grace-shutdownReserve, time.Duration(float64(grace)*minGraceFraction)))
	notice := min(drainNoticeTime, grace/2)
	noticeEnd := start.Add(notice)
	i.noticeEnd.Store(&noticeEnd)
	i.gate.Close(start.Add(min(lateAfter, notice)), exit)
	i.draining.Store(true)
	i.log.Info().Str("event", "draining").Int64("in_flight", i.guard.Usage().InFlight).Dur("time_left", time.Until(exit)).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	if err := i.roster.Deregister(ctx); err != nil {
		i.log.Warn().Str("event", "leave_failed").Err(err).Msg("")
	}
	cancel()
	time.Sleep(time.Until(noticeEnd))
	i.awaitNoticedRequests(exit)
	cut := time.AfterFunc(time.Until(exit), i.endRequests)
	defer cut.Stop()
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), exit.Add(shutdownResponseTime))
	defer cancelShutdown()
	shutdown(shutdownCtx, servers.callers)
	shutdown(shutdownCtx, servers.others)
	i.log.Info().Str("event", "stopped").Int64("in_flight", i.guard.Usage().InFlight).Dur("drain", time.Since(start)).Msg("")
}

// awaitNoticedRequests waits until the requests that arrived during drainNoticeTime,
// or before, have ended, until exit at most.
func (i *Instance) awaitNoticedRequests(exit time.Time) {
	for i.noticedRequests.Load() > 0 && time.Now().Before(exit) {
		time.Sleep(drainPollInterval)
	}
}

// endRequests ends the requests in flight. Those whose response has not begun get a
// final error, and the connections of the others are aborted.
func (i *Instance) endRequests() {
	i.log.Warn().Str("event", "drain_cut").Int64("in_flight", i.guard.Usage().InFlight).Msg("")
	i.cancelRequests(errShutdown)
}

// countNoticedRequests counts the requests in flight that arrived before the end of
// drainNoticeTime.
func (i *Instance) countNoticedRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if end := i.noticeEnd.Load(); end == nil || time.Now().Before(*end) {
			i.noticedRequests.Add(1)
			defer i.noticedRequests.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}

// drainFilter measures how long requests take, and refuses those that would not end
// before the instance exits.
type drainFilter struct{ instance *Instance }

// Name implements filters.Filter.
func (drainFilter) Name() string { return "drain" }

// Handle implements filters.Filter.
func (f drainFilter) Handle(x *filters.Exchange, next filters.Handler) *outcome.Error {
	if refusal := f.instance.refuseWhileDraining(x); refusal != nil {
		return refusal
	}
	run := f.instance.gate.Durations.Begin(x.Received, durationKind(x), x.MaxOutputTokens)
	counts := false
	defer func() { run.End(time.Now(), counts) }()
	x.Writer = &firstByteWriter{ResponseWriter: x.Writer, run: run}
	err := next(x)
	served := err == nil && x.Status < http.StatusBadRequest
	counts = served || err != nil && err.Code == outcome.CodeDeadline
	return err
}

// durationKind returns the kind of requests that take similar times.
func durationKind(x *filters.Exchange) drain.Kind {
	return drain.Kind{Service: x.Service.Name, Work: x.Work.Name}
}

// refuseWhileDraining returns the refusal of a request that would not end before the
// instance exits, or nil.
func (i *Instance) refuseWhileDraining(x *filters.Exchange) *outcome.Error {
	now := time.Now()
	decision := i.gate.Decide(now, drain.Request{
		Kind: durationKind(x), OutputTokens: x.MaxOutputTokens, Received: x.Received, Deadline: x.Deadline,
	}, func() bool { return i.otherInstances() > 0 })
	if decision.Take {
		return nil
	}
	ready := i.otherInstances()
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "this instance is shutting down").WithRetryAfter(i.drainRetryAfter(now, ready))
	i.admission.RefusedByDrain(x, telemetry.DrainRefusal{Decision: decision, ReadyInstances: ready}, refusal)
	return refusal
}

// drainRetryAfter returns the Retry-After time of a refusal. If no other instance of the
// region is ready, it leads past the time for which the caller may cache a directory
// response that names this instance, or to a later one.
func (i *Instance) drainRetryAfter(now time.Time, ready int) time.Duration {
	if ready > 0 {
		return drainRetryAfter
	}
	if left := i.noticeEnd.Load().Sub(now); left > 0 {
		return min(max(left, drainRetryAfter), directoryTTL)
	}
	return directoryTTL
}

// otherInstances returns the number of other instances of the region that are ready.
func (i *Instance) otherInstances() (count int) {
	for _, other := range i.roster.InRegion(i.settings.Region) {
		if other.ID != i.settings.Instance {
			count++
		}
	}
	return count
}

// firstByteWriter records the first byte of a response.
type firstByteWriter struct {
	http.ResponseWriter
	run     *drain.Run
	started bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *firstByteWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *firstByteWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.started = true
		w.run.FirstByte(time.Now())
	}
	return w.ResponseWriter.Write(p)
}

// shutdown stops the servers once their requests in flight have finished, or
// when ctx ends.
func shutdown(ctx context.Context, servers []*http.Server) {
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				server.Close()
			}
		})
	}
	group.Wait()
}
