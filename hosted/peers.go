package hosted

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/progress"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// Paths of the queries between instances.
const (
	changesPath = "/fuchsia/changes"
	statePath   = "/fuchsia/state"
)

// Limits of the responses that contain placements or evidence against parts. On a link
// with little bandwidth, requests and connection closes wait behind such responses.
const (
	// reportLinkFraction is the fraction of the link rate that such responses may
	// use.
	reportLinkFraction = 0.05
	// reportBurst limits the bytes sent at once to those that accrue in this time
	// at the budgeted rate.
	reportBurst = time.Second
	// defaultLinkBytesPerSecond is used if the link rate is unknown.
	defaultLinkBytesPerSecond = 10e6 / 8
)

const (
	maxPeerResponseBytes = 8 << 20
	// remoteStallTimeout is the longest time without data during a query that may
	// go to another region: two round trips, as the connection may be new.
	remoteStallTimeout = 400 * time.Millisecond
	// aliveStallTimeout is longer than remoteStallTimeout, as an instance that does
	// not respond is considered gone.
	aliveStallTimeout = 700 * time.Millisecond
	// mirrorPeerCount is how many instances are queried for changes at once.
	mirrorPeerCount = 3

	dialTimeout = time.Second
	// unackedTimeout is how long sent bytes may remain unacknowledged before the
	// connection is considered lost.
	unackedTimeout = 2 * time.Second
	// idleConnTime is shorter than the time after which servers close idle
	// connections.
	idleConnTime        = 2500 * time.Millisecond
	maxIdleConnsPerHost = 64
)

// newTransport returns a transport to backend servers or instances. Its
// connections detect that the other end has become unresponsive.
func (i *Instance) newTransport(purpose telemetry.Purpose) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var sockErr error
			err := conn.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return &http.Transport{
		DialContext:         dispatch.GuardDial(i.traffic.WrapDial(dialer.DialContext, purpose)),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dispatch.MaxResponseHeaderBytes,
	}
}

// stateResponse is the state that an instance reports of itself and its region.
type stateResponse struct {
	ID      string                 `json:"id"`
	Started int64                  `json:"started"`
	Ready   bool                   `json:"ready"`
	Usage   map[string]float64     `json:"usage,omitempty"` // recent requests of callers by route, for routes with homes
	Parts   *quarantine.PartReport `json:"parts,omitempty"`
}

// newPeerHandler returns the handler for other instances. It passes the requests
// that they forward to forwarded and serves their queries itself.
func (i *Instance) newPeerHandler(forwarded http.Handler) http.Handler {
	queries := http.NewServeMux()
	queries.HandleFunc("GET "+changesPath, i.serveChanges)
	queries.HandleFunc("GET "+statePath, i.serveState)
	queries.HandleFunc("POST "+exchangePath, i.exchanger.serveExchange)
	queries.HandleFunc("GET "+originPath, i.origins.serveOrigin)
	queries.HandleFunc("POST "+originPath, i.origins.archive.serveRecords)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(filters.HopOriginHeader) != "" {
			forwarded.ServeHTTP(w, r)
			return
		}
		queries.ServeHTTP(w, r)
	})
}

func (i *Instance) serveState(w http.ResponseWriter, r *http.Request) {
	response := stateResponse{ID: i.settings.Instance, Started: i.roster.Self.Started, Ready: i.ready()}
	if r.URL.Query().Has("usage") {
		response.Usage = i.usage.report(time.Now())
	}
	if since := r.URL.Query().Get("parts"); since != "" {
		version, err := strconv.ParseUint(since, 10, 64)
		if err != nil {
			http.Error(w, "parts: want a number", http.StatusBadRequest)
			return
		}
		response.Parts = i.parts.Report(time.Now(), version)
	}
	size := i.writeJSON(w, response)
	if response.Parts != nil {
		i.reportBudget.spend(size)
	}
}

// byteBudget limits the bytes of some responses to other instances.
type byteBudget struct {
	rate float64 // bytes per second

	mu     sync.Mutex
	bucket routing.Bucket
}

// newByteBudget returns a budget of a fraction of the link rate.
func newByteBudget(linkRate, fraction float64) *byteBudget {
	if linkRate <= 0 {
		linkRate = defaultLinkBytesPerSecond
	}
	return &byteBudget{rate: linkRate * fraction}
}

// take takes bytes from the budget and reports whether it had that many.
func (b *byteBudget) take(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(time.Now(), float64(bytes), b.rate, b.rate*reportBurst.Seconds())
}

// available reports whether another report may be sent. It takes nothing from the
// budget, as the size of the response is not known yet.
func (b *byteBudget) available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(time.Now(), 0, b.rate, b.rate*reportBurst.Seconds())
}

func (b *byteBudget) spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.Spend(time.Now(), float64(bytes), b.rate, b.rate*reportBurst.Seconds())
}

// writeJSON writes v as the response and returns its size in bytes.
func (i *Instance) writeJSON(w http.ResponseWriter, v any) int {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(v)
	if err == nil {
		i.traffic.RecordResponse(len(body))
		_, err = w.Write(body)
	}
	if err != nil {
		i.log.Warn().Str("event", "peer_answer_failed").Err(err).Msg("")
	}
	return len(body)
}

// peerQuery is a query to another instance.
type peerQuery struct {
	addr, path   string
	params       url.Values
	stallTimeout time.Duration // longest time without data of the response
}

// queryPeer sends a query to another instance, decodes the response into result
// and counts whether the query succeeded.
func (i *Instance) queryPeer(ctx context.Context, q peerQuery, result any) error {
	err := i.doQuery(ctx, q, result)
	i.traffic.RecordQuery(err)
	return err
}

func (i *Instance) doQuery(ctx context.Context, q peerQuery, result any) error {
	return i.do(ctx, http.MethodGet, q.addr+q.path+"?"+q.params.Encode(), q.stallTimeout, http.NoBody, result)
}

// do sends a message to another instance at target, a host:port with a path, and
// decodes the response into result.
func (i *Instance) do(ctx context.Context, method, target string, stallTimeout time.Duration, message io.Reader, result any) error {
	ctx, timer := progress.WithTimeout(ctx, stallTimeout)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, message)
	if err != nil {
		return err
	}
	resp, err := i.peers.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(timer.Reader(resp.Body), maxPeerResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response of http://%s", target)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s http://%s: status %d", method, target, resp.StatusCode)
	}
	return json.Unmarshal(body, result)
}

// checkAlive implements roster.Probe.
func (i *Instance) checkAlive(ctx context.Context, instance roster.Instance) error {
	var state stateResponse
	if err := i.queryPeer(ctx, peerQuery{instance.PeerAddr, statePath, nil, aliveStallTimeout}, &state); err != nil {
		return err
	}
	if state.ID != instance.ID || state.Started != instance.Started {
		return errors.Errorf("address %s belongs to instance %s started at %d, not to %s started at %d", instance.PeerAddr, state.ID, state.Started, instance.ID, instance.Started)
	}
	if !state.Ready {
		return errors.Errorf("instance %s at %s is not ready", instance.ID, instance.PeerAddr)
	}
	return nil
}

// mirrorPeers returns the instances to query for changes of the store: some of
// this region and one of another, or the seeds while no other instance is known.
func (i *Instance) mirrorPeers() []mirror.Peer {
	var near, far []string
	for _, other := range i.roster.Live() {
		switch {
		case other.ID == i.settings.Instance:
		case other.Region == i.settings.Region:
			near = append(near, other.PeerAddr)
		default:
			far = append(far, other.PeerAddr)
		}
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	rand.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	addrs := slices.Concat(near[:min(len(near), mirrorPeerCount-1)], far[:min(len(far), 1)])
	if len(addrs) == 0 {
		addrs = i.settings.Seeds
	}
	var peers []mirror.Peer
	for _, addr := range addrs {
		if addr != i.settings.PeerAddr {
			peers = append(peers, func(ctx context.Context, since store.Revision) (mirror.Update, error) {
				var response changesResponse
				err := i.queryPeer(ctx, peerQuery{addr, changesPath, sinceQuery(since), remoteStallTimeout}, &response)
				return response.update(), err
			})
		}
	}
	return peers
}

// regionPeers selects instances of other regions.
type regionPeers struct{ instance *Instance }

// Peer implements dispatch.Peers.
func (p regionPeers) Peer(region string) string {
	live := p.instance.roster.InRegion(region)
	if len(live) == 0 {
		return ""
	}
	return live[p.instance.peerCounter.Add(1)%uint64(len(live))].PeerAddr
}

// Reachable implements routing.Regions.
func (p regionPeers) Reachable() []string {
	return slices.DeleteFunc(slices.Clone(p.instance.roster.Regions()), func(region string) bool {
		return region == p.instance.settings.Region
	})
}

// share returns this instance's fraction of the resources that the instances of
// its region share equally.
func (i *Instance) share() float64 {
	return 1 / float64(max(len(i.roster.InRegion(i.settings.Region)), 1))
}

// fetchUsage fetches from one instance of each other region how much its callers use
// the routes with homes.
func (i *Instance) fetchUsage(ctx context.Context) {
	for _, region := range (regionPeers{i}).Reachable() {
		addr := (regionPeers{i}).Peer(region)
		if addr == "" {
			continue
		}
		var response stateResponse
		sent := time.Now()
		if err := i.queryPeer(ctx, peerQuery{addr, statePath, url.Values{"usage": {"1"}}, remoteStallTimeout}, &response); err != nil {
			i.log.Debug().Str("event", "usage_failed").Str("region", region).Err(err).Msg("")
			continue
		}
		i.usage.recordReport(sent, response.ID, response.Usage)
	}
}

// newRoster returns a roster that registers this instance.
func (i *Instance) newRoster() *roster.Roster {
	s := i.settings
	return &roster.Roster{
		Self: roster.Instance{
			ID: s.Instance, Started: time.Now().UnixMilli(), Region: s.Region, Zone: s.Zone,
			CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr,
		},
		Leases: i.store, Prefix: instanceKeyPrefix, Probe: i.checkAlive, Observer: rosterLog{i.observer},
	}
}
