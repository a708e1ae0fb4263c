package hosted

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// maxAnswerAge is how long ago the store may have answered a call until the list of
	// servers counts as out of date. Each instance makes a call more often than that.
	maxAnswerAge = 2500 * time.Millisecond
	// maxCallTime is how long a call of the store may take until the list counts as out of
	// date: longer than the calls of a slow store.
	maxCallTime = 600 * time.Millisecond
	// settleTime is how long the list counts as out of date after the store has returned: two
	// heartbeats of a backend server, whose entry changes with them.
	settleTime = 2500 * time.Millisecond
	// warmTTL is how long the answer of a warm server holds. It limits the queries to a busy
	// server; a server that turns cold meanwhile receives the requests of that time.
	warmTTL      = 20 * time.Millisecond
	checkTimeout = 250 * time.Millisecond
	// uncheckedTime is how long a server that did not answer is not asked again.
	uncheckedTime  = 250 * time.Millisecond
	maxHealthBytes = 4 << 10
)

// serverChecker asks backend servers whether their caches are warm while the list of
// servers is out of date. A server that has turned cold would otherwise receive the requests
// of all instances without a limit.
type serverChecker struct {
	instance *Instance
	client   *http.Client
	flights  singleflight.Group // by server id

	wasCurrent atomic.Bool      // the list has been up to date
	outdatedAt monotonic.Atomic // when the list was last out of date after that; zero: never
}

func newServerChecker(i *Instance) *serverChecker {
	return &serverChecker{instance: i, client: &http.Client{
		Transport:     i.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// listCurrent implements the ListCurrent function of routing.SharedLimits.
func (c *serverChecker) listCurrent() bool {
	now, i := time.Now(), c.instance
	if i.mirror.Current() && i.store.AnswerAge() <= maxAnswerAge && i.store.LongestCall() <= maxCallTime {
		c.wasCurrent.Store(true)
		return c.outdatedAt.Load().Since(now) > settleTime
	}
	if c.wasCurrent.Load() {
		c.outdatedAt.Store(monotonic.Of(now))
	}
	return false
}

// check implements the CheckServer function of dispatch.Dispatcher.
func (c *serverChecker) check(ctx context.Context, service *catalog.Service, server *backend.Server) bool {
	now := time.Now()
	if !c.instance.router.Limits.MayBeCold(now, service, server) || server.WarmWithin(now, warmTTL) {
		return true
	}
	result := c.flights.DoChan(server.ID, func() (any, error) {
		return c.query(context.WithoutCancel(ctx), service, server), nil
	})
	select {
	case r := <-result:
		warm, _ := r.Val.(bool)
		return warm
	case <-ctx.Done():
		return false
	}
}

// query asks a server for its state, applies the answer to it, and reports whether its caches
// are warm.
func (c *serverChecker) query(ctx context.Context, service *catalog.Service, server *backend.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	start := time.Now()
	health, err := c.fetch(ctx, service, server)
	now := time.Now()
	result := telemetry.ServerCheck{Server: server, Elapsed: now.Sub(start), Warmup: health.Warmup, Err: err}
	switch {
	case errors.Is(err, platform.ErrOtherProcess), err == nil && health.Draining:
		server.SetDraining()
		result.State = telemetry.ServerLeaving
	case refused(err):
		// The server may return with cold caches before its entry shows it.
		server.ExtendCold(now.Add(service.Warmup.Time))
		server.ExcludeUnchecked(now.Add(uncheckedTime))
		if ejection, changed := c.instance.ejector.Unreachable(now, server, false); changed {
			c.instance.observer.EjectionChanged(ejection)
		}
		result.State = telemetry.ServerCheckFailed
	case err != nil:
		server.ExcludeUnchecked(now.Add(uncheckedTime))
		result.State = telemetry.ServerCheckFailed
	case health.Warmup > 0:
		server.ExtendCold(now.Add(health.Warmup))
		result.State = telemetry.ServerCold
	default:
		server.SetWarm(start)
		result.State = telemetry.ServerWarm
	}
	c.instance.observer.ServerChecked(result)
	return result.State == telemetry.ServerWarm
}

// refused reports whether a call failed because nothing accepts connections at the address.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (c *serverChecker) fetch(ctx context.Context, service *catalog.Service, server *backend.Server) (platform.Health, error) {
	req, err := platform.NewHealthRequest(ctx, server, service.HealthPath)
	if err != nil {
		return platform.Health{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return platform.Health{}, err
	}
	defer resp.Body.Close()
	// The connection can be used again only after the body has been read.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes)); err != nil {
		return platform.Health{}, err
	}
	return platform.ReadHealth(server, resp)
}
