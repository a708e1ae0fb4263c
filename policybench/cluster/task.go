package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Request is one request of a caller and its result.
type Request struct {
	*workload.Arrival
	Entry              *Instance // instance that the caller sent it to
	SentAt             time.Duration
	ResendCount        int // earlier sends of the same request by the caller
	FirstToken         time.Duration
	FirstTokenReceived bool // the caller has received the first token
	Ended              bool
	EndedAt            time.Duration
	Result             Result
	Attempts           int  // started at backend servers
	Executions         int  // accepted by backend servers
	Spilled            bool // to another region, by an attempt or forwarded
	ServedBy           *Server
}

// Policy returns the policy of the request's rank.
func (r *Request) Policy() catalog.RankPolicy { return r.Service.Ranks[r.Work.Rank] }

// Tokens returns the sum of the prompt and output tokens.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Served reports whether the caller received the complete response.
func (r *Request) Served() bool { return r.Ended && r.Result.Outcome == outcome.Served }

// TimeToFirstToken returns the time from the send of the request to the arrival
// of the first token at the caller. It is meaningful only if FirstTokenReceived
// is set.
func (r *Request) TimeToFirstToken() time.Duration { return r.FirstToken - r.SentAt }

// WithinTarget reports whether the caller received the complete response and its
// first token within the latency target.
func (r *Request) WithinTarget() bool {
	return r.Served() && r.TimeToFirstToken() <= r.Policy().Target
}

// Task is a request at one instance. A forwarded request has a second task at the
// instance that it was forwarded to.
type Task struct {
	Request     *Request
	Instance    *Instance
	Origin      *Task // task at the instance that forwarded the request, or nil
	Arrived     time.Time
	Deadline    time.Time
	Priority    int // in the queue of the backend server; lower runs first
	PolicyState any // per-task state of the policy; the cluster does not use it

	activeCall      *outboundCall // in progress, or nil
	originCall      *outboundCall // call of Origin that forwarded the request, or nil
	responseStarted bool          // the first token has arrived at the instance
	closed          bool
}

// ResponseStarted reports whether the first token of the response has arrived at
// the instance. After that, no other attempt may be made.
func (t *Task) ResponseStarted() bool { return t.responseStarted }

// Closed reports whether the task has been finished or dropped.
func (t *Task) Closed() bool { return t.closed }

// entryInstance returns the instance that a caller sends its requests to. It is
// chosen by a hash of the caller's name among the instances of the region.
func (c *Cluster) entryInstance(a *workload.Arrival) *Instance {
	instances := c.InstancesOf(a.Region)
	h := 0
	for _, b := range []byte(a.Caller) {
		h = h*31 + int(b)
	}
	return instances[h%len(instances)]
}

// sendFromCaller creates a request, which reaches the instance after callerDelay.
func (c *Cluster) sendFromCaller(a *workload.Arrival, in *Instance, resend int) {
	r := &Request{Arrival: a, Entry: in, SentAt: c.Clock.Elapsed(), ResendCount: resend}
	c.Requests = append(c.Requests, r)
	c.openRequests++
	now := c.Clock.Now()
	deadline := now.Add(r.Policy().Deadline)
	t := &Task{Request: r, Instance: in, Deadline: deadline}
	c.Clock.After(callerDelay, func() {
		t.Arrived = c.Clock.Now()
		c.policy.OnArrival(t)
	})
	c.Clock.After(deadline.Sub(now), func() { c.expire(t) })
}

// expire ends an open task and its request at the deadline.
func (c *Cluster) expire(t *Task) {
	if t.closed {
		return
	}
	result := Result{outcome.NotRun, outcome.CodeDeadline}
	if t.Request.Attempts > 0 {
		result.Outcome = outcome.MayHaveRun
	}
	c.drop(t)
	c.endRequest(t.Request, result)
}

// drop ends a task without sending a result to the caller or the origin
// instance.
func (c *Cluster) drop(t *Task) {
	if t.closed {
		return
	}
	t.closed = true
	c.Cancel(t)
	c.policy.OnDrop(t)
}

// Finish ends a task, cancels its call in progress and sends the result to the
// caller or to the instance that forwarded the request.
func (c *Cluster) Finish(t *Task, result Result) {
	if t.closed {
		panic("cluster: finish task: task is already closed")
	}
	t.closed = true
	c.Cancel(t)
	if t.Origin == nil {
		c.Clock.After(callerDelay, func() { c.endRequest(t.Request, result) })
		return
	}
	bytes := controlMessageBytes
	if result.Outcome == outcome.Served {
		bytes = t.Request.OutputTokens * tokenEventBytes
	}
	c.transmit(t.Instance.Location, t.Origin.Instance.Location, bytes, func() { c.endCall(t.originCall, result) })
}

// endRequest records the result of a request. It panics if the request has already
// ended. The caller of a poison request that failed resends it after a pause.
func (c *Cluster) endRequest(r *Request, result Result) {
	if r.Ended {
		panic("cluster: end request: request has already ended")
	}
	r.Ended, r.EndedAt, r.Result = true, c.Clock.Elapsed(), result
	c.openRequests--
	if r.Poison && result.Outcome != outcome.Served && r.ResendCount < c.poison.Resends && !c.arrivalsEnded {
		c.Clock.After(c.poison.ResendDelay, func() { c.resend(r) })
	}
}

// resend sends a poison request again, to the next instance in the order of all
// instances of all regions.
func (c *Cluster) resend(r *Request) {
	next := 0
	for i, in := range c.Instances {
		if in == r.Entry {
			next = (i + 1) % len(c.Instances)
		}
	}
	c.sendFromCaller(r.Arrival, c.Instances[next], r.ResendCount+1)
}
