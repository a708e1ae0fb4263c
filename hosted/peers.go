package hosted

import (
	"context"
	"encoding/binary"
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

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/progress"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// Paths of the calls among instances.
const (
	changesPath = "/fuchsia/changes"
	statePath   = "/fuchsia/state"
)

// Bounds of what is told of this instance's work. Requests and the ends of
// connections wait behind it where the link is thin.
const (
	// workPart is the part of the link that such answers may take.
	workPart = 0.05
	// workBurst is the time whose worth of bytes may be sent at once.
	workBurst = time.Second
	// assumedLinkRate stands for a link whose rate is not told, in bytes a second.
	assumedLinkRate = 10e6 / 8
	// maxPrefillServers bounds the backend servers whose prompts are told: those
	// with the most, which others should avoid.
	maxPrefillServers = 32
	// placementBytes is the size of two numbers of 64 bits.
	placementBytes = 16
)

const (
	maxPeerAnswerBytes = 8 << 20
	// remoteTimeout bounds the time in which nothing of an answer of another region
	// arrives: two round trips, as the connection may be new.
	remoteTimeout = 400 * time.Millisecond
	// aliveTimeout is longer, as an instance that does not answer counts as gone.
	aliveTimeout = 700 * time.Millisecond
	// mirrorPeerCount is how many instances are asked for changes at once.
	mirrorPeerCount = 3
	// warmupInstanceCount is how many instances use one cold server. Each has a
	// part of its bound, which must leave room for whole requests.
	warmupInstanceCount = 2

	dialTimeout = time.Second
	// silentTimeout is how long sent bytes may stay without acknowledgment
	// before the connection counts as lost.
	silentTimeout = 2 * time.Second
	// idleConnTime is below the times after which servers close idle connections.
	idleConnTime        = 2500 * time.Millisecond
	maxIdleConnsPerHost = 64
)

// newTransport returns a transport to backend servers or instances. Its
// connections notice a silent other end.
func (i *Instance) newTransport(purpose telemetry.Purpose) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var failure error
			err := conn.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
	return &http.Transport{
		DialContext:         dispatch.GuardDial(i.traffic.Dial(dialer.DialContext, purpose)),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dispatch.MaxAnswerHeadBytes,
	}
}

// changesAnswer is what an instance knows of the store after a revision.
type changesAnswer struct {
	Changes  []store.Change `json:"changes"`
	Revision uint64         `json:"revision"`
}

// stateAnswer is what an instance tells of itself and of its region.
type stateAnswer struct {
	ID        string                  `json:"id"`
	Started   int64                   `json:"started"`
	Ready     bool                    `json:"ready"`
	Summaries []routing.RegionSummary `json:"summaries,omitempty"`
	Work      *workAnswer             `json:"work,omitempty"`
}

// workAnswer tells what an instance has sent to the backend servers of its
// region.
type workAnswer struct {
	Prefill    prefill    `json:"prefill,omitempty"`
	Placements placements `json:"placements,omitempty"` // since the question before
	Next       uint64     `json:"next"`                 // to ask from
}

// placements are written as the bytes of their numbers.
type placements []routing.Placement

// MarshalJSON implements json.Marshaler.
func (p placements) MarshalJSON() ([]byte, error) {
	text := make([]byte, 0, len(p)*placementBytes)
	for _, placement := range p {
		text = binary.LittleEndian.AppendUint64(text, placement.Server)
		text = binary.LittleEndian.AppendUint64(text, placement.Digest)
	}
	return json.Marshal(text)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *placements) UnmarshalJSON(encoded []byte) error {
	var text []byte
	if err := json.Unmarshal(encoded, &text); err != nil {
		return err
	}
	if len(text)%placementBytes != 0 {
		return errors.New("placements: part of a number")
	}
	*p = make(placements, 0, len(text)/placementBytes)
	for ; len(text) > 0; text = text[placementBytes:] {
		*p = append(*p, routing.Placement{
			Server: binary.LittleEndian.Uint64(text), Digest: binary.LittleEndian.Uint64(text[8:]),
		})
	}
	return nil
}

// prefill is prompt tokens that were sent and are not computed, by backend
// server and rank.
type prefill map[string][catalog.RankCount]int

// newPeerHandler serves the other instances: forwarded requests by forwarded,
// and questions.
func (i *Instance) newPeerHandler(forwarded http.Handler) http.Handler {
	questions := http.NewServeMux()
	questions.HandleFunc("GET "+changesPath, i.answerChanges)
	questions.HandleFunc("GET "+statePath, i.answerState)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(filters.HopOriginHeader) != "" {
			forwarded.ServeHTTP(w, r)
			return
		}
		questions.ServeHTTP(w, r)
	})
}

func (i *Instance) answerChanges(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: want a revision", http.StatusBadRequest)
		return
	}
	changes, revision := i.mirror.Since(since)
	i.writeJSON(w, changesAnswer{changes, revision})
}

func (i *Instance) answerState(w http.ResponseWriter, r *http.Request) {
	answer := stateAnswer{ID: i.settings.Instance, Started: i.roster.Self.Started, Ready: i.ready()}
	if r.URL.Query().Has("summaries") {
		for _, service := range i.registry.Services() {
			answer.Summaries = append(answer.Summaries, i.router.Summarize(service))
		}
	}
	if since := r.URL.Query().Get("placements"); since != "" {
		number, err := strconv.ParseUint(since, 10, 64)
		if err != nil {
			http.Error(w, "placements: want a number", http.StatusBadRequest)
			return
		}
		if i.work.open() {
			answer.Work = &workAnswer{}
			answer.Work.Placements, answer.Work.Next = i.router.Prefix.Since(number)
			if r.URL.Query().Has("prefill") {
				answer.Work.Prefill = i.ownPrefill()
			}
		}
	}
	bytes := i.writeJSON(w, answer)
	if answer.Work != nil {
		i.work.spend(bytes)
	}
}

// ownPrefill returns the prompts that this instance has sent to backend servers
// and that are not computed, where there are most.
func (i *Instance) ownPrefill() prefill {
	type waiting struct {
		server string
		tokens [catalog.RankCount]int
		total  int
	}
	var all []waiting
	for _, server := range i.registry.All() {
		w := waiting{server: server.ID}
		for rank := range w.tokens {
			w.tokens[rank] = server.OwnPrefill(catalog.Rank(rank))
			w.total += w.tokens[rank]
		}
		if w.total > 0 {
			all = append(all, w)
		}
	}
	if len(all) > maxPrefillServers {
		slices.SortFunc(all, func(a, b waiting) int { return b.total - a.total })
		all = all[:maxPrefillServers]
	}
	own := make(prefill, len(all))
	for _, w := range all {
		own[w.server] = w.tokens
	}
	return own
}

// workBudget bounds the bytes of answers that tell of this instance's work.
type workBudget struct {
	rate float64 // bytes a second

	mu     sync.Mutex
	bucket routing.Bucket
}

func newWorkBudget(linkRate float64) *workBudget {
	if linkRate <= 0 {
		linkRate = assumedLinkRate
	}
	return &workBudget{rate: linkRate * workPart}
}

// open reports whether another answer may be sent. Its size is not known yet.
func (b *workBudget) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Take(time.Now(), 0, b.rate, b.rate*workBurst.Seconds())
}

func (b *workBudget) spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.Spend(time.Now(), float64(bytes), b.rate, b.rate*workBurst.Seconds())
}

// writeJSON answers with v and returns the size of the answer.
func (i *Instance) writeJSON(w http.ResponseWriter, v any) int {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(v)
	if err == nil {
		i.traffic.Answered(len(text))
		_, err = w.Write(text)
	}
	if err != nil {
		i.log.Warn().Str("event", "peer_answer_failed").Err(err).Msg("")
	}
	return len(text)
}

// question is a call of another instance.
type question struct {
	addr, path string
	query      url.Values
	limit      time.Duration // in which nothing of the answer arrives
}

// ask calls another instance.
func (i *Instance) ask(ctx context.Context, q question, answer any) error {
	err := i.call(ctx, q, answer)
	i.traffic.Asked(err)
	return err
}

func (i *Instance) call(ctx context.Context, q question, answer any) error {
	ctx, timer := progress.WithTimeout(ctx, q.limit)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.addr+q.path+"?"+q.query.Encode(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := i.peers.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(timer.Reader(resp.Body), maxPeerAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(text, answer)
}

// askAlive implements roster.Ask.
func (i *Instance) askAlive(ctx context.Context, instance roster.Instance) error {
	var answer stateAnswer
	if err := i.ask(ctx, question{instance.PeerAddr, statePath, nil, aliveTimeout}, &answer); err != nil {
		return err
	}
	if answer.ID != instance.ID || answer.Started != instance.Started {
		return errors.New("another process has the address")
	}
	if !answer.Ready {
		return errors.New("not ready")
	}
	return nil
}

// mirrorPeers returns instances to ask for changes: some of this region, one
// of another, and the seeds while no other instance is known.
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
			peers = append(peers, func(ctx context.Context, since uint64) ([]store.Change, uint64, error) {
				var answer changesAnswer
				err := i.ask(ctx, question{addr, changesPath, url.Values{"since": {strconv.FormatUint(since, 10)}}, remoteTimeout}, &answer)
				return answer.Changes, answer.Revision, err
			})
		}
	}
	return peers
}

// regionPeers finds instances of other regions.
type regionPeers struct{ instance *Instance }

// Peer implements dispatch.Peers.
func (p regionPeers) Peer(region string) string {
	live := p.instance.roster.In(region)
	if len(live) == 0 {
		return ""
	}
	return live[p.instance.turn.Add(1)%uint64(len(live))].PeerAddr
}

// Reachable implements routing.Regions.
func (p regionPeers) Reachable() []string {
	var regions []string
	seen := map[string]bool{p.instance.settings.Region: true}
	for _, other := range p.instance.roster.Live() {
		if !seen[other.Region] {
			seen[other.Region] = true
			regions = append(regions, other.Region)
		}
	}
	return regions
}

// share returns this instance's part of what the instances of its region have
// together.
func (i *Instance) share() float64 { return 1 / float64(max(len(i.roster.In(i.settings.Region)), 1)) }

// warmupInstances implements the choice of routing.Warmup.
func (i *Instance) warmupInstances(server *backend.Server) (count int, self bool) {
	var ids []string
	for _, other := range i.roster.In(i.settings.Region) {
		ids = append(ids, other.ID)
	}
	chosen := membership.Top(ids, server.ID, warmupInstanceCount)
	for _, id := range chosen {
		self = self || id == i.settings.Instance
	}
	return len(chosen), self
}

// askSummaries asks one instance of each other region for its load.
func (i *Instance) askSummaries(ctx context.Context) {
	for _, region := range (regionPeers{i}).Reachable() {
		addr := (regionPeers{i}).Peer(region)
		if addr == "" {
			continue
		}
		var answer stateAnswer
		sent := time.Now()
		if err := i.ask(ctx, question{addr, statePath, url.Values{"summaries": {"1"}}, remoteTimeout}, &answer); err != nil {
			i.log.Debug().Str("event", "summary_failed").Str("region", region).Err(err).Msg("")
			continue
		}
		for _, summary := range answer.Summaries {
			summary.At = sent
			i.summaries.Put(summary)
		}
	}
}

// newRoster returns the roster with this instance in it.
func (i *Instance) newRoster() *roster.Roster {
	s := i.settings
	return &roster.Roster{
		Self: roster.Instance{
			ID: s.Instance, Started: time.Now().UnixMilli(), Region: s.Region, Zone: s.Zone,
			CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr,
		},
		Leases: i.store, Prefix: memberPrefix, Ask: i.askAlive, Observer: rosterLog{i.log},
	}
}
