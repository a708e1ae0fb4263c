// Package hosted runs an entry instance on a hosting platform that keeps the
// configuration, the entries of backend servers and those of the instances in
// its key-value service. It connects the components of the gateway and uses the
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
	"github.com/fuchsiastack/fuchsiastack/drain"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/quota"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// memoryLimitFraction is the fraction of the instance's memory that the Go
	// runtime may use. The rest holds the kernel's connection buffers.
	memoryLimitFraction = 0.6
	// heapShedFraction is the fraction of the instance's memory that the heap may
	// reach before requests are shed.
	heapShedFraction = 0.5
	// filesPerRequest counts the connections of a request: one from the caller
	// and one to a backend server or another instance.
	filesPerRequest = 2
	// reservedFiles is the number of file descriptors that are not for connections.
	reservedFiles = 300

	readHeaderTimeout = 10 * time.Second
	// idleTimeout exceeds the time that callers may keep a connection idle, so
	// that the caller, not the server, closes an idle connection.
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
	queueEntries   = 1024 // queued requests of one service and rank
	// bodyMemoryDivisor is the ratio of the instance's memory to the limit for
	// request bodies.
	bodyMemoryDivisor = 8
)

// instanceKeyPrefix is the prefix of the keys of the instances in the store.
const instanceKeyPrefix = "fuchsiastack/instances/"

// Options are the settings that the platform does not provide.
type Options struct {
	LogLevel    string
	MetricsPort int // 0 disables metrics
	// Heap returns the size of the heap, in bytes, by which requests are shed. Nil means
	// that of the process, of which the instance must then be the only one.
	Heap func() int64
	// Concurrency selects where the concurrency that servers handle well is used.
	Concurrency ConcurrencyUse
}

// Instance is an entry instance.
type Instance struct {
	settings  *platform.Settings
	options   Options
	log       *log.Logger
	logWriter *telemetry.AsyncWriter
	metrics   *telemetry.Metrics
	observer  *telemetry.Observer

	store    *platform.Store
	mirror   *mirror.Mirror
	roster   *roster.Roster
	servers  *servers
	table    *catalog.Table
	registry *backend.Registry

	queue         *admission.Queue
	guard         *overload.Guard
	admission     *telemetry.AdmissionObserver
	traffic       *telemetry.Traffic
	directory     *telemetry.Directory
	usage         *routeUsage
	router        *routing.Router
	ejector       *routing.Ejector
	summaries     *routing.SummaryTable
	reportBudget  *byteBudget // placements and evidence against parts
	relayBudget   *byteBudget // changes of the store
	exchanger     *exchanger
	retry         *retry.Policy
	serverLeases  *serverLeases
	serverChecker *serverChecker
	origins       *origins
	versions      *versions
	quotas        *quota.Limiter
	quotaObserver *telemetry.Quotas
	parts         *quarantine.Parts
	peers         *http.Client
	transport     *http.Transport

	gate            drain.Gate
	draining        atomic.Bool
	listed          atomic.Bool               // the store has listed this process
	noticeEnd       atomic.Pointer[time.Time] // of the drain; nil before it
	noticedRequests atomic.Int64              // see countNoticedRequests
	requests        context.Context
	cancelRequests  context.CancelCauseFunc // ends requests

	partsKnown  chan struct{} // closed when what other instances know of parts has been requested
	peerCounter atomic.Uint64
}

// New assembles an instance and sets the memory limit of the Go runtime. Log
// lines are written to out.
func New(settings *platform.Settings, options Options, out io.Writer) (*Instance, error) {
	if err := options.Concurrency.Validate(); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitFraction))
	logWriter := telemetry.NewAsyncWriter(out)
	logger := &log.Logger{Level: log.ParseLevel(options.LogLevel), Writer: &log.IOWriter{Writer: logWriter}}
	if options.Heap == nil {
		options.Heap = overload.ReadHeap
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	admissionObserver, err := telemetry.NewAdmissionObserver(logger, metrics)
	if err != nil {
		return nil, err
	}
	traffic, err := telemetry.NewTraffic(logger, metrics)
	if err != nil {
		return nil, err
	}
	bounds := &settings.Bounds
	quotas := quota.New(time.Now(), quota.Bounds{Window: bounds.QuotaWindow, Excess: bounds.QuotaExcess, Margin: bounds.QuotaMargin})
	quotaObserver, err := telemetry.NewQuotas(admissionObserver, quotas)
	if err != nil {
		return nil, err
	}
	directory, err := telemetry.NewDirectory(logger, metrics)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: settings, options: options, log: logger, logWriter: logWriter, metrics: metrics,
		observer:  &telemetry.Observer{Log: logger, Metrics: metrics},
		admission: admissionObserver,
		traffic:   traffic,
		directory: directory,
		quotas:    quotas, quotaObserver: quotaObserver,
		usage:    &routeUsage{},
		store:    platform.NewStore(settings.StoreAddr),
		table:    &catalog.Table{},
		registry: backend.NewRegistry(),
		queue: admission.NewQueue(admission.Bounds{
			// An organization may use the whole queue while others do not need it, so the
			// limits per caller equal those of the queue. In a full queue, requests of the
			// caller that uses most of it are displaced.
			Entries: queueEntries, CallerEntries: queueEntries,
			Bytes: settings.MemoryBytes / bodyMemoryDivisor, CallerBytes: settings.MemoryBytes / bodyMemoryDivisor,
		}, rand.Uint64()),
		guard: overload.NewGuard(overload.Limits{
			InFlight:  int64(max(settings.MaxFiles-reservedFiles, reservedFiles) / filesPerRequest),
			BodyBytes: settings.MemoryBytes / bodyMemoryDivisor,
			HeapBytes: int64(float64(settings.MemoryBytes) * heapShedFraction),
		}),
		summaries:    &routing.SummaryTable{},
		reportBudget: newByteBudget(settings.LinkRate, reportLinkFraction),
		relayBudget:  newByteBudget(settings.LinkRate, relayLinkFraction),
		retry:        &retry.Policy{Budgets: retry.NewBudgets(settings.Bounds.RetryRatio, settings.Bounds.RetryBurst, settings.Bounds.RetryWindow)},
	}
	i.registry.LearnConcurrency = options.Concurrency != ConcurrencyOff
	i.requests, i.cancelRequests = context.WithCancelCause(context.Background())
	i.parts = &quarantine.Parts{Observer: i.observer, RetryDelay: rand.N(quarantine.MaxRetryDelay)}
	i.partsKnown = make(chan struct{})
	i.store.ItemsSkipped = func(prefix string, revision uint64, err error) {
		i.observer.EntryRejected(telemetry.StoreItem, prefix, revision, err)
	}
	i.transport = i.newTransport(telemetry.PurposeServers)
	i.peers = &http.Client{Transport: i.newTransport(telemetry.PurposeQueries)}
	i.roster = i.newRoster()
	i.servers = newServers(i)
	i.mirror = &mirror.Mirror{
		Feed: i.store, Prefixes: []string{platform.ConfigKey, platform.EvacuatePrefix, platform.ServerPrefix, instanceKeyPrefix, versionsPrefix},
		// The other half of the bound is left for detecting an unresponsive
		// connection and reading again.
		Wait:  settings.Bounds.ConfigDelay / 2,
		Peers: i.mirrorPeers, Changed: i.applyChanges, Observer: storeLog{i},
		Relay: i.storeRelay,
	}
	i.roster.StoreOutage = i.mirror.Outage
	i.serverLeases = newServerLeases(i)
	i.serverChecker = newServerChecker(i)
	i.origins, i.versions = newOrigins(i), newVersions(i)
	i.store.NewEra = i.applyEra
	i.router = i.newRouter()
	i.exchanger = newExchanger(i)
	return i, nil
}

// Run serves requests until ctx ends, then drains the instance.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	logWriterDone := make(chan struct{})
	go func() { i.logWriter.Run(background); close(logWriterDone) }()
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
	<-logWriterDone
	return err
}

// ready reports whether the instance accepts requests: it has a configuration and the
// other entries of the store, has asked for the parts of prompts that crash servers, and
// is not draining.
func (i *Instance) ready() bool {
	select {
	case <-i.partsKnown:
	default:
		return false
	}
	return !i.draining.Load() && i.table.Current() != nil && !i.mirror.Revision().IsZero()
}

// httpServers are the servers that drain shuts down: those for callers first,
// then the others.
type httpServers struct{ callers, others []*http.Server }

func (i *Instance) listen(group *errgroup.Group) (*httpServers, error) {
	servers := &httpServers{}
	handlers := i.newHandlers()
	for _, s := range []struct {
		addr    string
		handler http.Handler
		list    *[]*http.Server
		purpose telemetry.Purpose
	}{
		{i.settings.CallerAddr, handlers.callers, &servers.callers, telemetry.PurposeCallers},
		{i.settings.PeerAddr, handlers.peers, &servers.others, telemetry.PurposePeers},
		{i.settings.ReadyAddr, handlers.ready, &servers.others, telemetry.PurposeCallers},
		{i.settings.DirectoryAddr, handlers.directory, &servers.others, telemetry.PurposeCallers},
		{i.metricsAddr(), i.metrics, &servers.others, telemetry.PurposeCallers},
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
			BaseContext: func(net.Listener) context.Context { return i.requests },
		}
		*s.list = append(*s.list, server)
		group.Go(func() error {
			if err := server.Serve(i.traffic.WrapListener(listener, s.purpose)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return servers, nil
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
