package daemon

import (
	"context"
	"encoding/json"
	"io"
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
	"github.com/fuchsiastack/fuchsiastack/configsync"
	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/load"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/orders"
	"github.com/fuchsiastack/fuchsiastack/peer"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/store/budget"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// Limits of the HTTP servers, and the timeout of single steps of the shutdown.
const (
	readHeaderTimeout   = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	maxHeaderBytes      = 32 << 10
	shutdownStepTimeout = 5 * time.Second
	// responseTimeout bounds a whole response. As the WriteTimeout of the HTTP
	// servers it also resets the write deadline of a connection for each request.
	// Otherwise the shorter deadline that filters.Overload sets for each write
	// would carry over to the next response on the connection.
	responseTimeout = catalog.MaxDeadline + time.Minute
)

// Daemon is one entry instance.
type Daemon struct {
	settings         Settings
	log              *log.Logger
	recentLog        *telemetry.RecentLog
	metrics          *telemetry.Metrics
	table            *catalog.Table
	registry         *backend.Registry
	peers            *peerTable
	claimer          *claim.Claimer // nil without a digest key
	config           *configsync.Follower
	orders           *orders.Controller
	store            *budget.Store
	listing          *listing.Client
	routingState     *routingState
	observer         *telemetry.Observer
	peering          *peering
	membershipRunner *membership.Runner
	gossiper         *exchange.Gossiper
	loadTracker      *load.Tracker
	entryService     entryService
	joined           atomic.Bool // callers may be directed to this instance
	draining         atomic.Bool
	preDrainRequests inFlightCounter // requests that arrived before draining
	requests         context.Context
	cancelRequests   context.CancelCauseFunc // ends requests

	admission *admissionControl
	topics    []exchange.Topic // state that the instances of the region exchange

	callerListener, peerListener, adminListener, controlListener net.Listener
	handlers                                                     *handlers
}

// New checks the settings and opens the listeners, so that their addresses are
// available before Run. Log lines are written to out.
func New(settings Settings, out io.Writer) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	recentLog := telemetry.NewRecentLog(out)
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: recentLog}}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:  settings,
		log:       logger,
		recentLog: recentLog,
		metrics:   metrics,
		table:     &catalog.Table{},
		registry:  backend.NewRegistry(),
		peers:     &peerTable{},
		listing:   listing.New(settings.PlatformURL),
	}
	d.requests, d.cancelRequests = context.WithCancelCause(context.Background())
	kv := budget.New(consul.New(settings.StoreURL), budget.DefaultLimits(), d.fleetSize)
	d.store = kv
	d.config = d.newConfigFollower(kv)
	d.orders = d.newOrders(kv)
	if err := d.newClaimer(kv); err != nil {
		return nil, err
	}
	admissionObserver, err := telemetry.NewAdmissionObserver(logger, metrics)
	if err != nil {
		return nil, err
	}
	if d.admission, err = newAdmissionControl(&d.settings, admissionObserver); err != nil {
		return nil, err
	}
	if d.peering, err = newPeering(&settings); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.newMembership(); err != nil {
		return nil, err
	}
	if err := d.peering.server.Register(listServiceName, ListService{d.registry}); err != nil {
		return nil, err
	}
	if err := d.peering.server.Register(configsync.ServiceName, configsync.Service{Follower: d.config}); err != nil {
		return nil, err
	}
	d.observer = &telemetry.Observer{Log: logger, Metrics: metrics}
	d.listing.RejectedServer = func(object string, err error) { d.observer.EntryRejected(telemetry.ServerEntry, object, 0, err) }
	d.listing.RejectedInstance = func(object string, err error) { d.observer.EntryRejected(telemetry.InstanceEntry, object, 0, err) }
	d.routingState = d.newRoutingState()
	d.loadTracker = d.newLoadTracker()
	d.entryService = d.newEntryService()
	d.topics = d.newTopics()
	if err := d.newGossiper(); err != nil {
		return nil, err
	}
	d.handlers = d.newHandlers()
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		dest *net.Listener
	}{{d.settings.Listen, &d.callerListener}, {d.settings.PeerListen, &d.peerListener}, {d.settings.AdminListen, &d.adminListener}, {d.settings.ControlListen, &d.controlListener}} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.dest = listener
	}
	if d.settings.PublicURL == "" {
		d.settings.PublicURL = "http://" + d.callerListener.Addr().String()
	}
	if d.settings.PeerAddr == "" {
		d.settings.PeerAddr = d.peerListener.Addr().String()
	}
	if d.settings.ControlAddr == "" {
		d.settings.ControlAddr = d.controlListener.Addr().String()
	}
	return nil
}

// PublicURL returns the base URL announced to callers.
func (d *Daemon) PublicURL() string { return d.settings.PublicURL }

// AdminAddr returns the host:port of the admin listener, which serves metrics,
// status and ExplainPath.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }

// Run serves requests until ctx ends and then drains: it deregisters from the
// directory, refuses new requests and waits for the requests in flight, for
// DrainNotice plus DrainDeadline at most.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	servers := []*http.Server{
		d.serve(&group, d.callerListener, d.handlers.caller),
		d.serve(&group, d.peering.wrapTLS(d.peerListener), d.handlers.peer),
		d.serve(&group, d.adminListener, d.handlers.admin),
	}
	group.Go(func() error { return d.peering.server.Serve(d.controlListener) })
	d.startControllers(background, &group)
	d.log.Info().Str("event", "started").Str("instance", d.settings.Instance).Str("region", d.settings.Region).
		Str("zone", d.settings.Zone).Str("url", d.settings.PublicURL).Str("admin", d.AdminAddr()).
		Str("control", d.settings.ControlAddr).Msg("")
	<-ctx.Done()
	d.drain(servers)
	d.leaveMembership()
	stop()
	d.peering.close(d.controlListener)
	return group.Wait()
}

func (d *Daemon) serve(group *errgroup.Group, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           d.trackInFlight(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		WriteTimeout:      responseTimeout,
		BaseContext:       func(net.Listener) context.Context { return d.requests },
	}
	if listener == d.callerListener {
		listener = d.admission.limitConnections(server, listener)
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return server
}

// handlers are the HTTP handlers of the listeners.
type handlers struct{ caller, peer, admin http.Handler }

func (d *Daemon) newHandlers() *handlers {
	observer := d.observer
	dispatcher := d.newDispatcher(observer)
	callerMux := http.NewServeMux()
	callerMux.Handle("GET "+entry.Path, http.HandlerFunc(d.handleEntry))
	callerMux.HandleFunc("GET "+rollout.RevisionPath, d.handleRevision)
	callerMux.Handle("/", &gateway.Handler{Chain: d.callerChain(dispatcher.Handle), Observer: observer})
	adminMux := http.NewServeMux()
	adminMux.Handle("GET /metrics", d.metrics)
	adminMux.HandleFunc("GET /status", d.handleStatus)
	adminMux.HandleFunc("GET "+ExplainPath, d.handleExplain)
	return &handlers{
		caller: callerMux,
		peer:   &gateway.Handler{Chain: d.peerChain(dispatcher.Handle), Observer: observer, Codec: gateway.ForwardedCodec{}, Acknowledge: true},
		admin:  adminMux,
	}
}

// Status is the response body of "/status" on the admin listener.
type Status struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Servers  int    `json:"backend_servers"`
	Draining bool   `json:"draining"`
	Members  int    `json:"members"` // live instances of all regions, including this one

	Control peer.Counts   `json:"control"` // traffic with other instances
	Store   budget.Counts `json:"store"`   // calls to the platform's key-value service
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Instance: d.settings.Instance,
		Region:   d.settings.Region,
		Zone:     d.settings.Zone,
		Servers:  len(d.registry.All()),
		Draining: d.draining.Load(),
		Members:  d.membershipRunner.StateMachine.View().Size(),
		Control:  d.peering.traffic.Counts(),
		Store:    d.store.Counts(),
	}
	if snapshot := d.table.Current(); snapshot != nil {
		status.Revision = snapshot.Revision
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}
