package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/collector"
)

const (
	step       = 10 * time.Millisecond
	longPrompt = 9190 // tokens
)

var (
	start  = time.Unix(1000, 0)
	bounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Margin: 72000}
)

// node is a simulated instance.
type node struct {
	id, region     string
	limiter        *Limiter
	suspended      bool
	stopped        time.Duration // by which its clock is late
	tick, remote   time.Time
	failures       uint64
	failedAt       time.Time
	remoteFailures uint64
}

type charge struct {
	at   time.Time
	cost float64
}

// fleet simulates the exchanges of instances in 3 regions and the requests of one
// organization.
type fleet struct {
	now          time.Time
	random       *rand.Rand
	organization *catalog.Organization
	nodes        []*node
	regions      []string
	ids          map[string][]string
	byID         map[string]*node
	collectors   map[string][]string
	loss         float64
	cut          map[string]time.Time // when the region was cut off
	demand       []float64            // tokens per second by region
	cost         float64              // of a request
	conforming   bool                 // demand stays within bucket
	bucket       float64              // what the quota leaves, with all charges known at once

	admitted []charge
	requests int
	refusals map[Reason]int
}

func newFleet(seed uint64, rate, burst float64, sizes ...int) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), cost: longPrompt, bucket: burst, refusals: make(map[Reason]int),
		organization: organization(rate, burst), cut: make(map[string]time.Time), ids: make(map[string][]string), byID: make(map[string]*node), collectors: make(map[string][]string), demand: make([]float64, len(sizes)),
	}
	for r, size := range sizes {
		region := fmt.Sprintf("region-%d", r)
		f.regions = append(f.regions, region)
		for k := range size {
			n := &node{id: fmt.Sprintf("%s-%02d", region, k), region: region}
			f.nodes, f.byID[n.id], f.ids[region] = append(f.nodes, n), n, append(f.ids[region], n.id)
			f.restart(n)
		}
		f.collectors[region] = collector.Select(f.ids[region])
	}
	return f
}

func organization(rate, burst float64) *catalog.Organization {
	return &catalog.Organization{Name: "oslo", Quota: catalog.Quota{Rate: rate, Burst: burst, Unit: catalog.QuotaTokens}}
}

func (f *fleet) clock(n *node) time.Time { return f.now.Add(-n.stopped) }

func (f *fleet) restart(n *node) {
	n.limiter, n.stopped = New(f.now, bounds), 0
	n.tick, n.remote = f.now.Add(f.jitter(TickInterval)), f.now.Add(f.jitter(500*time.Millisecond))
	f.configure(n)
}

func (f *fleet) configure(n *node) {
	organizations := catalog.NewOrganizations()
	organizations.Add(f.organization, nil)
	n.limiter.Configure(f.clock(n), organizations)
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

// reachable reports whether two instances reach each other.
func (f *fleet) reachable(a, b *node) bool {
	return !a.suspended && !b.suspended && f.random.Float64() >= f.loss && (a.region == b.region || f.cut[a.region].IsZero() && f.cut[b.region].IsZero())
}

// listed reports whether a region is in another one's list: not for long after it is cut off.
func (f *fleet) listed(from, region string) bool {
	for _, r := range []string{from, region} {
		if at := f.cut[r]; !at.IsZero() && f.now.Sub(at) > 3*time.Second {
			return from == region
		}
	}
	return true
}

// exchange does what hosted does every TickInterval, and every 500 ms between regions.
func (f *fleet) exchange(n *node) {
	members := Members{Others: make(map[string]int)}
	for _, region := range f.regions {
		if region == n.region {
			members.Own = len(f.ids[region])
		} else if f.listed(n.region, region) {
			members.Others[region] = len(f.ids[region])
		}
	}
	collectors := f.collectors[n.region]
	now := f.clock(n)
	n.limiter.Tick(now, members)
	isCollector := false
	for _, id := range collectors {
		isCollector = isCollector || id == n.id
	}
	if !isCollector {
		if f.now.Sub(n.failedAt) > 2*time.Second {
			n.failures = 0
		}
		if !f.call(n, f.byID[collector.Choose(collectors, n.id, n.failures)], Member) {
			n.failures++
			n.failedAt = f.now
		}
		return
	}
	for _, id := range collectors {
		if id != n.id {
			f.call(n, f.byID[id], Collector)
		}
	}
	if f.now.Before(n.remote) {
		return
	}
	n.remote = f.now.Add(500 * time.Millisecond)
	for region := range members.Others {
		if !f.call(n, f.byID[collector.Choose(f.collectors[region], n.id, n.remoteFailures)], Remote) {
			n.remoteFailures++
		}
	}
}

// call exchanges reports. A response may be lost although the request arrived.
func (f *fleet) call(from, to *node, role Role) bool {
	if !f.reachable(from, to) {
		return false
	}
	response := Upstream
	if role != Member {
		response = role
	}
	if role != Remote {
		to.limiter.Merge(f.clock(to), 0, role, from.id, from.limiter.Report(f.clock(from), role, to.id))
	}
	report := to.limiter.Report(f.clock(to), response, from.id)
	if !f.reachable(from, to) {
		return false
	}
	id := to.id
	if role == Remote {
		id = to.region
	}
	from.limiter.Merge(f.clock(from), time.Millisecond, response, id, report)
	return true
}

// run simulates a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, n := range f.nodes {
			if n.suspended || f.now.Before(n.tick) {
				continue
			}
			n.tick = f.now.Add(TickInterval - step + f.jitter(2*step))
			f.exchange(n)
		}
		q := &f.organization.Quota
		f.bucket = min(q.Burst, f.bucket+q.Rate*step.Seconds())
		for region, demand := range f.demand {
			f.send(region, demand*step.Seconds()/f.cost)
		}
	}
}

// send sends a random number of requests with the given mean.
func (f *fleet) send(region int, mean float64) {
	for left := math.Exp(-mean); ; {
		if left *= 1 / f.random.Float64(); left >= 1 {
			return
		}
		f.request(region)
	}
}

func (f *fleet) request(region int) {
	var up []*node
	for _, id := range f.ids[f.regions[region]] {
		if n := f.byID[id]; !n.suspended {
			up = append(up, n)
		}
	}
	if len(up) == 0 || f.conforming && f.bucket < f.cost {
		return
	}
	n := up[f.random.IntN(len(up))]
	f.bucket -= f.cost
	f.requests++
	if _, refusal := n.limiter.Charge(f.clock(n), f.organization, f.cost); refusal != nil {
		f.refusals[refusal.Reason]++
		return
	}
	f.admitted = append(f.admitted, charge{f.now, f.cost})
}

// most returns the most units admitted within a window, from a time on.
func (f *fleet) most(from time.Time) (most float64) {
	sum, first := 0.0, 0
	for _, c := range f.admitted {
		sum += c.cost
		for c.at.Sub(f.admitted[first].at) >= bounds.Window || f.admitted[first].at.Before(from) && first < len(f.admitted)-1 {
			sum -= f.admitted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// limit returns the bound of a window.
func limit(q *catalog.Quota) float64 {
	return (q.Rate*bounds.Window.Seconds()+q.Burst)*(1+bounds.Excess) + bounds.Margin
}
