package dispatch

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// TestAttemptIsRefusedUnrun guards against a request that is sent to a server although
// its instance has found, since it arrived, that it must not be; and against a promise
// that it has not run if an earlier attempt may have run it.
func TestAttemptIsRefusedUnrun(t *testing.T) {
	for _, test := range []struct {
		attempts int // allowed
		outcome  outcome.Outcome
	}{{0, outcome.NotRun}, {1, outcome.MayHaveRun}} {
		inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
			calls := 0
			all[0].RefuseAttempt = func(*filters.Exchange) *outcome.Error {
				calls++
				if calls <= test.attempts {
					return nil
				}
				return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "shutting down")
			}
			_, err := all[0].send("poison") // crashes each server that runs it
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Code, qt.Equals, outcome.CodeDraining)
			c.Assert(err.Outcome, qt.Equals, test.outcome)
			c.Assert(e.crashCount, qt.Equals, test.attempts)
		})
	}
}
