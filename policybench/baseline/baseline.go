// Package baseline holds the simple policies that the decisions of the product
// are compared with. Both send a request at once to a backend server of any
// permitted region and leave the queueing to the engines, which serve it in
// order of arrival. Both know at once which regions cannot be reached.
package baseline

import (
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// maxAttempts bounds the tries of one request.
const maxAttempts = 3

// chooser picks one of the candidates for a request at an instance.
type chooser interface {
	choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server
	sent(t *cluster.Task, s *cluster.Server)
	ended(t *cluster.Task, s *cluster.Server)
}

// Baseline implements cluster.Policy.
type Baseline struct {
	cluster *cluster.Cluster
	chooser chooser
}

// progress is the state of a request.
type progress struct {
	tried  map[*cluster.Server]bool
	server *cluster.Server
}

// Start implements cluster.Policy.
func (b *Baseline) Start(c *cluster.Cluster) { b.cluster = c }

// Arrive implements cluster.Policy.
func (b *Baseline) Arrive(t *cluster.Task) {
	t.Data = &progress{tried: make(map[*cluster.Server]bool)}
	b.send(t)
}

// send starts the next attempt, or refuses the request if no server is left.
func (b *Baseline) send(t *cluster.Task) {
	p := t.Data.(*progress)
	candidates := b.candidates(t, p)
	if len(candidates) == 0 {
		b.cluster.Finish(t, cluster.Result{Outcome: outcome.NotRun, Code: outcome.CodeNoBackend})
		return
	}
	p.server = b.chooser.choose(t, candidates)
	p.tried[p.server] = true
	b.chooser.sent(t, p.server)
	b.cluster.Send(t, p.server)
}

func (b *Baseline) candidates(t *cluster.Task, p *progress) []*cluster.Server {
	var list []*cluster.Server
	for _, s := range b.cluster.ServersOf(t.Request.Service.Name, "") {
		permitted := t.Request.Service.Permits(t.Request.Work, s.Region)
		if permitted && !p.tried[s] && b.cluster.Reachable(t.Instance.Region, s.Region) {
			list = append(list, s)
		}
	}
	return list
}

// FirstToken implements cluster.Policy.
func (b *Baseline) FirstToken(*cluster.Task) {}

// Ended implements cluster.Policy.
func (b *Baseline) Ended(t *cluster.Task, r cluster.Result) {
	p := t.Data.(*progress)
	b.chooser.ended(t, p.server)
	if r.Outcome == outcome.Served {
		return
	}
	safe := r.Outcome == outcome.NotRun || t.Request.Work.Repeatable
	if t.Started() || !safe || len(p.tried) == maxAttempts {
		b.cluster.Finish(t, r)
		return
	}
	b.send(t)
}

// Dropped implements cluster.Policy.
func (b *Baseline) Dropped(t *cluster.Task) {
	b.chooser.ended(t, t.Data.(*progress).server)
}

// Load implements cluster.Policy. The baselines use no load reports.
func (b *Baseline) Load(*cluster.Instance, *cluster.Server, backend.Load) {}
