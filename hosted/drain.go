package hosted

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// drainNoticeTime is how long a draining instance accepts new connections:
	// callers cache a response of the directory for three times its TTL.
	drainNoticeTime = 3*directoryTTL + 500*time.Millisecond
	// shutdownReserve is the time between the end of the drain and the moment at
	// which the platform kills the process.
	shutdownReserve   = 700 * time.Millisecond
	deregisterTimeout = 500 * time.Millisecond
)

// drain removes the instance from the directory, serves new requests until the
// cached directory responses of callers have expired, and then shuts the servers
// down, which waits for the requests in flight until the deadline.
func (i *Instance) drain(servers *httpServers) {
	start := time.Now()
	i.draining.Store(true)
	i.log.Info().Str("event", "draining").Int64("in_flight", i.guard.Usage().InFlight).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	if err := i.roster.Deregister(ctx); err != nil {
		i.log.Warn().Str("event", "leave_failed").Err(err).Msg("")
	}
	cancel()
	deadline := start.Add(i.settings.Bounds.GracePeriod - shutdownReserve)
	time.Sleep(time.Until(start.Add(min(drainNoticeTime, i.settings.Bounds.GracePeriod/2))))
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), deadline)
	defer cancelShutdown()
	shutdown(shutdownCtx, servers.callers)
	shutdown(shutdownCtx, servers.others)
	i.log.Info().Str("event", "stopped").Int64("in_flight", i.guard.Usage().InFlight).Dur("drain", time.Since(start)).Msg("")
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
