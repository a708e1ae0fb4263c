package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// event is a function to be called at a virtual time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simEngine runs requests in slots and computes one prompt at a time.
type simEngine struct {
	slots         int
	rate          float64       // prefill, tokens per second
	decode        time.Duration // time from the first token to the last
	failing       bool          // refuses connections
	slowdown      backend.Slowdown
	running       int
	queue         []func()
	prefillDoneAt time.Time // when the pending prefills are finished
	cached        []uint64  // digests, most recently used last
	served        int
}

// simCache is the capacity of an engine's prefix cache in digests.
const simCache = 96

// prefill adds the prompt to the engine's cache and returns the number of tokens
// that were not cached.
func (e *simEngine) prefill(req *Request) int {
	uncached := req.PromptTokens
	for i, digest := range req.Prefix {
		if at := slices.Index(e.cached, digest); at >= 0 {
			uncached = max(0, req.PromptTokens-(i+1)*BlockTokens)
			e.cached = slices.Delete(e.cached, at, at+1)
		}
		e.cached = append(e.cached, digest)
	}
	e.cached = e.cached[max(0, len(e.cached)-simCache):]
	return uncached
}

// sim simulates, in virtual time, several gateway instances that share one set of
// engines.
type sim struct {
	now             time.Time
	events          events
	engines         map[string]*simEngine
	routers         []*Router
	ejectors        []*Ejector // one per router; nil entries disable ejection
	random          *rand.Rand
	firstTokenTimes []time.Duration // times to first token
	failures        int
	tokens          int // prompt tokens computed
}

const (
	simRate   = 8000.0
	simDecode = 500 * time.Millisecond
	simSlots  = 8
)

// newSim returns a simulation of instances that share count engines. Each instance
// receives load reports every 500 ms, with a delay of lag.
func newSim(instances, count int, lag time.Duration, seed uint64) *sim {
	s := &sim{now: start, engines: make(map[string]*simEngine), random: rand.New(rand.NewPCG(seed, 3))}
	for i := range count {
		s.engines[fmt.Sprintf("engine-%d", i)] = &simEngine{slots: simSlots, rate: simRate, decode: simDecode}
	}
	for range instances {
		router := newRouter(newRegistry(count, simSlots), seed+uint64(len(s.routers)))
		router.Now = func() time.Time { return s.now }
		router.Scorer = FirstTokenScorer{Zone: []string{"a", "b"}[len(s.routers)%2]}
		s.routers = append(s.routers, router)
		s.ejectors = append(s.ejectors, &Ejector{Registry: router.Registry, Random: s.random})
		s.every(500*time.Millisecond, func() { s.report(router, lag) })
	}
	s.every(time.Second, func() {
		for i, e := range s.ejectors {
			if e != nil {
				e.Evaluate(s.now, s.routers[i].Registry.All()[0].Service)
			}
		}
	})
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && !s.events[0].at.After(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// report measures the load of all engines now and delivers it to router after lag.
func (s *sim) report(router *Router, lag time.Duration) {
	for _, server := range router.Registry.All() {
		e := s.engines[server.ID]
		load := backend.Load{Running: e.running, Waiting: len(e.queue), Slots: e.slots}
		s.after(lag, func() {
			load.ReceivedAt = s.now
			server.SetLoad(load)
		})
	}
}

// scheduleRequests schedules, for a period of d, an average of perSecond
// requests per second at random times and instances. prompt returns the length
// and the prefix digests of each prompt.
func (s *sim) scheduleRequests(perSecond float64, d time.Duration, prompt func() (int, []uint64)) {
	for at := time.Duration(0); ; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at > d {
			return
		}
		tokens, prefix := prompt()
		s.after(at, func() { s.request(s.random.IntN(len(s.routers)), tokens, prefix) })
	}
}

func (s *sim) request(instance, tokens int, prefix []uint64) {
	req := &Request{
		Service: testService, Work: testWork, Received: s.now, Deadline: s.now.Add(20 * time.Second),
		PromptTokens: tokens, Prefix: prefix, Tried: make(map[string]bool),
	}
	s.sendUntilAccepted(instance, req)
}

// sendUntilAccepted sends a request to engines until one accepts it, at most three
// times. A request that none accepts counts with a time to first token of 20 s.
func (s *sim) sendUntilAccepted(instance int, req *Request) {
	router := s.routers[instance]
	d := router.Decide(req)
	if d.Server == nil || len(req.Tried) == 3 {
		s.firstTokenTimes = append(s.firstTokenTimes, 20*time.Second)
		return
	}
	e := s.engines[d.Server.ID]
	if e.failing {
		s.failures++
		req.Tried[d.Server.ID] = true
		if ejector := s.ejectors[instance]; ejector != nil {
			ejector.Failed(s.now, d.Server, d.Probe())
		}
		s.sendUntilAccepted(instance, req)
		return
	}
	router.RecordDispatch(req, d.Server)
	attempt := d.Server.StartAttempt(s.now, d.Job(req))
	e.queue = append(e.queue, func() { s.execute(e, instance, req, d, attempt) })
	s.startQueued(e)
}

// startQueued starts queued requests of an engine while it has free slots.
func (s *sim) startQueued(e *simEngine) {
	for e.running < e.slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		next()
	}
}

func (s *sim) execute(e *simEngine, instance int, req *Request, d Decision, attempt *backend.Attempt) {
	uncached := e.prefill(req)
	s.tokens += uncached
	began := s.now
	if e.prefillDoneAt.After(began) {
		began = e.prefillDoneAt
	}
	e.prefillDoneAt = began.Add(time.Duration(float64(uncached) / e.rate * float64(max(e.slowdown, 1)) * float64(time.Second)))
	s.after(e.prefillDoneAt.Sub(s.now), func() {
		attempt.FirstToken(s.now)
		s.firstTokenTimes = append(s.firstTokenTimes, s.now.Sub(req.Received))
		s.after(e.decode, func() {
			e.running--
			e.served++
			attempt.End(s.now, true)
			if ejector := s.ejectors[instance]; ejector != nil {
				ejector.Succeeded(s.now, d.Server, d.Probe())
			}
			s.startQueued(e)
		})
	})
}

// percentile returns the quantile p, 0..1, of the times to first token.
func (s *sim) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s.firstTokenTimes))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))].Round(time.Millisecond)
}

// randomPrompt returns a prompt of 500 to 2,500 tokens without a shared prefix.
func (s *sim) randomPrompt() (int, []uint64) { return 500 + s.random.IntN(2000), nil }
