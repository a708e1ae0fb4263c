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

// isolationPollInterval is the time between two checks whether the server that is
// reserved for a trial has become idle. The value is that of the dispatcher.
const isolationPollInterval = 50 * time.Millisecond

// suspect is the quarantine state of one request.
type suspect struct {
	digest quarantine.Digest
	trial  bool // this request is the trial of its digest
}

// digestOf returns a digest that stands for the content of a request. All resends
// of a request have the same digest.
func digestOf(q *cluster.Request) quarantine.Digest {
	var d quarantine.Digest
	binary.LittleEndian.PutUint64(d[:], uint64(q.Number)+1)
	return d
}

// admit applies the verdict of the quarantine: it routes the request, reserves a
// server for a trial, waits and checks again, or refuses the request.
func (s *suspect) admit(r *request) {
	n := r.node
	r.route.Alone = false
	verdict := n.quarantineTable.Admit(n.now(), s.digest)
	switch verdict.Action {
	case quarantine.Run:
		r.decide()
	case quarantine.RunAlone:
		r.route.Alone, s.trial = true, true
		s.reserveServer(r)
	case quarantine.Wait:
		r.after(verdict.RetryAfter, func() { s.admit(r) })
	case quarantine.RefuseNotOwner, quarantine.RefuseQuarantined:
		r.finish(outcome.NotRun, outcome.CodeQuarantined)
	}
}

// reserveServer waits until a server is reserved and idle, and then starts the
// trial on it. If the digest is cleared or quarantined in the meantime, the trial
// ends and the verdict is taken again.
func (s *suspect) reserveServer(r *request) {
	n := r.node
	switch n.quarantineTable.State(n.now(), s.digest) {
	case quarantine.Cleared, quarantine.Quarantined:
		s.endTrial(r, quarantine.TrialNotRun)
		s.admit(r)
		return
	}
	usable := func(server *backend.Server) bool { return s.usable(r, server) }
	server := n.quarantineTable.ReserveServer(n.now(), n.registry.Servers(r.task.Request.Service.Name), usable)
	if server == nil || !n.quarantineTable.BeginTrial(n.now(), s.digest, server) {
		r.after(isolationPollInterval, func() { s.reserveServer(r) })
		return
	}
	r.decision = routing.Decision{Server: server, Cost: n.router.Scorer.Score(r.route, server, 0)}
	r.send()
}

// usable reports whether a server can be expected to run the request. A server
// that has failed or sends no load reports may be the one that crashed.
func (s *suspect) usable(r *request, server *backend.Server) bool {
	health := server.Health()
	return server.Accepts() && !health.Ejected() && health.ConsecutiveFailures() == 0 &&
		server.ReportAge(r.node.now()) <= maxReportAge && !r.route.Tried[server.ID]
}

// recordCrash records that the request was in flight on a server that crashed, and
// reports whether its digest is a suspect or quarantined afterwards.
func (s *suspect) recordCrash(r *request) bool {
	n := r.node
	if s.trial {
		return s.endTrial(r, quarantine.TrialCrashed) != quarantine.Unknown
	}
	lostAttempt := quarantine.LostAttempt{ServerKey: r.decision.Server.Key, StartedAt: r.startedAt, Rank: r.rank()}
	return n.quarantineTable.RecordCrash(n.now(), s.digest, lostAttempt) != quarantine.Unknown
}

// attemptEnded ends the trial, if the attempt was one, unless the server crashed:
// recordCrash ends the trial in that case.
func (s *suspect) attemptEnded(r *request, result cluster.Result) {
	if !s.trial {
		return
	}
	switch {
	case result.Outcome == outcome.Served:
		s.endTrial(r, quarantine.TrialServed)
	case result.Outcome == outcome.NotRun:
		s.endTrial(r, quarantine.TrialNotRun)
	case r.stalled:
		s.endTrial(r, quarantine.TrialUnknown)
	}
}

// endTrial records the result of the trial, releases the reserved server unless
// another suspect of this instance needs it, and returns the new state of the
// digest.
func (s *suspect) endTrial(r *request, trialEnd quarantine.TrialResult) quarantine.State {
	s.trial = false
	n := r.node
	state := n.quarantineTable.EndTrial(n.now(), s.digest, trialEnd)
	n.quarantineTable.ReleaseUnneeded(n.now())
	return state
}

// abort ends a trial that has no result.
func (s *suspect) abort(r *request) {
	if s.trial {
		s.endTrial(r, quarantine.TrialUnknown)
	}
}
