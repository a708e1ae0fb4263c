package exchange_test

import (
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/internal/testfleet"
	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
)

// clock is a topic whose state is padding and the time at which it was read, or
// only zero padding if it is frozen.
type clock struct {
	name    string
	padding int // bytes
	frozen  atomic.Bool

	mu     sync.Mutex
	at     map[string]time.Time // by origin
	merged int
}

func newClock(name string, padding int) *clock {
	return &clock{name: name, padding: padding, at: make(map[string]time.Time)}
}

func (t *clock) Name() string { return t.name }

func (t *clock) State() []byte {
	if t.frozen.Load() {
		return make([]byte, t.padding)
	}
	return binary.BigEndian.AppendUint64(make([]byte, t.padding), uint64(time.Now().UnixNano()))
}

func (t *clock) Merge(instance string, state []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merged++
	t.at[instance] = time.Unix(0, int64(binary.BigEndian.Uint64(state[len(state)-8:])))
	return nil
}

func (t *clock) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.at, instance)
}

func (t *clock) RegionState() []byte { return t.State() }

func (t *clock) MergeRegion(region string, state []byte, age time.Duration) error {
	if actual := time.Since(time.Unix(0, int64(binary.BigEndian.Uint64(state[len(state)-8:])))); (actual - age).Abs() > time.Second {
		return fmt.Errorf("age %v, want about %v", age, actual)
	}
	return t.Merge(region, state)
}

// maxAge returns the age of the oldest state, or an hour if the states of fewer
// than origins peers have been merged.
func (t *clock) maxAge(origins int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := time.Duration(0)
	if len(t.at) < origins {
		oldest = time.Hour
	}
	for _, at := range t.at {
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// fleet starts regions of size instances each, with a clock topic at each
// instance.
func fleet(t *testing.T, l *testlink.Link, regions, size, padding int) ([]*testfleet.Instance, []*clock) {
	var clocks []*clock
	instances := testfleet.StartRegions(t.Context(), l, regions, size, func(i *testfleet.Instance) {
		c := newClock("clock", padding)
		clocks = append(clocks, c)
		i.Gossiper.Add(c)
	})
	return instances, clocks
}

// isolation is the age of a state at which its users treat the peer as lost.
const isolation = 10 * time.Second

// TestStateAgeUnderLoss checks the maximum age of any state at any instance
// with 1% message loss.
func TestStateAgeUnderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		_, clocks := fleet(t, l, 1, 16, 32)
		time.Sleep(20 * time.Second)
		l.UpdateConditions(func(s *testlink.Conditions) { s.Loss = 0.01 })
		oldest := time.Duration(0)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, clock := range clocks {
				oldest = max(oldest, clock.maxAge(15))
			}
		}
		t.Logf("oldest state %v", oldest)
		c.Assert(oldest < isolation, qt.IsTrue)
	})
}

// TestByteBudget publishes states that exceed the byte budget. They become
// older, but none is starved, and the traffic stays within the budget.
func TestByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		instances, clocks := fleet(t, testlink.New(), 1, 16, 1000)
		time.Sleep(2 * time.Minute)
		for _, i := range instances {
			i.TakeCounters()
		}
		const seconds = 60
		oldest := time.Duration(0)
		for range seconds {
			time.Sleep(time.Second)
			for _, clock := range clocks {
				oldest = max(oldest, clock.maxAge(15))
			}
		}
		maxRate := 0
		for _, i := range instances {
			_, bytes := i.TakeCounters()
			maxRate = max(maxRate, bytes/seconds)
		}
		t.Logf("oldest state %v, at most %d bytes/s", oldest, maxRate)
		c.Assert(oldest < time.Minute, qt.IsTrue)
		c.Assert(maxRate < 5000, qt.IsTrue)
	})
}

// TestUnchangedStateIsNotSent compares the traffic of changing states with that
// of unchanged states.
func TestUnchangedStateIsNotSent(t *testing.T) {
	cost := func(frozen bool) (bytes int) {
		synctest.Test(t, func(t *testing.T) {
			instances, clocks := fleet(t, testlink.New(), 1, 8, 64)
			for _, clock := range clocks {
				clock.frozen.Store(frozen)
			}
			time.Sleep(30 * time.Second)
			instances[0].TakeCounters()
			time.Sleep(20 * time.Second)
			_, bytes = instances[0].TakeCounters()
			bytes /= 20
		})
		return bytes
	}
	changing, unchanged := cost(false), cost(true)
	t.Logf("%d bytes/s with changing states, %d bytes/s with unchanged states", changing, unchanged)
	qt.Assert(t, changing-unchanged > 7*64, qt.IsTrue)
}

// TestForgottenInstanceIsNotRestored stops an instance and removes it at one
// peer while other peers still hold its state.
func TestForgottenInstanceIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		instances, clocks := fleet(t, testlink.New(), 1, 8, 8)
		time.Sleep(20 * time.Second)
		clocks[1].Forget("region-0-0")
		instances[0].Stop()
		instances[1].Gossiper.Forget("region-0-0")
		time.Sleep(20 * time.Second)
		c.Assert(clocks[1].maxAge(0) < 10*time.Second, qt.IsTrue)
		c.Assert(clocks[2].maxAge(0) > 15*time.Second, qt.IsTrue)
	})
}

// TestRegionSummaries checks the maximum age of the summaries of all other
// regions, also after the instance that publishes for a region stops.
func TestRegionSummaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var clocks []*clock
		instances := testfleet.StartRegions(t.Context(), testlink.New(), 8, 3, func(i *testfleet.Instance) {
			clock := newClock("sum", 32)
			clocks = append(clocks, clock)
			i.Gossiper.AddRegionTopics(clock)
		})
		oldest := func(seconds int) time.Duration {
			oldest := time.Duration(0)
			for range seconds {
				time.Sleep(time.Second)
				for n, clock := range clocks {
					if instances[n] != nil {
						oldest = max(oldest, clock.maxAge(7))
					}
				}
			}
			return oldest
		}
		time.Sleep(time.Minute)
		steady := oldest(60)
		publisher := instances[0].Membership.View().Bridges("region-0")[0].ID
		for n, i := range instances {
			if i.Instance.ID == publisher {
				i.Stop()
				instances[n] = nil
			}
		}
		replaced := oldest(60)
		t.Logf("oldest summary %v, %v while the publisher is replaced", steady, replaced)
		c.Assert(steady < isolation, qt.IsTrue)
		c.Assert(replaced < isolation+5*time.Second, qt.IsTrue)
	})
}
