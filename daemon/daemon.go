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

// Bounds of the listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	stopTimeout       = 5 * time.Second
	// answerTimeout bounds a whole answer. It also renews the deadline of a
	// connection's writes with each request, so that the shorter one of the
	// last answer does not reach the next.
	answerTimeout = catalog.MaxDeadline + time.Minute
)

// Daemon is one entry instance.
type Daemon struct {
	settings Settings
	log      *log.Logger
	journal  *telemetry.Journal
	metrics  *telemetry.Metrics
	table    *catalog.Table
	registry *backend.Registry
	peers    *peerTable
	claims   *claim.Claimer // nil without a digest key
	config   *configsync.Follower
	orders   *orders.Controller
	store    *budget.Store
	listing  *listing.Client
	routes   *routes
	observer *telemetry.Observer
	peering  *peering
	members  *membership.Runner
	carrier  *exchange.Carrier
	loads    *load.Follower
	entries  entries
	joined   atomic.Bool // callers may be sent here
	draining atomic.Bool
	accepted inFlight // requests that arrived before draining

	admission *admissionControl
	topics    []exchange.Topic // what the instances of the region exchange

	callers, peerSide, admin, control net.Listener
	handlers                          *handlers
}

// New checks the settings and opens the listeners, so that the addresses are
// known before Run. Log lines are written to out.
func New(settings Settings, out io.Writer) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	journal := telemetry.NewJournal(out)
	logger := &log.Logger{Level: log.ParseLevel(settings.Log), Writer: &log.IOWriter{Writer: journal}}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		log:      logger,
		journal:  journal,
		metrics:  metrics,
		table:    &catalog.Table{},
		registry: backend.NewRegistry(),
		peers:    &peerTable{},
		listing:  listing.New(settings.PlatformURL),
	}
	kv := budget.New(consul.New(settings.StoreURL), budget.DefaultLimits(), d.fleetSize)
	d.store = kv
	d.config = d.newConfigFollower(kv)
	d.orders = d.newOrders(kv)
	if err := d.newClaims(kv); err != nil {
		return nil, err
	}
	admissionObserver, err := telemetry.NewAdmission(logger, metrics)
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
	if err := d.newMembers(); err != nil {
		return nil, err
	}
	if err := d.peering.server.Register(listService, ListService{d.registry}); err != nil {
		return nil, err
	}
	if err := d.peering.server.Register(configsync.ServiceName, configsync.Service{Follower: d.config}); err != nil {
		return nil, err
	}
	d.observer = &telemetry.Observer{Log: logger, Metrics: metrics}
	d.routes = d.newRoutes()
	d.loads = d.newLoads()
	d.entries = d.newEntries()
	d.topics = d.newTopics()
	if err := d.newCarrier(); err != nil {
		return nil, err
	}
	d.handlers = d.newHandlers()
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{{d.settings.Listen, &d.callers}, {d.settings.PeerListen, &d.peerSide}, {d.settings.AdminListen, &d.admin}, {d.settings.ControlListen, &d.control}} {
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
	if d.settings.ControlAddr == "" {
		d.settings.ControlAddr = d.control.Addr().String()
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
		d.serve(&group, d.peering.secure(d.peerSide), d.handlers.peer),
		d.serve(&group, d.admin, d.handlers.admin),
	}
	group.Go(func() error { return d.peering.server.Serve(d.control) })
	d.startControllers(background, &group)
	d.log.Info().Str("event", "started").Str("instance", d.settings.Instance).Str("region", d.settings.Region).
		Str("zone", d.settings.Zone).Str("url", d.settings.PublicURL).Str("admin", d.AdminAddr()).
		Str("control", d.settings.ControlAddr).Msg("")
	<-ctx.Done()
	d.drain(servers)
	d.endMembership()
	stop()
	d.peering.close(d.control)
	return group.Wait()
}

func (d *Daemon) serve(group *errgroup.Group, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           d.followDrain(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		WriteTimeout:      answerTimeout,
	}
	if listener == d.callers {
		listener = d.admission.boundConnections(server, listener)
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
	callerMux.Handle("GET "+entry.Path, http.HandlerFunc(d.answerEntry))
	callerMux.HandleFunc("GET "+rollout.RevisionPath, d.answerRevision)
	callerMux.Handle("/", &gateway.Handler{Chain: d.callerChain(dispatcher.Handle), Observer: observer})
	adminMux := http.NewServeMux()
	adminMux.Handle("GET /metrics", d.metrics)
	adminMux.HandleFunc("GET /status", d.answerStatus)
	adminMux.HandleFunc("GET "+ExplainPath, d.answerExplain)
	return &handlers{
		caller: callerMux,
		peer:   &gateway.Handler{Chain: d.peerChain(dispatcher.Handle), Observer: observer, Acknowledge: true},
		admin:  adminMux,
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
	Members  int    `json:"members"` // instances known, with this one

	Control peer.Counts   `json:"control"` // traffic with other instances
	Store   budget.Counts `json:"store"`   // calls of the platform's key-value service
}

func (d *Daemon) answerStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Instance: d.settings.Instance,
		Region:   d.settings.Region,
		Zone:     d.settings.Zone,
		Servers:  len(d.registry.All()),
		Draining: d.draining.Load(),
		Members:  d.members.Machine.View().Size(),
		Control:  d.peering.traffic.Counts(),
		Store:    d.store.Counts(),
	}
	if snapshot := d.table.Current(); snapshot != nil {
		status.Revision = snapshot.Revision
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}
