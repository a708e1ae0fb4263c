package dispatch

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// ReasonSuspect is the reason of a decision that runs a suspect alone.
const ReasonSuspect routing.Reason = "suspect_alone"

// isolationStep is the time between two looks at a server that is to become
// idle for a trial.
const isolationStep = 50 * time.Millisecond

// silenceLimit is the time without a load report after which a server is taken
// to be lost.
const silenceLimit = 3 * time.Second

// suspect follows what the quarantine knows of one request.
type suspect struct {
	run    *run
	digest quarantine.Digest
	made   bool // digest has been computed
	trial  bool // this request holds the trial of its digest
	ended  bool // the crash has ended the trial
}

// key returns the digest. It is computed only if there is a reason to: most
// requests never need one.
func (s *suspect) key() quarantine.Digest {
	if !s.made {
		x := s.run.x
		s.digest = s.run.DigestKey.Digest(x.Service.Name, x.Path, x.Body)
		s.made = true
	}
	return s.digest
}

// admit waits until the request may run, or returns why it must not.
func (s *suspect) admit() *outcome.Error {
	r := s.run
	r.req.Alone = false
	if r.Quarantine == nil || r.Quarantine.Empty() {
		return nil
	}
	for {
		verdict := r.Quarantine.Admit(time.Now(), s.key())
		switch verdict.Action {
		case quarantine.Run:
			return nil
		case quarantine.RunAlone:
			r.req.Alone, s.trial, s.ended = true, true, false
			return nil
		case quarantine.RefuseQuarantined:
			return s.refuse(http.StatusUnprocessableEntity, "this request has crashed two backend servers and is not run any more", 0)
		case quarantine.RefuseElsewhere:
			refusal := s.refuse(http.StatusServiceUnavailable, "this request is examined by instance "+verdict.Owner, verdict.Wait)
			if r.OwnerURL != nil {
				refusal.Location = r.OwnerURL(verdict.Owner)
			}
			return refusal
		}
		if !sleep(r.ctx, verdict.Wait) {
			return s.refuse(http.StatusServiceUnavailable, "this request is examined; the deadline came first", verdict.Wait)
		}
	}
}

func (s *suspect) refuse(status int, text string, after time.Duration) *outcome.Error {
	s.run.Observer.Suspected(s.run.x, s.digest, s.run.Quarantine.State(time.Now(), s.digest), "")
	return outcome.Refuse(status, outcome.CodeQuarantined, "%s", text).WithRetryAfter(after)
}

// reserve waits until a server runs nothing else. It returns no server if the
// request has been cleared meanwhile: another one was found to be the cause.
func (s *suspect) reserve() (routing.Decision, *outcome.Error) {
	r := s.run
	for {
		now := time.Now()
		switch r.Quarantine.State(now, s.digest) {
		case quarantine.Cleared, quarantine.Quarantined:
			s.finish(quarantine.TrialNotRun)
			return routing.Decision{}, s.admit()
		}
		server := r.Quarantine.Reserve(now, r.Router.Registry.Of(r.x.Service.Name), s.usable)
		if server != nil && r.Quarantine.Begin(now, s.digest, server) {
			cost := r.Router.Scorer.Score(r.req, server, 0)
			return routing.Decision{Server: server, Reason: ReasonSuspect, Candidates: 1, Cost: cost}, nil
		}
		if !sleep(r.ctx, isolationStep) {
			s.finish(quarantine.TrialNotRun)
			return routing.Decision{}, s.refuse(http.StatusServiceUnavailable, "no backend server became idle for this request", time.Second)
		}
	}
}

// usable reports whether a server can be expected to run the request. One that
// has failed or does not report may be the one that crashed.
func (s *suspect) usable(server *backend.Server) bool {
	health := server.Health()
	return server.Accepts() && !health.Ejected() && health.Failures() == 0 &&
		server.Silence(time.Now()) <= silenceLimit && !s.run.req.Tried[server.ID]
}

// crashed records that the request was in flight on a server that crashed,
// and waits until the other instances know of it.
func (s *suspect) crashed(server *backend.Server, begun time.Time) {
	r := s.run
	if r.Quarantine == nil {
		return
	}
	var state quarantine.State
	if s.trial {
		state = s.finish(quarantine.TrialCrashed)
	} else {
		state = r.Quarantine.Crashed(time.Now(), s.key(), quarantine.Lost{
			Server: server.Key, Begun: begun, Rank: r.x.Work.Rank,
		})
	}
	r.Observer.Suspected(r.x, s.digest, state, server.ID)
	if state != quarantine.Unknown {
		sleep(r.ctx, r.Quarantine.SpreadTime())
	}
}

// end tells the quarantine how the attempt ended.
func (s *suspect) end(end attemptEnd) {
	if !s.trial || s.ended {
		return
	}
	result := quarantine.TrialUnknown
	switch {
	case end.err == nil:
		result = quarantine.TrialServed
	case end.err.Outcome == outcome.NotRun:
		result = quarantine.TrialNotRun
	}
	state := s.finish(result)
	s.run.Observer.Suspected(s.run.x, s.digest, state, "")
}

func (s *suspect) finish(end quarantine.TrialEnd) quarantine.State {
	s.trial, s.ended = false, true
	now := time.Now()
	state := s.run.Quarantine.Done(now, s.key(), end)
	s.run.Quarantine.ReleaseIdle(now)
	return state
}

// abandon ends a trial that is left without an end, such as by a panic that
// resets the caller's connection.
func (s *suspect) abandon() {
	if s.trial && !s.ended {
		s.finish(quarantine.TrialUnknown)
	}
}
