// Package baseline implements two simple policies as a reference for the policy
// of the gateway. Both send each request immediately to a backend server in any
// permitted region and leave queueing to the engines, which run requests in
// order of arrival. Both detect cut links without delay.
package baseline

import (
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// chooser selects the server of each attempt. It is notified of the start and the
// end of every attempt.
type chooser interface {
	choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server
	attemptStarted(t *cluster.Task, s *cluster.Server)
	attemptEnded(t *cluster.Task, s *cluster.Server)
}

// Baseline implements cluster.Policy.
type Baseline struct {
	cluster *cluster.Cluster
	chooser chooser
}

// requestState is the state of a request between its attempts.
type requestState struct {
	tried  map[*cluster.Server]bool
	server *cluster.Server // of the last attempt
}

// Start implements cluster.Policy.
func (b *Baseline) Start(c *cluster.Cluster) { b.cluster = c }

// OnArrival implements cluster.Policy.
func (b *Baseline) OnArrival(t *cluster.Task) {
	t.PolicyState = &requestState{tried: make(map[*cluster.Server]bool)}
	b.send(t)
}

// send starts the next attempt, or finishes the request as not run if there is no
// candidate.
func (b *Baseline) send(t *cluster.Task) {
	p := t.PolicyState.(*requestState)
	candidates := b.candidates(t, p)
	if len(candidates) == 0 {
		b.cluster.Finish(t, cluster.Result{Outcome: outcome.NotRun, Code: outcome.CodeNoBackend})
		return
	}
	p.server = b.chooser.choose(t, candidates)
	p.tried[p.server] = true
	b.chooser.attemptStarted(t, p.server)
	b.cluster.Send(t, p.server)
}

// candidates returns the untried servers in the permitted and reachable regions.
func (b *Baseline) candidates(t *cluster.Task, p *requestState) []*cluster.Server {
	var list []*cluster.Server
	for _, s := range b.cluster.ServersOf(t.Request.Service.Name, "") {
		permitted := t.Request.Service.Permits(t.Request.Work, s.Region)
		if permitted && !p.tried[s] && b.cluster.Reachable(t.Instance.Region, s.Region) {
			list = append(list, s)
		}
	}
	return list
}

// OnFirstToken implements cluster.Policy.
func (b *Baseline) OnFirstToken(*cluster.Task) {}

// OnCallEnd implements cluster.Policy. A failed attempt is retried at another
// server if the response has not started and the request either has not run or
// may be repeated.
func (b *Baseline) OnCallEnd(t *cluster.Task, r cluster.Result) {
	p := t.PolicyState.(*requestState)
	b.chooser.attemptEnded(t, p.server)
	if r.Outcome == outcome.Served {
		return
	}
	retryable := r.Outcome == outcome.NotRun || t.Request.Work.Repeatable
	if t.ResponseStarted() || !retryable || len(p.tried) == maxAttempts {
		b.cluster.Finish(t, r)
		return
	}
	b.send(t)
}

// OnDrop implements cluster.Policy.
func (b *Baseline) OnDrop(t *cluster.Task) {
	b.chooser.attemptEnded(t, t.PolicyState.(*requestState).server)
}

// OnLoadReport implements cluster.Policy. The baselines do not use load reports.
func (b *Baseline) OnLoadReport(*cluster.Instance, *cluster.Server, backend.Load) {}
