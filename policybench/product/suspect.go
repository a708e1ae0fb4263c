package product

import (
	"encoding/binary"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// isolationStep is the time between two looks at a server that is to become
// idle for a trial, as in the dispatcher.
const isolationStep = 50 * time.Millisecond

// suspect follows what the quarantine knows of one request.
type suspect struct {
	digest quarantine.Digest
	trial  bool // this request holds the trial of its digest
}

// digestOf returns the digest of a request's content. A request that is sent
// again has the same one.
func digestOf(q *cluster.Request) quarantine.Digest {
	var d quarantine.Digest
	binary.LittleEndian.PutUint64(d[:], uint64(q.Number)+1)
	return d
}

// admit waits until the request may run.
func (s *suspect) admit(r *request) {
	n := r.node
	r.route.Alone = false
	verdict := n.table.Admit(n.now(), s.digest)
	switch verdict.Action {
	case quarantine.Run:
		r.decide()
	case quarantine.RunAlone:
		r.route.Alone, s.trial = true, true
		s.reserve(r)
	case quarantine.Wait:
		r.after(verdict.Wait, func() { s.admit(r) })
	case quarantine.RefuseElsewhere, quarantine.RefuseQuarantined:
		r.finish(outcome.NotRun, outcome.CodeQuarantined)
	}
}

// reserve waits until a server runs nothing else. A request that has been
// cleared meanwhile runs as any other.
func (s *suspect) reserve(r *request) {
	n := r.node
	switch n.table.State(n.now(), s.digest) {
	case quarantine.Cleared, quarantine.Quarantined:
		s.finish(r, quarantine.TrialNotRun)
		s.admit(r)
		return
	}
	usable := func(server *backend.Server) bool { return s.usable(r, server) }
	server := n.table.Reserve(n.now(), n.registry.Of(r.task.Request.Service.Name), usable)
	if server == nil || !n.table.Begin(n.now(), s.digest, server) {
		r.after(isolationStep, func() { s.reserve(r) })
		return
	}
	r.decision = routing.Decision{Server: server, Cost: n.router.Scorer.Score(r.route, server, 0)}
	r.send()
}

// usable reports whether a server can be expected to run the request. One that
// has failed or does not report may be the one that crashed.
func (s *suspect) usable(r *request, server *backend.Server) bool {
	health := server.Health()
	return server.Accepts() && !health.Ejected() && health.Failures() == 0 &&
		server.Silence(r.node.now()) <= silenceLimit && !r.route.Tried[server.ID]
}

// crashed records that the request was in flight on a server that crashed, and
// reports whether it is a suspect now.
func (s *suspect) crashed(r *request) bool {
	n := r.node
	if s.trial {
		return s.finish(r, quarantine.TrialCrashed) != quarantine.Unknown
	}
	lost := quarantine.Lost{Server: r.decision.Server.Key, Begun: r.begun, Rank: r.rank()}
	return n.table.Crashed(n.now(), s.digest, lost) != quarantine.Unknown
}

// end tells the quarantine how a trial ended, unless its server crashed.
func (s *suspect) end(r *request, result cluster.Result) {
	if !s.trial {
		return
	}
	switch {
	case result.Outcome == outcome.Served:
		s.finish(r, quarantine.TrialServed)
	case result.Outcome == outcome.NotRun:
		s.finish(r, quarantine.TrialNotRun)
	case r.stalled:
		s.finish(r, quarantine.TrialUnknown)
	}
}

func (s *suspect) finish(r *request, end quarantine.TrialEnd) quarantine.State {
	s.trial = false
	n := r.node
	state := n.table.Done(n.now(), s.digest, end)
	n.table.ReleaseIdle(n.now())
	return state
}

// abandon ends a trial that is left without an end.
func (s *suspect) abandon(r *request) {
	if s.trial {
		s.finish(r, quarantine.TrialUnknown)
	}
}
