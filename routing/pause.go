package routing

import (
	"math"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Limit of the requests that an instance sends to a server whose pause has ended.
// Without it, the requests that other servers have taken over return at once, and
// the server asks for the next pause. The first request shows whether it does.
const (
	resumeRate         = 4.0                    // requests per second at the end of the pause
	resumeDoublingTime = 250 * time.Millisecond // of the rate
	resumeTime         = 2 * time.Second        // after which there is no limit
)

// PauseFilter removes servers that have asked this instance for a pause, and limits
// the rate of requests to those whose pause has ended.
type PauseFilter struct{}

// Keep implements Filter.
func (PauseFilter) Keep(now time.Time, req *Request, server *backend.Server) bool {
	until := server.PausedUntil()
	if until.IsZero() {
		return true
	}
	if now.Before(until) {
		return false
	}
	rate, limited := resumeLimit(now.Sub(until))
	return !limited || req.Service == nil || server.ResumeAllows(now, rate)
}

// resumeLimit returns the rate in requests per second to which a server is limited
// at the given time after its pause. limited is false if no limit applies.
func resumeLimit(since time.Duration) (rate float64, limited bool) {
	if since >= resumeTime {
		return 0, false
	}
	return resumeRate * math.Exp2(since.Seconds()/resumeDoublingTime.Seconds()), true
}

// takeResume consumes one request of the limit of a server whose pause has ended.
// It reports false if the limit is exhausted.
func takeResume(now time.Time, server *backend.Server) bool {
	until := server.PausedUntil()
	if until.IsZero() {
		return true
	}
	rate, limited := resumeLimit(now.Sub(until))
	return !limited || server.ReserveResume(now, rate)
}

// untilResume returns the time until the server is expected to receive a request
// again after its pause, or 0 if its pause is not what keeps requests from it.
func untilResume(now time.Time, server *backend.Server) time.Duration {
	until := server.PausedUntil()
	if now.Before(until) {
		return until.Sub(now)
	}
	if rate, limited := resumeLimit(now.Sub(until)); limited && !server.ResumeAllows(now, rate) {
		return time.Duration(float64(time.Second) / rate)
	}
	return 0
}

// UntilResume returns the time until the first server of a service resumes, if all of
// them that accept requests have asked for a pause, and 0 if not.
func (r *Router) UntilResume(service string) time.Duration {
	return noServer(r.now(), r.Registry.Servers(service)).RetryAfter
}

// noServer returns the decision if no server may run the request. If that is only
// because those that accept requests have asked for a pause, it contains the time
// until the first of them resumes.
func noServer(now time.Time, servers []*backend.Server) Decision {
	wait := time.Duration(0)
	for _, server := range servers {
		if !server.Accepts() {
			continue
		}
		resume := untilResume(now, server)
		if resume == 0 {
			return Decision{Reason: ReasonNoServer}
		}
		if wait == 0 || resume < wait {
			wait = resume
		}
	}
	if wait == 0 {
		return Decision{Reason: ReasonNoServer}
	}
	return Decision{Reason: ReasonPaused, RetryAfter: wait}
}
