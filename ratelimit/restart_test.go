package ratelimit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// Times of a restart: from the start of the drain to the end of the process, to the
// start of the next process, and until callers are directed to it.
const (
	drainTime = 1200 * time.Millisecond
	startTime = time.Second
	joinDelay = 6 * time.Second
)

// restartRegion is a region whose instances are restarted, and the callers of one
// organization, who send their next requests all at the same moment.
type restartRegion struct {
	*region
	ended       []bool
	serving     []bool // callers are directed to the instance
	preferences [][]int
	sent        int
	refusals    []*Refusal
}

func newRestartRegion(instances int, preferences [][]int) *restartRegion {
	r := &restartRegion{
		region: newRegion(instances, catalog.Limits{RequestsPerSecond: 50, InFlight: 100}),
		ended:  make([]bool, instances), serving: make([]bool, instances), preferences: preferences,
	}
	for i := range r.serving {
		r.serving[i] = true
	}
	return r
}

// run lets time pass. Every 1.6 s each caller sends a request to the serving instance
// that it prefers.
func (r *restartRegion) run(duration time.Duration) {
	const responseTime = 1600 * time.Millisecond
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(step) {
		if r.now.UnixNano()%int64(time.Second) == 0 {
			r.exchangeRunning()
		}
		if r.now.UnixNano()%int64(responseTime) == 0 {
			for _, preference := range r.preferences {
				r.send(preference)
			}
		}
	}
}

func (r *restartRegion) send(preference []int) {
	for _, i := range preference {
		if !r.serving[i] {
			continue
		}
		r.sent++
		reservation, refusal := r.limiters[i].Admit(r.now, r.service, "press", 100)
		if refusal != nil {
			r.refusals = append(r.refusals, refusal)
			return
		}
		reservation.Done(100)
		return
	}
}

func (r *restartRegion) exchangeRunning() {
	for i, ended := range r.ended {
		r.isolated[i] = ended
	}
	r.exchange()
}

// restart shuts an instance down and starts it again under the same name.
func (r *restartRegion) restart(i int) {
	r.serving[i] = false
	r.run(drainTime)
	r.ended[i] = true
	for other, table := range r.tables {
		if other != i {
			table.Forget(r.names[i])
		}
	}
	r.run(startTime)
	r.start(i)
	r.run(joinDelay)
	r.serving[i] = true
}

func (r *restartRegion) start(i int) {
	config := share.DefaultConfig("limits", r.names[i])
	config.Clock = func() time.Time { return r.now }
	r.tables[i] = share.NewTable(config)
	r.tables[i].SetMembers(r.names)
	r.limiters[i] = New(r.tables[i], uint64(i))
	r.ended[i] = false
}

// TestCallersWithinLimitsAreServedDuringRestarts guards against refusals of callers
// within their limits, 20 requests in flight of 100 and 13 a second of 50, while
// instances are restarted. 14 of the callers are at one of two instances, which counted
// the third one twice and permitted only a quarter of the 50.
func TestCallersWithinLimitsAreServedDuringRestarts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRestartRegion(3, slices.Concat(
		slices.Repeat([][]int{{0, 1, 2}}, 4), slices.Repeat([][]int{{0, 2, 1}}, 4),
		slices.Repeat([][]int{{1, 0, 2}}, 5), slices.Repeat([][]int{{1, 2, 0}}, 5),
		slices.Repeat([][]int{{2, 0, 1}}, 2),
	))
	r.region.run(10*time.Second, 0, nil)
	r.run(2 * time.Second)
	for i := range r.names {
		r.restart(i)
	}
	r.run(time.Second)
	t.Logf("%d requests, %d refused", r.sent, len(r.refusals))
	c.Assert(r.sent >= 300, qt.IsTrue)
	for _, refusal := range r.refusals {
		c.Errorf("refused: %s, allowed %.1f, share %+v", refusal.Limit, refusal.Allowed, refusal.Share)
	}
}
