package filters

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Guards against a burst of refused callers that returns within a second and is refused
// again. A caller that may still be in time must not be told to wait longer.
func TestRefusedBurstReturnsSpread(t *testing.T) {
	c := qt.New(t)
	returns := func(elapsed, target time.Duration) []time.Duration {
		var times []time.Duration
		for k := range 100 {
			now := time.Now()
			x := &Exchange{Received: now.Add(-elapsed), Deadline: now.Add(15 * time.Second), Service: &catalog.Service{}}
			x.Service.Ranks[catalog.Urgent].Target = target
			f := SpreadReturn{Random: func() float64 { return float64(k) / 100 }}
			err := f.Handle(x, func(*Exchange) *outcome.Error {
				return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "no slot").WithRetryAfter(time.Second)
			})
			times = append(times, err.RetryAfter)
		}
		slices.Sort(times)
		return times
	}
	late := returns(0, 800*time.Millisecond)
	c.Assert(late[0] >= time.Second, qt.IsTrue)
	c.Assert(late[99] < 5*time.Second, qt.IsTrue, qt.Commentf("callers ignore more than a third of their time: %v", late[99]))
	inOneSecond, _ := slices.BinarySearch(late, 2*time.Second)
	c.Assert(inOneSecond <= 35, qt.IsTrue, qt.Commentf("%d of 100 return within the first second", inOneSecond))
	inTime := returns(0, 2500*time.Millisecond)
	c.Assert(inTime[99], qt.Equals, time.Second)
}
