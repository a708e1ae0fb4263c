// Package hosted runs an entry instance on a hosting platform that keeps the
// configuration, the entries of backend servers and those of the instances in
// its key-value service. It puts the parts of the product together with the
// formats of package platform.
package hosted

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// memoryPart is the part of the instance's memory that the runtime keeps
	// within; the rest holds the buffers of connections in the kernel.
	memoryPart = 0.6
	// heapPart is the part from which requests are shed.
	heapPart = 0.5
	// filesPerRequest are the connections of a request: the caller's and one to
	// a backend server or another instance.
	filesPerRequest = 2
	// reservedFiles are the descriptors that are not for connections.
	reservedFiles = 300

	readHeaderTimeout = 10 * time.Second
	// idleTimeout exceeds the time that callers may keep a connection idle, so
	// that an idle connection is closed by its caller.
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
	queueEntries   = 1024 // requests of one service and rank that wait
	// bodyPart is the part of the memory for request bodies.
	bodyPart = 8
)

// memberPrefix begins the keys of the instances in the store.
const memberPrefix = "fuchsiastack/instances/"

// Options are the settings that the platform does not give.
type Options struct {
	LogLevel    string
	MetricsPort int // 0 for no metrics
}

// Instance is an entry instance.
type Instance struct {
	settings *platform.Settings
	options  Options
	log      *log.Logger
	lines    *telemetry.Lines
	metrics  *telemetry.Metrics
	observer *telemetry.Observer

	store    *platform.Store
	mirror   *mirror.Mirror
	roster   *roster.Roster
	servers  *servers
	table    *catalog.Table
	registry *backend.Registry

	queue     *admission.Queue
	guard     *overload.Guard
	admission *telemetry.Admission
	traffic   *telemetry.Traffic
	router    *routing.Router
	ejector   *routing.Ejector
	summaries *routing.SummaryTable
	work      *workBudget
	retry     *retry.Policy
	peers     *http.Client
	transport *http.Transport

	draining atomic.Bool
	turn     atomic.Uint64
}

// New puts an instance together. Log lines are written to out.
func New(settings *platform.Settings, options Options, out io.Writer) (*Instance, error) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryPart))
	lines := telemetry.NewLines(out)
	logger := &log.Logger{Level: log.ParseLevel(options.LogLevel), Writer: &log.IOWriter{Writer: lines}}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	observer, err := telemetry.NewAdmission(logger, metrics)
	if err != nil {
		return nil, err
	}
	traffic, err := telemetry.NewTraffic(logger, metrics)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: settings, options: options, log: logger, lines: lines, metrics: metrics,
		observer:  &telemetry.Observer{Log: logger, Metrics: metrics},
		admission: observer,
		traffic:   traffic,
		store:     platform.NewStore(settings.StoreAddr),
		table:     &catalog.Table{},
		registry:  backend.NewRegistry(),
		queue: admission.NewQueue(admission.Bounds{
			// The platform does not name callers, so that one has the whole queue.
			Entries: queueEntries, CallerEntries: queueEntries,
			Bytes: settings.MemoryBytes / bodyPart, CallerBytes: settings.MemoryBytes / bodyPart,
		}, rand.Uint64()),
		guard: overload.NewGuard(overload.Limits{
			InFlight:  int64(max(settings.MaxFiles-reservedFiles, reservedFiles) / filesPerRequest),
			BodyBytes: settings.MemoryBytes / bodyPart,
			HeapBytes: int64(float64(settings.MemoryBytes) * heapPart),
		}),
		summaries: &routing.SummaryTable{},
		work:      newWorkBudget(settings.LinkRate),
		retry:     &retry.Policy{Budgets: retry.NewBudgets(settings.Bounds.RetryRatio, settings.Bounds.RetryBurst)},
	}
	i.transport = i.newTransport(telemetry.ForServers)
	i.peers = &http.Client{Transport: i.newTransport(telemetry.ForQuestions)}
	i.roster = i.newRoster()
	i.servers = newServers(i)
	i.mirror = &mirror.Mirror{
		Feed: i.store, Prefixes: []string{platform.ConfigKey, platform.EvacuatePrefix, platform.ServerPrefix, memberPrefix},
		// Half of the bound leaves the other half to notice a silent connection
		// and to read again.
		Wait:  settings.Bounds.ConfigDelay / 2,
		Peers: i.mirrorPeers, Changed: i.changed, Observer: sourceLog{logger},
	}
	i.roster.Away = i.mirror.Away
	i.router = i.newRouter()
	return i, nil
}

// Run serves until ctx ends, then drains.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	logged := make(chan struct{})
	go func() { i.lines.Run(background); close(logged) }()
	servers, err := i.listen(&group)
	if err != nil {
		return err
	}
	i.startControllers(background, &group)
	i.log.Info().Str("event", "started").Str("instance", i.settings.Instance).Str("region", i.settings.Region).
		Str("zone", i.settings.Zone).Str("callers", i.settings.CallerAddr).Str("peers", i.settings.PeerAddr).Msg("")
	<-ctx.Done()
	i.drain(servers)
	stop()
	err = group.Wait()
	<-logged
	return err
}

// ready reports whether the instance takes requests: it has a configuration
// and does not drain.
func (i *Instance) ready() bool {
	return !i.draining.Load() && i.table.Current() != nil
}

// listeners are the servers that drain ends: callers last, as they may still
// use a connection.
type listeners struct{ callers, others []*http.Server }

func (i *Instance) listen(group *errgroup.Group) (*listeners, error) {
	l := &listeners{}
	handlers := i.newHandlers()
	for _, s := range []struct {
		addr    string
		handler http.Handler
		list    *[]*http.Server
		purpose telemetry.Purpose
	}{
		{i.settings.CallerAddr, handlers.callers, &l.callers, telemetry.ForCallers},
		{i.settings.PeerAddr, handlers.peers, &l.others, telemetry.ForPeers},
		{i.settings.ReadyAddr, handlers.ready, &l.others, telemetry.ForCallers},
		{i.settings.DirectoryAddr, handlers.directory, &l.others, telemetry.ForCallers},
		{i.metricsAddr(), i.metrics, &l.others, telemetry.ForCallers},
	} {
		if s.addr == "" {
			continue
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		*s.list = append(*s.list, server)
		group.Go(func() error {
			if err := server.Serve(i.traffic.Listener(listener, s.purpose)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return l, nil
}

func (i *Instance) metricsAddr() string {
	if i.options.MetricsPort == 0 {
		return ""
	}
	host, _, err := net.SplitHostPort(i.settings.CallerAddr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(i.options.MetricsPort))
}
