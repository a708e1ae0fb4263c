package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// learner is a way to learn the concurrency of one server at one instance.
type learner interface {
	observe(now time.Time, nominal int, s Sample)
	slots(now time.Time, nominal int) int
	admission(now time.Time, nominal int) int
}

// own adapts Estimator to learner.
type own struct{ *Estimator }

func (o own) observe(now time.Time, nominal int, s Sample) { o.Observe(now, nominal, s) }
func (o own) slots(now time.Time, nominal int) int         { return o.Slots(now, nominal) }

func (o own) admission(now time.Time, nominal int) int { return o.AdmissionSlots(now, nominal) }

// fixed learns nothing.
type fixed struct{}

func (fixed) observe(time.Time, int, Sample)         {}
func (fixed) slots(_ time.Time, nominal int) int     { return nominal }
func (fixed) admission(_ time.Time, nominal int) int { return nominal }

// request is a request of the simulation.
type request struct {
	arrived, started time.Time
	lastEvent        time.Time // zero before the first one
	sampled          time.Time
	worst            time.Duration // longest wait since sampled
	worstBegan       time.Time
	prefill          float64 // milliseconds of prompt computation left, at usual speed
	events, work     float64 // events left, and work of the next one, in tokens or ms
	perEvent         float64
	target, maxGap   time.Duration
	reported         int // requests on the server when its load report was received
	late             bool
	instance         int
}

// server is a simulated backend server.
type server struct {
	nominal  int
	speed    float64
	cost     func(n int) float64 // milliseconds for one unit of work with n requests
	running  []*request
	learners []learner // one per instance

	limit, admitted int // as of the last exchange
}

// prefillShare is the share of an engine's time that prompts get while others decode.
const prefillShare = 0.6

const (
	tick     = 4 * time.Millisecond
	exchange = 120 * time.Millisecond
)

// sim simulates servers behind a common queue of several instances.
type sim struct {
	now       time.Time
	random    *rand.Rand // of arrivals, which are the same for all learners
	ties      *rand.Rand // of routing
	servers   []*server
	queue     []*request
	instances int
	share     bool // instances exchange reports through the first one

	inTime, late, refused int
	reductions            int
	eachSecond            func(second int)
}

func newSim(seed uint64, instances int, share bool, makeLearner func() learner, servers ...*server) *sim {
	s := &sim{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 7)), ties: rand.New(rand.NewPCG(seed, 8)), servers: servers, instances: instances, share: share}
	for _, server := range servers {
		for range instances {
			server.learners = append(server.learners, makeLearner())
		}
	}
	return s
}

// mean returns the mean of a number of slots over the instances, each of which has an equal
// share of it.
func (s *sim) mean(x *server, value func(learner) int) int {
	total := 0
	for _, l := range x.learners {
		total += value(l)
	}
	return max(1, total/len(x.learners))
}

// run offers requests at the given rate for d.
func (s *sim) run(d time.Duration, perSecond float64, make func() *request) {
	next := s.now
	for k, end := 0, s.now.Add(d); s.now.Before(end); k++ {
		for !next.After(s.now) {
			r := make()
			r.arrived, r.instance, r.work = next, s.random.IntN(s.instances), r.perEvent
			s.queue = append(s.queue, r)
			next = next.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		if k%int(exchange/tick) == 0 {
			s.evaluate()
			for _, x := range s.servers {
				x.limit = s.mean(x, func(l learner) int { return l.slots(s.now, x.nominal) })
				x.admitted = s.mean(x, func(l learner) int { return l.admission(s.now, x.nominal) })
			}
		}
		s.start()
		for _, x := range s.servers {
			s.advance(x)
		}
		if k%int(time.Second/tick) == 0 && s.eachSecond != nil {
			s.eachSecond(k / int(time.Second/tick))
		}
		s.now = s.now.Add(tick)
	}
}

// start starts queued requests at the servers with the lowest part of their concurrency in
// use, and refuses those that have waited for half of their target.
func (s *sim) start() {
	for len(s.queue) > 0 {
		r := s.queue[0]
		best, least := -1, math.Inf(1)
		for _, i := range s.ties.Perm(len(s.servers)) {
			x := s.servers[i]
			if used := float64(len(x.running)) / float64(x.limit); used < least && len(x.running) < x.admitted {
				best, least = i, used
			}
		}
		switch {
		case best >= 0:
			x := s.servers[best]
			r.started = s.now
			x.running = append(x.running, r)
			r.reported = len(x.running)
		case s.now.Sub(r.arrived) > r.target/2:
			s.refused++
		default:
			return
		}
		s.queue = s.queue[1:]
	}
}

// advance runs a server for one tick.
func (s *sim) advance(x *server) {
	budget := float64(tick) / float64(time.Millisecond) * x.speed
	decode := budget
	for _, r := range x.running {
		if r.prefill > 0 {
			used := min(r.prefill, budget*prefillShare)
			r.prefill -= used
			decode -= used
			break
		}
	}
	cost, left := x.cost(len(x.running)), x.running[:0]
	for _, r := range x.running {
		if r.prefill <= 0 {
			r.work -= decode / cost
			if r.work <= 0 {
				s.event(x, r)
			}
		}
		if r.events > 0 {
			left = append(left, r)
			continue
		}
		if r.late {
			s.late++
		} else {
			s.inTime++
		}
	}
	x.running = left
}

// event records an event of an answer.
func (s *sim) event(x *server, r *request) {
	began, permitted := r.lastEvent, r.maxGap
	if r.lastEvent.IsZero() {
		began, permitted, r.sampled = r.started, r.target, s.now
		r.late = s.now.Sub(r.arrived) > r.target
		r.reported = len(x.running)
	}
	gap := s.now.Sub(began)
	r.late = r.late || gap > permitted
	if gap > r.worst {
		r.worst, r.worstBegan = gap, began
	}
	if r.lastEvent.IsZero() || gap > permitted || s.now.Sub(r.sampled) > 500*time.Millisecond {
		if s.now.Sub(r.started) < 2*time.Second { // later, the load report is too old
			x.learners[r.instance].observe(s.now, x.nominal, Sample{r.reported, r.worst.Seconds() / permitted.Seconds(), r.worstBegan})
		}
		r.sampled, r.worst = s.now, 0
	}
	r.lastEvent, r.work = s.now, r.perEvent
	r.events--
}

// trying returns the number of servers that are tried, as far as an instance knows.
func (s *sim) trying(instance int) int {
	count := 0
	for _, x := range s.servers {
		if x.learners[instance].(own).Trying(s.now) {
			count++
		}
	}
	return count
}

// evaluate exchanges reports and evaluates the evidence.
func (s *sim) evaluate() {
	for _, x := range s.servers {
		for i, l := range x.learners {
			e, ok := l.(own)
			if !ok {
				return
			}
			if collector := x.learners[0].(own); s.share && i > 0 {
				if report, useful := e.Report(s.now, x.nominal); useful {
					collector.Merge(s.now, fmt.Sprint(i), false, report)
				}
				if report, useful := collector.Report(s.now, x.nominal); useful {
					e.Merge(s.now, "collector", false, Report{Limit: report.Limit})
				}
			}
			if _, changed := e.Evaluate(s.now, x.nominal, s.trying(i) < MaxTrials(len(s.servers))); changed {
				s.reductions++
			}
		}
	}
}

// credit returns the mean credit of the answers, with 0.72 for late ones.
func (s *sim) credit() float64 {
	return (float64(s.inTime) + 0.72*float64(s.late)) / float64(max(1, s.inTime+s.late+s.refused))
}

// String returns the results.
func (s *sim) String() string {
	total := float64(max(1, s.inTime+s.late+s.refused)) / 100
	return fmt.Sprintf("in time %.1f%%, late %.1f%%, refused %.1f%%, credit %.3f, reductions %d",
		float64(s.inTime)/total, float64(s.late)/total, float64(s.refused)/total, s.credit(), s.reductions)
}

// engine returns an engine with 16 slots.
func engine(speed float64) *server {
	return &server{nominal: 16, speed: speed, cost: func(n int) float64 { return 6.35 + 0.6*float64(n) }}
}

// plain returns a plain server with 6 slots that slows down with the square of the
// requests above two.
func plain(speed float64) *server {
	return &server{nominal: 6, speed: speed, cost: func(n int) float64 { k := float64(max(n-2, 0)); return 1 + 1.2*k*k }}
}

// engineRequest returns a chat, or a long prompt of which the shared part is cached in two of three cases.
func (s *sim) engineRequest() *request {
	if s.random.IntN(100) < 53 {
		return &request{prefill: 19, events: 58, perEvent: 4, target: 800 * time.Millisecond, maxGap: 400 * time.Millisecond}
	}
	prefill := 68.0
	if s.random.IntN(3) == 0 {
		prefill = 215 // the shared part is not cached
	}
	return &request{prefill: prefill, events: 10, perEvent: 4, target: time.Second, maxGap: 400 * time.Millisecond}
}

// call returns a request for a plain server.
func (s *sim) call() *request {
	return &request{events: 1, perEvent: 30 + 30*s.random.Float64(), target: 400 * time.Millisecond, maxGap: time.Second}
}
