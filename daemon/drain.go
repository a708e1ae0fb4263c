package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// drainPoll is how often a draining instance looks whether it is done.
const drainPoll = 20 * time.Millisecond

// inFlight counts requests.
type inFlight struct {
	count atomic.Int64
	ended atomic.Int64 // when the last one ended, in nanoseconds
}

func (f *inFlight) begin() { f.count.Add(1) }

func (f *inFlight) end() {
	f.ended.Store(time.Now().UnixNano())
	f.count.Add(-1)
}

// idleFor reports whether no request has been in flight for d.
func (f *inFlight) idleFor(d time.Duration) bool {
	return f.count.Load() == 0 && time.Since(time.Unix(0, f.ended.Load())) >= d
}

// followDrain counts the requests that arrive before the instance drains. With
// the answers to later ones, callers and instances give up their connections.
func (d *Daemon) followDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
			next.ServeHTTP(w, r)
			return
		}
		d.accepted.begin()
		defer d.accepted.end()
		next.ServeHTTP(w, r)
	})
}

// drain ends the servers after the work in flight. Until then, and for
// DrainNotice at least, the listeners stay open and new requests are refused
// with the address of another instance: a connection that is closed just when
// a caller sends a request on it looks to the caller like a failed request.
func (d *Daemon) drain(servers []*http.Server) {
	d.draining.Store(true)
	begun := time.Now()
	d.log.Info().Str("event", "draining").Str("instance", d.settings.Instance).Msg("")
	d.leaveDirectory()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainNotice+d.settings.DrainDeadline)
	defer cancel()
	for ctx.Err() == nil && (time.Since(begun) < d.settings.DrainNotice || !d.accepted.idleFor(d.settings.DrainNotice)) {
		time.Sleep(drainPoll)
	}
	d.shutdown(ctx, servers)
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelFlush()
	d.flushClaims(flushCtx)
	d.log.Info().Str("event", "stopped").Str("instance", d.settings.Instance).Msg("")
}

func (d *Daemon) leaveDirectory() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.listing.Deregister(ctx, d.settings.Instance); err != nil {
		d.log.Warn().Str("event", "deregister_failed").Err(err).Msg("")
	}
	d.members.SetServing(ctx, false)
}

// shutdown ends all servers. What is still in flight when ctx ends is cut.
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
