package backend

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
	"github.com/fuchsiastack/fuchsiastack/origin"
)

// Info describes a backend server as listed by the platform.
type Info struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // host:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   string `json:"state"`             // one of the State constants
	Fenced  bool   `json:"fenced"`            // rejects orders with an outdated fencing number
	Slots   int    `json:"slots,omitempty"`   // maximum concurrent requests until the first load report; 0 if unspecified
	Started int64  `json:"started,omitempty"` // start of the process in Unix milliseconds; 0 if unspecified
	Version string `json:"version,omitempty"` // of the software
}

// Origin returns the version by which streams of the server are recorded.
func (i *Info) Origin() origin.Version { return origin.VersionOf(i.Service, i.Version) }

// States of a backend server in the platform's list.
const (
	StateLive     = "live"
	StateDraining = "leaving"
)

// Load is a backend server's report of its own load.
type Load struct {
	Running    int       `json:"running"` // sequences in the batch
	Waiting    int       `json:"waiting"` // sequences in the server's queue
	Slots      int       `json:"slots"`   // maximum number of sequences in the batch
	Slowdown   Slowdown  `json:"slowdown,omitempty"`
	ReceivedAt time.Time `json:"-"` // when the report was received, by this or another instance

	// AgeAllowance is subtracted from the age of the report. It makes up for the
	// propagation delay of reports that are received through another instance.
	AgeAllowance time.Duration `json:"-"`
}

// Server is a backend server. Its methods are safe for concurrent use. If the
// description of a server changes, its old and its new value share their state
// as long as they denote the same process.
type Server struct {
	Info
	Key    uint64 // hash of ID
	origin origin.Version
	*state
	service *serviceEstimates // nil for a server without a Registry
}

// state is the state of a server that an instance has observed, as opposed to its
// description by the platform.
type state struct {
	inFlight      atomic.Int64
	localPrefill  tokensByRank // uncached prompt tokens sent by this instance, before the first token
	peerPrefill   tokensByRank // the same of the other instances, as of their latest updates
	report        atomic.Pointer[report]
	slowdown      atomic.Pointer[SlowdownReport] // the newest one; nil if there was none
	rateLimit     rateLimit
	draining      atomic.Bool
	weights       atomic.Pointer[weights] // the last ones shown; nil if there were none
	pause         atomic.Pointer[pause]   // the last one; nil if there was none
	resume        requestLimiter          // after a pause
	prefillRate   rateEstimate
	slotHold      average          // time that a request holds a slot, in seconds
	baseLatency   average          // time to first byte of a request without a prompt, in seconds
	baseLatencyAt monotonic.Atomic // when baseLatency was last updated
	// baseLatencySamples is the number of samples in baseLatency.
	baseLatencySamples atomic.Int32
	interval           intervalEstimate // between the events of streams
	health             Health
	coldUntil          monotonic.Atomic // when the caches count as warm
	checks             stateChecks      // by this instance
	shared             requestLimiter   // of the limit that holds for all instances together
	concurrency        *concurrency     // nil if it is not learned
}

// report is a load report together with this instance's requests in flight, which
// the report may include.
type report struct {
	Load
	recordedAt time.Time // at this instance
	inFlight   int64     // this instance's requests in flight when the report was received
	baseline   int64     // the lesser of this and the previous report's inFlight

	// Moving averages over the reports.
	smoothedTotal float64 // Running + Waiting
	smoothedLocal float64 // inFlight
}

// NewServer returns a server without requests in flight and without load report.
func NewServer(info Info) *Server {
	return &Server{Info: info, Key: xxhash.Sum64String(info.ID), origin: info.Origin(), state: &state{}}
}

// Origin returns the version by which streams of the server are recorded.
func (s *Server) Origin() origin.Version { return s.origin }

// InFlight returns the number of requests that this instance has in flight on the
// server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// tokensByRank counts prompt tokens by rank.
type tokensByRank [catalog.RankCount]atomic.Int64

// sumUpTo returns the tokens of all ranks that are at least as urgent as last.
func (t *tokensByRank) sumUpTo(last catalog.Rank) (tokens int) {
	for rank := catalog.Urgent; rank <= last; rank++ {
		tokens += int(max(0, t[rank].Load()))
	}
	return tokens
}

// PendingPrefill returns the uncached prompt tokens of the requests that await
// their first token. It counts requests that are at least as urgent as rank,
// including those of other instances as of their latest updates.
func (s *Server) PendingPrefill(rank catalog.Rank) int {
	return s.localPrefill.sumUpTo(rank) + s.peerPrefill.sumUpTo(rank)
}

// LocalPrefill returns the pending prompt tokens of a rank that this instance
// has sent.
func (s *Server) LocalPrefill(rank catalog.Rank) int { return int(max(0, s.localPrefill[rank].Load())) }

// SetPeerPrefill sets the pending prompt tokens of a rank that the other
// instances have sent.
func (s *Server) SetPeerPrefill(rank catalog.Rank, tokens int) {
	s.peerPrefill[rank].Store(int64(tokens))
}

// Load returns the last load report, or the zero Load before the first one.
func (s *Server) Load() Load {
	if r := s.report.Load(); r != nil {
		return r.Load
	}
	return Load{}
}

// SlotCount returns the number of slots in the last load report. If that has none,
// it returns the number in the platform's list, which is 0 if unknown.
func (s *Server) SlotCount() int {
	if slots := s.Load().Slots; slots > 0 {
		return slots
	}
	return s.Slots
}

// SetLoad records a load report and updates the moving averages.
func (s *Server) SetLoad(l Load) { s.setLoad(l.ReceivedAt, l) }

func (s *Server) setLoad(now time.Time, l Load) {
	s.RecordSlowdown(SlowdownReport{l.Slowdown, l.ReceivedAt})
	local := s.inFlight.Load()
	total := float64(l.Running + l.Waiting)
	next := &report{Load: l, recordedAt: now, inFlight: local, baseline: local, smoothedTotal: total, smoothedLocal: float64(local)}
	if last := s.report.Load(); last != nil {
		next.baseline = min(local, last.inFlight)
		weight := smoothingWeight(l.ReceivedAt.Sub(last.ReceivedAt))
		next.smoothedTotal = last.smoothedTotal + (total-last.smoothedTotal)*weight
		next.smoothedLocal = last.smoothedLocal + (float64(local)-last.smoothedLocal)*weight
	}
	s.report.Store(next)
}

// minRelayedAge is the age of a load report above which a later one that another
// instance has received replaces it. An instance that receives reports itself often
// enough goes by them, because its own requests in flight are known for the same time.
const minRelayedAge = 500 * time.Millisecond

// RecordRelayedLoad records a load report that another instance has received, if the last
// one is much older. The slowdown of the report is not used.
func (s *Server) RecordRelayedLoad(now time.Time, l Load) {
	last := s.Load()
	if !last.ReceivedAt.IsZero() && l.ReceivedAt.Sub(last.ReceivedAt) < minRelayedAge {
		return
	}
	l.Slowdown = 0
	s.setLoad(now, l)
}

// LoadRecordedAt returns when this instance recorded the last load report, or the zero
// time before the first one.
func (s *Server) LoadRecordedAt() time.Time {
	if r := s.report.Load(); r != nil {
		return r.recordedAt
	}
	return time.Time{}
}

// Occupied estimates the number of requests on the server: those of the last
// report and those that this instance has added since. As a report describes the
// load some time before it was received, requests that this instance started
// between the last two reports are assumed to be missing from it.
func (s *Server) Occupied() int {
	local := s.inFlight.Load()
	r := s.report.Load()
	if r == nil {
		return int(local)
	}
	return int(max(local, int64(r.Running+r.Waiting)+local-r.baseline))
}

// smoothingTime is the time constant of the moving averages of load reports. It
// must be well above the delay of the reports. Otherwise instances that react to
// a report react again until the reports reflect their correction, and overshoot.
const smoothingTime = 10 * time.Second

// smoothingWeight returns the weight of a report received at the given time since
// the previous one.
func smoothingWeight(since time.Duration) float64 {
	since = max(since, 0)
	return float64(since) / float64(since+smoothingTime)
}

// SmoothedRequests returns moving averages over the load reports: the number of
// requests on the server, and the number of requests that this instance had in
// flight.
func (s *Server) SmoothedRequests() (total, local float64) {
	if r := s.report.Load(); r != nil {
		return r.smoothedTotal, r.smoothedLocal
	}
	return 0, 0
}

// ExpectedRequests estimates the number of requests on a server that several
// instances share and whose reports are delayed. It starts from the moving
// average of the reports, and adds the current deviation of this instance's
// requests in flight from their own average, which is known without delay.
// sharers is the number of instances with requests on the server. As each of
// them balances its own requests, the deviation of one is taken for that of all
// and multiplied by sharers. If every instance used the last report instead,
// all would send to the server that the report shows as idle. With less than one own
// request on average, the deviation is mostly chance and counts in proportion to the
// average: a single request would otherwise stand for one of each sharer, and keep the
// next prompt with the same prefix away.
func (s *Server) ExpectedRequests(sharers float64) float64 {
	local := float64(s.inFlight.Load())
	r := s.report.Load()
	if r == nil {
		return local
	}
	if r.smoothedLocal < 1 {
		sharers = 1 + (sharers-1)*r.smoothedLocal
	}
	return max(local, r.smoothedTotal+sharers*(local-r.smoothedLocal))
}

// ReportAge returns the age of the last load report less its AgeAllowance, or 0
// before the first report.
func (s *Server) ReportAge(now time.Time) time.Duration {
	r := s.report.Load()
	if r == nil || r.ReceivedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.ReceivedAt)-r.AgeAllowance)
}

// HoldTime returns the average time that a request holds a slot, or 0 if unknown.
func (s *Server) HoldTime() time.Duration { return seconds(s.slotHold.value()) }

// BaseLatency returns the estimated time to first byte of a request without a
// prompt, or 0 if unknown.
func (s *Server) BaseLatency() time.Duration { return seconds(s.baseLatency.value()) }

// BaseLatencyAge returns the time since the last update of the base latency. It is
// the longest duration before the first one.
func (s *Server) BaseLatencyAge(now time.Time) time.Duration {
	return s.baseLatencyAt.Load().Since(now)
}

// BaseLatencyKnown reports whether the base latency is estimated from enough
// requests, the last of them at most maxAge ago.
func (s *Server) BaseLatencyKnown(now time.Time, maxAge time.Duration) bool {
	return s.baseLatencySamples.Load() >= minBaseSamples && s.BaseLatencyAge(now) <= maxAge
}

// Health returns the outlier detection state of the server.
func (s *Server) Health() *Health { return &s.health }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// average is an exponentially weighted moving average, safe for concurrent use.
// Its zero value has no samples; value then returns 0.
type average struct{ bits atomic.Uint64 }

// newSampleWeight is the weight of a new sample in an average.
const newSampleWeight = 0.2

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

// lowerTo sets the average to the sample if that is lower or the first one.
func (a *average) lowerTo(sample float64) {
	for {
		old := a.bits.Load()
		if old != 0 && math.Float64frombits(old) <= sample || a.bits.CompareAndSwap(old, math.Float64bits(sample)) {
			return
		}
	}
}

func (a *average) add(sample float64) { a.addWeighted(sample, newSampleWeight) }

// addWeighted adds a sample with the given weight, from 0 to 1.
func (a *average) addWeighted(sample, weight float64) {
	for {
		old := a.bits.Load()
		next := sample
		if old != 0 {
			next = math.Float64frombits(old)*(1-weight) + sample*weight
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
