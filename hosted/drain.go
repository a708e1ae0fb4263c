package hosted

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// noticeTime is how long a draining instance takes new connections: callers
	// keep an answer of the directory for three times its life.
	noticeTime = 3*directoryTTL + 500*time.Millisecond
	// stopReserve is left of the time until the process is killed.
	stopReserve  = 700 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
)

// drain leaves the directory, serves what still arrives until no caller knows
// the instance any more, and ends what is in flight.
func (i *Instance) drain(l *listeners) {
	begun := time.Now()
	i.draining.Store(true)
	i.log.Info().Str("event", "draining").Int64("in_flight", i.guard.Held().InFlight).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := i.roster.Leave(ctx); err != nil {
		i.log.Warn().Str("event", "leave_failed").Err(err).Msg("")
	}
	cancel()
	deadline := begun.Add(i.settings.Bounds.StopTime - stopReserve)
	time.Sleep(time.Until(begun.Add(min(noticeTime, i.settings.Bounds.StopTime/2))))
	end, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	shutdown(end, l.callers)
	shutdown(end, l.others)
	i.log.Info().Str("event", "stopped").Int64("in_flight", i.guard.Held().InFlight).Dur("drain", time.Since(begun)).Msg("")
}

// shutdown ends servers after what they have in flight, or when ctx ends.
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
