package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// Bounds of the listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	stopTimeout       = 5 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	settings Settings
	log      *log.Logger
	metrics  *telemetry.Metrics
	table    *catalog.Table
	registry *backend.Registry
	peers    *peerTable
	store    store.Store
	claims   *claim.Claimer // nil without a claim secret
	platform *platform.Client
	draining atomic.Bool

	callers, peerSide, admin net.Listener
	handlers                 *handlers
}

// New checks the settings and opens the listeners, so that the addresses are
// known before Run.
func New(settings Settings, logger *log.Logger) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		log:      logger,
		metrics:  metrics,
		table:    &catalog.Table{},
		registry: backend.NewRegistry(),
		peers:    &peerTable{},
		store:    consul.New(settings.StoreURL),
		platform: platform.New(settings.PlatformURL),
	}
	if err := d.newClaims(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.handlers = d.newHandlers()
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{{d.settings.Listen, &d.callers}, {d.settings.PeerListen, &d.peerSide}, {d.settings.AdminListen, &d.admin}} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.to = listener
	}
	if d.settings.PublicURL == "" {
		d.settings.PublicURL = "http://" + d.callers.Addr().String()
	}
	if d.settings.PeerAddr == "" {
		d.settings.PeerAddr = d.peerSide.Addr().String()
	}
	return nil
}

// PublicURL returns the base URL for callers.
func (d *Daemon) PublicURL() string { return d.settings.PublicURL }

// AdminAddr returns the address of metrics and status.
func (d *Daemon) AdminAddr() string { return d.admin.Addr().String() }

// Run serves until ctx ends, then drains: it leaves the directory, refuses new
// work and finishes all work in flight.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	servers := []*http.Server{
		d.serve(&group, d.callers, d.handlers.caller),
		d.serve(&group, d.peerSide, d.handlers.peer),
		d.serve(&group, d.admin, d.handlers.admin),
	}
	d.startControllers(background, &group)
	d.log.Info().Str("event", "started").Str("instance", d.settings.Instance).Str("region", d.settings.Region).
		Str("zone", d.settings.Zone).Str("url", d.settings.PublicURL).Msg("")
	<-ctx.Done()
	d.drain(servers)
	stop()
	return group.Wait()
}

func (d *Daemon) serve(group *errgroup.Group, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return server
}

// drain ends the servers after the work in flight.
func (d *Daemon) drain(servers []*http.Server) {
	d.draining.Store(true)
	d.log.Info().Str("event", "draining").Str("instance", d.settings.Instance).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	if err := d.platform.Deregister(ctx, d.settings.Instance); err != nil {
		d.log.Warn().Str("event", "deregister_failed").Err(err).Msg("")
	}
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), d.settings.DrainDeadline)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Error().Str("event", "drain_cut").Err(err).Msg("")
			_ = server.Close()
		}
	}
	ctx, cancelFlush := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelFlush()
	d.flushClaims(ctx)
	d.log.Info().Str("event", "stopped").Str("instance", d.settings.Instance).Msg("")
}

// handlers are the HTTP handlers of the listeners.
type handlers struct{ caller, peer, admin http.Handler }

func (d *Daemon) newHandlers() *handlers {
	observer := &telemetry.Observer{Log: d.log, Metrics: d.metrics}
	dispatcher := d.newDispatcher(observer)
	callerMux := http.NewServeMux()
	callerMux.Handle("GET "+entry.Path, http.HandlerFunc(d.answerEntry))
	callerMux.Handle("/", &gateway.Handler{Chain: d.callerChain(dispatcher.Handle), Observer: observer})
	adminMux := http.NewServeMux()
	adminMux.Handle("GET /metrics", d.metrics)
	adminMux.HandleFunc("GET /status", d.answerStatus)
	return &handlers{
		caller: callerMux,
		peer:   &gateway.Handler{Chain: d.peerChain(dispatcher.Handle), Observer: observer},
		admin:  adminMux,
	}
}

func (d *Daemon) newDispatcher(observer dispatch.Observer) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Instance: d.settings.Instance,
		Region:   d.settings.Region,
		Router: &routing.Router{
			Region:   d.settings.Region,
			Registry: d.registry,
			Regions:  d.peers,
			Filters:  []routing.Filter{routing.AcceptingFilter{}, routing.UntriedFilter{}},
			Scorer:   routing.QueueScorer{ServiceTime: time.Second},
		},
		Peers:      d.peers,
		Transport:  newTransport(),
		PeerScheme: "http",
		Observer:   observer,
	}
}

// Status is what an instance tells of itself.
type Status struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Servers  int    `json:"backend_servers"`
	Draining bool   `json:"draining"`
}

func (d *Daemon) answerStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Instance: d.settings.Instance,
		Region:   d.settings.Region,
		Zone:     d.settings.Zone,
		Servers:  len(d.registry.All()),
		Draining: d.draining.Load(),
	}
	if snapshot := d.table.Current(); snapshot != nil {
		status.Revision = snapshot.Revision
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}
