package telemetry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// Purpose classifies the network traffic of an instance.
type Purpose int

// Purposes of traffic. The first two are for connections that an instance
// accepts, the others for connections that it opens.
const (
	PurposeCallers Purpose = iota // requests of callers, and other HTTP endpoints that are not for instances
	PurposePeers                  // forwarded requests and queries from other instances
	PurposeServers                // attempts at backend servers and other regions
	PurposeQueries                // queries to other instances
	purposeCount
)

// purposeNames are label values of metrics and prefixes of log fields.
var purposeNames = [purposeCount]string{"callers", "peers", "servers", "questions"}

// Traffic counts the bytes that an instance receives and sends and the queries
// between instances, and measures the delay of its timers. Together these
// distinguish a saturated network link from a saturated CPU. It is safe for
// concurrent use, except that LogSummary must not be called concurrently with
// itself.
type Traffic struct {
	log      *log.Logger
	received [purposeCount]atomic.Int64
	sent     [purposeCount]atomic.Int64

	queries       atomic.Int64
	failedQueries atomic.Int64
	responses     atomic.Int64
	responseBytes atomic.Int64

	lastTick     monotonic.Atomic // time of the last call of RecordTick; 0 before the first
	maxTickDelay atomic.Int64     // longest delay of a call of RecordTick since the last report, in ns
	lastReport   trafficCounts    // counters at the last report
}

// trafficCounts is a snapshot of the counters of a Traffic.
type trafficCounts struct {
	received, sent                                   [purposeCount]int64
	queries, failedQueries, responses, responseBytes int64
}

// NewTraffic creates a Traffic and registers its instruments.
func NewTraffic(logger *log.Logger, metrics *Metrics) (*Traffic, error) {
	t := &Traffic{log: logger}
	meter := metrics.Meter()
	bytes, err := meter.Int64ObservableCounter("fuchsia.link.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes over the link, by purpose and direction."))
	if err != nil {
		return nil, errors.Wrap(err, "create counter of link bytes")
	}
	queries, err := meter.Int64ObservableCounter("fuchsia.questions",
		metric.WithDescription("Questions to other instances, by whether an answer came."))
	if err != nil {
		return nil, errors.Wrap(err, "create counter of queries to instances")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for p, name := range purposeNames {
			purpose := attribute.String("purpose", name)
			o.ObserveInt64(bytes, t.received[p].Load(), metric.WithAttributes(purpose, attribute.String("direction", "in")))
			o.ObserveInt64(bytes, t.sent[p].Load(), metric.WithAttributes(purpose, attribute.String("direction", "out")))
		}
		failed := t.failedQueries.Load()
		o.ObserveInt64(queries, failed, metric.WithAttributes(attribute.Bool("answered", false)))
		o.ObserveInt64(queries, t.queries.Load()-failed, metric.WithAttributes(attribute.Bool("answered", true)))
		return nil
	}, bytes, queries)
	if err != nil {
		return nil, errors.Wrap(err, "register callback of traffic counters")
	}
	return t, nil
}

// ReceivedBytes returns the number of bytes received so far on connections for
// purpose.
func (t *Traffic) ReceivedBytes(purpose Purpose) int64 { return t.received[purpose].Load() }

// RecordQuery counts a query to another instance. A non-nil err counts it as
// failed.
func (t *Traffic) RecordQuery(err error) {
	t.queries.Add(1)
	if err != nil {
		t.failedQueries.Add(1)
	}
}

// RecordResponse counts a response to a query of another instance, and its size
// in bytes.
func (t *Traffic) RecordResponse(bytes int) {
	t.responses.Add(1)
	t.responseBytes.Add(int64(bytes))
}

// RecordTick must be called by a timer loop once each interval. It measures how
// much more than interval has passed since the previous call.
func (t *Traffic) RecordTick(now time.Time, interval time.Duration) {
	last := t.lastTick.Swap(monotonic.Of(now))
	if last == 0 {
		return
	}
	delay := int64(last.Since(now) - interval)
	for {
		maxDelay := t.maxTickDelay.Load()
		if delay <= maxDelay || t.maxTickDelay.CompareAndSwap(maxDelay, delay) {
			return
		}
	}
}

// LogSummary writes one log line with the changes of the counters and the
// longest timer delay since the last call. It must not be called concurrently.
func (t *Traffic) LogSummary(context.Context) {
	now := t.counts()
	last := t.lastReport
	t.lastReport = now
	entry := t.log.Info().Str("event", "traffic")
	for p, name := range purposeNames {
		entry = entry.Int64(name+"_in", now.received[p]-last.received[p]).Int64(name+"_out", now.sent[p]-last.sent[p])
	}
	entry.Int64("asked", now.queries-last.queries).Int64("unanswered", now.failedQueries-last.failedQueries).
		Int64("answered", now.responses-last.responses).Int64("answered_bytes", now.responseBytes-last.responseBytes).
		Dur("timers_late", time.Duration(t.maxTickDelay.Swap(0))).Msg("")
}

func (t *Traffic) counts() trafficCounts {
	c := trafficCounts{
		queries: t.queries.Load(), failedQueries: t.failedQueries.Load(), responses: t.responses.Load(), responseBytes: t.responseBytes.Load(),
	}
	for p := range purposeCount {
		c.received[p], c.sent[p] = t.received[p].Load(), t.sent[p].Load()
	}
	return c
}

// WrapListener wraps l so that the bytes of its connections are counted for
// purpose.
func (t *Traffic) WrapListener(l net.Listener, purpose Purpose) net.Listener {
	return &countedListener{Listener: l, traffic: t, purpose: purpose}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
	purpose Purpose
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.count(conn, l.purpose), nil
}

// WrapDial wraps dial so that the bytes of its connections are counted for
// purpose.
func (t *Traffic) WrapDial(dial func(ctx context.Context, network, addr string) (net.Conn, error), purpose Purpose) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return t.count(conn, purpose), nil
	}
}

func (t *Traffic) count(conn net.Conn, purpose Purpose) net.Conn {
	return &countedConn{Conn: conn, received: &t.received[purpose], sent: &t.sent[purpose]}
}

// countedConn is a connection that adds its received and sent bytes to counters.
type countedConn struct {
	net.Conn
	received, sent *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side of the connection if the connection supports
// that, and does nothing otherwise. The HTTP server of net/http calls it before
// it closes some connections.
func (c *countedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
