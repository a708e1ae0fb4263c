package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

const (
	// drainPollInterval is the interval at which a draining instance checks whether
	// it can shut down its servers.
	drainPollInterval = 20 * time.Millisecond
	// drainCutResponseTime is how long the requests that are ended at the end of the
	// drain may take to respond.
	drainCutResponseTime = time.Second
)

// errDrainDeadline is the cause of requests that are ended at the end of the drain.
var errDrainDeadline = errors.New("the instance shuts down and its drain deadline has passed")

// inFlightCounter counts the requests in flight.
type inFlightCounter struct {
	count   atomic.Int64
	lastEnd monotonic.Atomic // time at which the last request ended
}

func (f *inFlightCounter) begin() { f.count.Add(1) }

func (f *inFlightCounter) end() {
	f.lastEnd.Store(monotonic.Of(time.Now()))
	f.count.Add(-1)
}

// idleFor reports whether no request is in flight and the last one ended at least
// d ago.
func (f *inFlightCounter) idleFor(d time.Duration) bool {
	return f.count.Load() == 0 && f.lastEnd.Load().Since(time.Now()) >= d
}

// trackInFlight counts the requests that arrive before the instance drains.
// Responses to later requests carry "Connection: close", so that callers and other
// instances close their connections.
func (d *Daemon) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
			next.ServeHTTP(w, r)
			return
		}
		d.preDrainRequests.begin()
		defer d.preDrainRequests.end()
		next.ServeHTTP(w, r)
	})
}

// drain shuts the servers down once DrainNotice has passed both since the start of
// the drain and since the end of the last request that arrived before it, or after
// DrainNotice plus DrainDeadline at the latest. Until then the listeners stay open
// and new requests are refused with the URL of another instance: if a connection
// were closed while a caller sends a request on it, the caller would see a failed
// request. Requests that are left at the end are ended with an error that states their
// outcome.
func (d *Daemon) drain(servers []*http.Server) {
	d.draining.Store(true)
	start := time.Now()
	d.log.Info().Str("event", "draining").Str("instance", d.settings.Instance).Msg("")
	d.announceDraining()
	deadline := start.Add(d.settings.DrainNotice + d.settings.DrainDeadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for ctx.Err() == nil && (time.Since(start) < d.settings.DrainNotice || !d.preDrainRequests.idleFor(d.settings.DrainNotice)) {
		time.Sleep(drainPollInterval)
	}
	cut := time.AfterFunc(time.Until(deadline), d.endRequests)
	defer cut.Stop()
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), deadline.Add(drainCutResponseTime))
	defer cancelShutdown()
	d.shutdown(shutdownCtx, servers)
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancelFlush()
	d.flushClaims(flushCtx)
	d.log.Info().Str("event", "stopped").Str("instance", d.settings.Instance).Msg("")
}

// endRequests ends the requests in flight.
func (d *Daemon) endRequests() {
	d.log.Warn().Str("event", "drain_deadline").Int64("in_flight", d.preDrainRequests.count.Load()).Msg("")
	d.cancelRequests(errDrainDeadline)
}

func (d *Daemon) announceDraining() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	if err := d.listing.Deregister(ctx, d.settings.Instance); err != nil {
		d.log.Warn().Str("event", "deregister_failed").Err(err).Msg("")
	}
	d.membershipRunner.SetServing(ctx, false)
}

// shutdown shuts all servers down gracefully. Connections with a request still in
// flight when ctx ends are closed.
func (d *Daemon) shutdown(ctx context.Context, servers []*http.Server) {
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				d.log.Error().Str("event", "drain_cut").Err(err).Msg("")
				_ = server.Close()
			}
		})
	}
	group.Wait()
}
