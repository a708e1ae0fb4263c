package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Request is one request of a caller and how it ended.
type Request struct {
	*workload.Arrival
	Entry      *Instance
	SentAt     time.Duration
	Resend     int // how often the caller had sent it before
	FirstToken time.Duration
	Answered   bool // the caller has the first token
	Ended      bool
	EndedAt    time.Duration
	Result     Result
	Attempts   int  // sends to a backend server
	Executions int  // times that a backend server accepted it
	SentAway   bool // to another region
	ServedBy   *Server
}

// Policy returns the policy of the request's rank.
func (r *Request) Policy() catalog.RankPolicy { return r.Service.Ranks[r.Work.Rank] }

// Tokens returns the tokens of prompt and answer together.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Served reports whether the caller received the whole answer.
func (r *Request) Served() bool { return r.Ended && r.Result.Outcome == outcome.Served }

// TimeToFirstToken returns the time from sending to the first token at the
// caller. It is meaningful only if Answered is set.
func (r *Request) TimeToFirstToken() time.Duration { return r.FirstToken - r.SentAt }

// WithinTarget reports whether the request was served whole and its first
// token arrived within the target.
func (r *Request) WithinTarget() bool {
	return r.Served() && r.TimeToFirstToken() <= r.Policy().Target
}

// Task is a request at one instance.
type Task struct {
	Request  *Request
	Instance *Instance
	Origin   *Task // at the instance that forwarded the request, or nil
	Arrived  time.Time
	Deadline time.Time
	Priority int // at the backend server; lower runs first
	Data     any // state of the policy

	leg     *leg // attempt or forwarding in progress
	via     *leg // of Origin, that brought the request here
	started bool
	closed  bool
}

// Started reports whether the answer has begun, so that no other attempt may
// be made.
func (t *Task) Started() bool { return t.started }

// Closed reports whether the task has ended.
func (t *Task) Closed() bool { return t.closed }

// entryOf returns the instance that a caller uses: always the same one of its
// region.
func (c *Cluster) entryOf(a *workload.Arrival) *Instance {
	instances := c.InstancesOf(a.Region)
	h := 0
	for _, b := range []byte(a.Caller) {
		h = h*31 + int(b)
	}
	return instances[h%len(instances)]
}

// enter creates a request that reaches the instance after the caller's delay.
func (c *Cluster) enter(a *workload.Arrival, in *Instance, resend int) {
	r := &Request{Arrival: a, Entry: in, SentAt: c.Clock.Elapsed(), Resend: resend}
	c.Requests = append(c.Requests, r)
	c.open++
	now := c.Clock.Now()
	deadline := now.Add(r.Policy().Deadline)
	t := &Task{Request: r, Instance: in, Deadline: deadline}
	c.Clock.After(callerDelay, func() {
		t.Arrived = c.Clock.Now()
		c.policy.Arrive(t)
	})
	c.Clock.After(deadline.Sub(now), func() { c.expire(t) })
}

// expire ends a task whose deadline has passed.
func (c *Cluster) expire(t *Task) {
	if t.closed {
		return
	}
	result := Result{outcome.NotRun, outcome.CodeDeadline}
	if t.Request.Attempts > 0 {
		result.Outcome = outcome.MayHaveRun
	}
	c.drop(t)
	c.end(t.Request, result)
}

// drop ends a task without a result for the one who sent it.
func (c *Cluster) drop(t *Task) {
	if t.closed {
		return
	}
	t.closed = true
	c.Cancel(t)
	c.policy.Dropped(t)
}

// Finish ends a task and sends the result to the caller or to the instance
// that forwarded the request.
func (c *Cluster) Finish(t *Task, result Result) {
	if t.closed {
		panic("cluster: task finished twice")
	}
	t.closed = true
	c.Cancel(t)
	if t.Origin == nil {
		c.Clock.After(callerDelay, func() { c.end(t.Request, result) })
		return
	}
	bytes := controlBytes
	if result.Outcome == outcome.Served {
		bytes = t.Request.OutputTokens * eventBytes
	}
	c.transmit(t.Instance.Place, t.Origin.Instance.Place, bytes, func() { c.endLeg(t.via, result) })
}

// end records the end of a request. Each request ends exactly once.
func (c *Cluster) end(r *Request, result Result) {
	if r.Ended {
		panic("cluster: request ended twice")
	}
	r.Ended, r.EndedAt, r.Result = true, c.Clock.Elapsed(), result
	c.open--
	if r.Poison && result.Outcome != outcome.Served && r.Resend < c.poison.Resends && !c.closed {
		c.Clock.After(c.poison.Pause, func() { c.resend(r) })
	}
}

// resend lets a poison request enter again, each time at the next instance of
// all regions.
func (c *Cluster) resend(r *Request) {
	next := 0
	for i, in := range c.Instances {
		if in == r.Entry {
			next = (i + 1) % len(c.Instances)
		}
	}
	c.enter(r.Arrival, c.Instances[next], r.Resend+1)
}
