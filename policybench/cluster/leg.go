package cluster

import (
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
)

// leg is an attempt at a backend server or the forwarding to another instance.
type leg struct {
	task     *Task
	server   *Server
	sequence *engine.Sequence // set once the server has the request
	remote   *Task            // at the other instance
	to       Place
	done     bool // the sender has a result or has given up
}

// crosses reports whether the leg lies between the region and another one.
func (l *leg) crosses(region string) bool {
	from, to := l.task.Instance.Region, l.to.Region
	return from != to && (from == region || to == region)
}

func (c *Cluster) newLeg(t *Task, to Place) *leg {
	if t.closed || t.leg != nil {
		panic("cluster: task is closed or has a leg already")
	}
	if !t.Request.Service.Permits(t.Request.Work, to.Region) {
		panic("cluster: request leaves its home region")
	}
	l := &leg{task: t, to: to}
	t.leg = l
	if to.Region != t.Instance.Region {
		t.Request.SentAway = true
		c.legs = append(c.legs, l)
	}
	return l
}

// Send starts an attempt at a backend server.
func (c *Cluster) Send(t *Task, s *Server) {
	l := c.newLeg(t, s.Place)
	l.server = s
	t.Request.Attempts++
	if !c.transmit(t.Instance.Place, s.Place, t.Request.PromptTokens*bytesPerToken, func() { c.submit(l) }) {
		c.failDial(l)
	}
}

// Forward passes a request to an instance of another region.
func (c *Cluster) Forward(t *Task, to *Instance) {
	if t.Origin != nil {
		panic("cluster: forwarded request is forwarded again")
	}
	l := c.newLeg(t, to.Place)
	deliver := func() {
		l.remote = &Task{
			Request: t.Request, Instance: to, Origin: t, via: l,
			Arrived: c.Clock.Now(), Deadline: t.Deadline,
		}
		c.policy.Arrive(l.remote)
	}
	if !c.transmit(t.Instance.Place, to.Place, t.Request.PromptTokens*bytesPerToken, deliver) {
		c.failDial(l)
	}
}

// failDial ends a leg whose connection could not be made.
func (c *Cluster) failDial(l *leg) {
	c.Clock.After(dialTimeout, func() {
		c.endLeg(l, Result{outcome.NotRun, outcome.CodeBackendFailed})
	})
}

// submit hands the request to the server's engine.
func (c *Cluster) submit(l *leg) {
	r := l.task.Request
	s := &engine.Sequence{
		Prefix: r.Prefix, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Priority: l.task.Priority, Class: int(r.Work.Rank), Poison: r.Poison, Restart: crashRestart,
	}
	s.OnFirstToken = func() { c.reply(l, eventBytes, func() { c.firstToken(l) }) }
	s.OnEnd = func(how engine.End) { c.sequenceEnded(l, how) }
	if !l.server.Engine.Submit(s) {
		c.reply(l, controlBytes, func() { c.endLeg(l, Result{outcome.NotRun, outcome.CodeBackendFailed}) })
		return
	}
	l.sequence = s
	r.Executions++
}

// reply sends a message from the server of a leg to its instance.
func (c *Cluster) reply(l *leg, bytes int, deliver func()) {
	c.transmit(l.to, l.task.Instance.Place, bytes, deliver)
}

func (c *Cluster) sequenceEnded(l *leg, how engine.End) {
	switch how {
	case engine.Finished:
		c.reply(l, l.task.Request.OutputTokens*eventBytes, func() {
			if !l.done {
				l.task.Request.ServedBy = l.server
			}
			c.endLeg(l, Result{Outcome: outcome.Served})
		})
	case engine.Crashed:
		c.reply(l, controlBytes, func() { c.endLeg(l, Result{outcome.MayHaveRun, outcome.CodeBackendFailed}) })
	case engine.Canceled:
	}
}

// firstToken passes the first token on towards the caller.
func (c *Cluster) firstToken(l *leg) {
	t := l.task
	if l.done || t.closed {
		return
	}
	t.started = true
	c.policy.FirstToken(t)
	if t.Origin != nil {
		c.transmit(t.Instance.Place, t.Origin.Instance.Place, eventBytes, func() { c.firstToken(t.via) })
		return
	}
	c.Clock.After(callerDelay, func() {
		if r := t.Request; !r.Answered && !r.Ended {
			r.Answered, r.FirstToken = true, c.Clock.Elapsed()
		}
	})
}

// endLeg tells the policy how a leg ended, and finishes a served task.
func (c *Cluster) endLeg(l *leg, result Result) {
	if l.done {
		return
	}
	l.done = true
	t := l.task
	t.leg = nil
	if t.closed {
		return
	}
	c.policy.Ended(t, result)
	if result.Outcome == outcome.Served && !t.closed {
		c.Finish(t, result)
	}
}

// Cancel gives up the attempt or the forwarding of a task, if there is one.
func (c *Cluster) Cancel(t *Task) {
	l := t.leg
	if l == nil {
		return
	}
	t.leg = nil
	l.done = true
	c.transmit(t.Instance.Place, l.to, controlBytes, func() { c.cancelRemote(l) })
}

// cancelRemote stops the work of a leg where it runs.
func (c *Cluster) cancelRemote(l *leg) {
	switch {
	case l.remote != nil:
		c.drop(l.remote)
	case l.sequence != nil:
		l.server.Engine.Cancel(l.sequence)
	}
}

// breakLeg ends a leg on both sides after its link was cut.
func (c *Cluster) breakLeg(l *leg) {
	c.cancelRemote(l)
	c.endLeg(l, Result{outcome.MayHaveRun, outcome.CodeBackendFailed})
}
