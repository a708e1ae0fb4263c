package cluster

import (
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
)

// outboundCall is an attempt at a backend server or a request forwarded to an
// instance of another region, as seen by the instance that sent it.
type outboundCall struct {
	task       *Task
	server     *Server
	sequence   *engine.Sequence // set when the server has accepted the request
	remoteTask *Task            // at the instance that the request was forwarded to
	target     Location
	done       bool // the sender has received a result or canceled the call
}

// crosses reports whether the call connects the region to another one.
func (call *outboundCall) crosses(region string) bool {
	source, target := call.task.Instance.Region, call.target.Region
	return source != target && (source == region || target == region)
}

// newCall records a call of a task. It panics if the policy starts a second call
// for the task or sends the request to a region that its work does not permit.
func (c *Cluster) newCall(t *Task, target Location) *outboundCall {
	if t.closed || t.activeCall != nil {
		panic("cluster: start call: task is closed or has a call in progress")
	}
	if !t.Request.Service.Permits(t.Request.Work, target.Region) {
		panic("cluster: start call: request may not run in the target region")
	}
	call := &outboundCall{task: t, target: target}
	t.activeCall = call
	if target.Region != t.Instance.Region {
		t.Request.Spilled = true
		c.interRegionCalls = append(c.interRegionCalls, call)
	}
	return call
}

// Send starts an attempt at a backend server. The task must have no call in
// progress.
func (c *Cluster) Send(t *Task, s *Server) {
	call := c.newCall(t, s.Location)
	call.server = s
	t.Request.Attempts++
	if !c.transmit(t.Instance.Location, s.Location, t.Request.PromptTokens*promptTokenBytes, func() { c.submitToEngine(call) }) {
		c.failDial(call)
	}
}

// Forward sends a request to an instance of another region. A forwarded request
// must not be forwarded again.
func (c *Cluster) Forward(t *Task, to *Instance) {
	if t.Origin != nil {
		panic("cluster: forward request: it was already forwarded once")
	}
	call := c.newCall(t, to.Location)
	deliver := func() {
		call.remoteTask = &Task{
			Request: t.Request, Instance: to, Origin: t, originCall: call,
			Arrived: c.Clock.Now(), Deadline: t.Deadline,
		}
		c.policy.OnArrival(call.remoteTask)
	}
	if !c.transmit(t.Instance.Location, to.Location, t.Request.PromptTokens*promptTokenBytes, deliver) {
		c.failDial(call)
	}
}

// failDial ends a call after the dial timeout because its link is cut.
func (c *Cluster) failDial(call *outboundCall) {
	c.Clock.After(dialTimeout, func() {
		c.endCall(call, Result{outcome.NotRun, outcome.CodeBackendFailed})
	})
}

// submitToEngine queues the request at the server's engine. A server that is down
// refuses the connection, and the call ends without an execution.
func (c *Cluster) submitToEngine(call *outboundCall) {
	r := call.task.Request
	seq := &engine.Sequence{
		Prefix: r.Prefix, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Priority: call.task.Priority, Class: int(r.Work.Rank), Poison: r.Poison, RestartDelay: crashRestart,
	}
	seq.OnFirstToken = func() { c.reply(call, tokenEventBytes, func() { c.relayFirstToken(call) }) }
	seq.OnEnd = func(reason engine.EndReason) { c.sequenceEnded(call, reason) }
	if !call.server.Engine.Submit(seq) {
		c.reply(call, controlMessageBytes, func() { c.endCall(call, Result{outcome.NotRun, outcome.CodeBackendFailed}) })
		return
	}
	call.sequence = seq
	r.Executions++
}

// reply sends a message from the target of a call back to the instance that
// made the call.
func (c *Cluster) reply(call *outboundCall, bytes int, deliver func()) {
	c.transmit(call.target, call.task.Instance.Location, bytes, deliver)
}

// sequenceEnded sends the result of a sequence to the instance. A canceled
// sequence has no result: the instance has already dropped the call.
func (c *Cluster) sequenceEnded(call *outboundCall, reason engine.EndReason) {
	switch reason {
	case engine.Finished:
		c.reply(call, call.task.Request.OutputTokens*tokenEventBytes, func() {
			if !call.done {
				call.task.Request.ServedBy = call.server
			}
			c.endCall(call, Result{Outcome: outcome.Served})
		})
	case engine.Crashed:
		c.reply(call, controlMessageBytes, func() { c.endCall(call, Result{outcome.MayHaveRun, outcome.CodeBackendFailed}) })
	case engine.Canceled:
	}
}

// relayFirstToken handles the first token of a call at the instance that made the
// call and relays it to the origin instance or to the caller.
func (c *Cluster) relayFirstToken(call *outboundCall) {
	t := call.task
	if call.done || t.closed {
		return
	}
	t.responseStarted = true
	c.policy.OnFirstToken(t)
	if t.Origin != nil {
		c.transmit(t.Instance.Location, t.Origin.Instance.Location, tokenEventBytes, func() { c.relayFirstToken(t.originCall) })
		return
	}
	c.Clock.After(callerDelay, func() {
		if r := t.Request; !r.FirstTokenReceived && !r.Ended {
			r.FirstTokenReceived, r.FirstToken = true, c.Clock.Elapsed()
		}
	})
}

// endCall reports the result of a call to the policy and finishes the task if it
// was served. It does nothing if the call is already done.
func (c *Cluster) endCall(call *outboundCall, result Result) {
	if call.done {
		return
	}
	call.done = true
	t := call.task
	t.activeCall = nil
	if t.closed {
		return
	}
	c.policy.OnCallEnd(t, result)
	if result.Outcome == outcome.Served && !t.closed {
		c.Finish(t, result)
	}
}

// Cancel aborts the call that a task has in progress, if any. The target stops
// its work when the cancellation arrives; if the link is cut, it never arrives.
func (c *Cluster) Cancel(t *Task) {
	call := t.activeCall
	if call == nil {
		return
	}
	t.activeCall = nil
	call.done = true
	c.transmit(t.Instance.Location, call.target, controlMessageBytes, func() { c.cancelRemote(call) })
}

// cancelRemote stops the work of a call at its target.
func (c *Cluster) cancelRemote(call *outboundCall) {
	switch {
	case call.remoteTask != nil:
		c.drop(call.remoteTask)
	case call.sequence != nil:
		call.server.Engine.Cancel(call.sequence)
	}
}

// breakCall ends a call at both ends after its link was cut. The sender cannot
// determine whether the request has run.
func (c *Cluster) breakCall(call *outboundCall) {
	c.cancelRemote(call)
	c.endCall(call, Result{outcome.MayHaveRun, outcome.CodeBackendFailed})
}
