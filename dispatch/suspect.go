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

// isolationPollInterval is the interval of the checks whether a server has become
// idle for a trial.
const isolationPollInterval = 50 * time.Millisecond

// maxLoadReportAge is the time without a load report after which a server is
// considered lost.
const maxLoadReportAge = 3 * time.Second

// suspectTracker tracks the quarantine state of one request.
type suspectTracker struct {
	loop           *attemptLoop
	digest         quarantine.Digest
	digestComputed bool
	inTrial        bool // this request is the trial of its digest
	trialEnded     bool // the result of the trial has been recorded
}

// contentDigest returns the digest of the request. It is computed on first use,
// because most requests never need it.
func (s *suspectTracker) contentDigest() quarantine.Digest {
	if !s.digestComputed {
		x := s.loop.x
		s.digest = s.loop.DigestKey.Digest(x.Service.Name, x.Path, x.Body)
		s.digestComputed = true
	}
	return s.digest
}

// admit waits until the request may run, or returns the refusal if it must not.
func (s *suspectTracker) admit() *outcome.Error {
	r := s.loop
	r.req.Alone = false
	if r.Quarantine == nil || r.Quarantine.Empty() {
		return nil
	}
	for {
		verdict := r.Quarantine.Admit(time.Now(), s.contentDigest())
		switch verdict.Action {
		case quarantine.Run:
			return nil
		case quarantine.RunAlone:
			r.req.Alone, s.inTrial, s.trialEnded = true, true, false
			return nil
		case quarantine.RefuseQuarantined:
			return s.refuse(http.StatusUnprocessableEntity, "this request has crashed two backend servers and is not run any more", 0)
		case quarantine.RefuseNotOwner:
			refusal := s.refuse(http.StatusServiceUnavailable, "this request is examined by instance "+verdict.Owner, verdict.RetryAfter)
			if r.OwnerURL != nil {
				refusal.Location = r.OwnerURL(verdict.Owner)
			}
			return refusal
		}
		if !sleep(r.ctx, verdict.RetryAfter) {
			return s.refuse(http.StatusServiceUnavailable, "this request is examined; the deadline came first", verdict.RetryAfter)
		}
	}
}

func (s *suspectTracker) refuse(status int, text string, retryAfter time.Duration) *outcome.Error {
	s.loop.Observer.SuspectState(s.loop.x, s.digest, s.loop.Quarantine.State(time.Now(), s.digest), "")
	return outcome.Refuse(status, outcome.CodeQuarantined, "%s", text).WithRetryAfter(retryAfter)
}

// reserveServer waits for a server that runs no other request. It returns no
// server if the request has been cleared in the meantime because another request
// was found to be the cause of the crash.
func (s *suspectTracker) reserveServer() (routing.Decision, *outcome.Error) {
	r := s.loop
	for {
		now := time.Now()
		switch r.Quarantine.State(now, s.digest) {
		case quarantine.Cleared, quarantine.Quarantined:
			s.endTrial(quarantine.TrialNotRun)
			return routing.Decision{}, s.admit()
		}
		server := r.Quarantine.ReserveServer(now, r.Router.Registry.Servers(r.x.Service.Name), s.usable)
		if server != nil && r.Quarantine.BeginTrial(now, s.digest, server) {
			cost := r.Router.Scorer.Score(r.req, server, 0)
			return routing.Decision{Server: server, Reason: ReasonSuspect, Candidates: 1, Cost: cost}, nil
		}
		if !r.Router.Registry.MayReceive(r.x.Service.Name, now) {
			s.endTrial(quarantine.TrialNotRun)
			return routing.Decision{}, s.refuse(http.StatusServiceUnavailable, "no backend server accepts this request now", max(r.Router.UntilResume(r.x.Service.Name), time.Second))
		}
		if !sleep(r.ctx, isolationPollInterval) {
			s.endTrial(quarantine.TrialNotRun)
			return routing.Decision{}, s.refuse(http.StatusServiceUnavailable, "no backend server became idle for this request", time.Second)
		}
	}
}

// usable reports whether the trial may use a server. A server that has failed or
// does not report its load may be the one that crashed.
func (s *suspectTracker) usable(server *backend.Server) bool {
	health, now := server.Health(), time.Now()
	return server.MayReceive(now) && !health.Ejected() && health.ConsecutiveFailures() == 0 &&
		server.ReportAge(now) <= maxLoadReportAge && !s.loop.req.Tried[server.ID] && routing.VersionFilter{}.Keep(now, s.loop.req, server)
}

// recordCrash records that the request was in flight on a server that crashed,
// and waits until the record has been propagated to the other instances.
func (s *suspectTracker) recordCrash(server *backend.Server, startedAt time.Time) {
	r := s.loop
	if r.Quarantine == nil {
		return
	}
	var state quarantine.State
	if s.inTrial {
		state = s.endTrial(quarantine.TrialCrashed)
	} else {
		state = r.Quarantine.RecordCrash(time.Now(), s.contentDigest(), quarantine.LostAttempt{
			ServerKey: server.Key, StartedAt: startedAt, Rank: r.x.Work.Rank,
		})
	}
	r.Observer.SuspectState(r.x, s.digest, state, server.ID)
	if state != quarantine.Unknown {
		sleep(r.ctx, r.Quarantine.EffectivePropagationDelay())
	}
}

// recordResult ends the trial of the request, if any, with the result of the
// attempt.
func (s *suspectTracker) recordResult(result attemptResult) {
	if !s.inTrial || s.trialEnded {
		return
	}
	trialResult := quarantine.TrialUnknown
	switch {
	case result.err == nil:
		trialResult = quarantine.TrialServed
	case result.err.Outcome == outcome.NotRun:
		trialResult = quarantine.TrialNotRun
	}
	state := s.endTrial(trialResult)
	s.loop.Observer.SuspectState(s.loop.x, s.digest, state, "")
}

func (s *suspectTracker) endTrial(result quarantine.TrialResult) quarantine.State {
	s.inTrial, s.trialEnded = false, true
	now := time.Now()
	state := s.loop.Quarantine.EndTrial(now, s.contentDigest(), result)
	s.loop.Quarantine.ReleaseUnneeded(now)
	return state
}

// abandonTrial ends a trial whose result was not recorded, for example because of
// a panic that resets the caller's connection.
func (s *suspectTracker) abandonTrial() {
	if s.inTrial && !s.trialEnded {
		s.endTrial(quarantine.TrialUnknown)
	}
}
