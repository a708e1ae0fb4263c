package routing

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestSlowSpells guards against requests that wait at servers whose machines are busy
// for a moment: every engine is three times as slow for half a second, at random times,
// a sixth of the time. The baseline ignores what the engines report of it.
func TestSlowSpells(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	run := func(seed uint64, told bool) *sim {
		s := newSim(3, 6, 100*time.Millisecond, seed)
		for _, id := range slices.Sorted(maps.Keys(s.engines)) {
			e := s.engines[id]
			s.spells(e, func() { s.tell(id, e.slowdown, told) })
		}
		s.scheduleRequests(16, 2*time.Minute, s.randomPrompt)
		s.run(3 * time.Minute)
		return s
	}
	for seed := range uint64(4) {
		ignored, used := run(seed, false), run(seed, true)
		t.Logf("seed %d: p95 %v used, %v ignored; p99 %v and %v", seed, used.percentile(.95), ignored.percentile(.95), used.percentile(.99), ignored.percentile(.99))
		c.Check(used.percentile(.95) < ignored.percentile(.95), qt.IsTrue)
	}
}

// spells makes an engine slow for half a second at random times.
func (s *sim) spells(e *simEngine, changed func()) {
	const length, factor = 500 * time.Millisecond, 3
	set := func(slowdown backend.Slowdown) {
		e.slowdown = slowdown
		changed()
	}
	s.after(time.Duration(s.random.ExpFloat64()*float64(5*length)), func() {
		set(factor)
		s.after(length, func() {
			set(1)
			s.spells(e, changed)
		})
	})
}

// tell reports the slowdown of an engine to all instances each 100 ms for half a
// second, as its responses would.
func (s *sim) tell(id string, slowdown backend.Slowdown, told bool) {
	if !told {
		return
	}
	for delay := 50 * time.Millisecond; delay < 500*time.Millisecond; delay += 100 * time.Millisecond {
		s.after(delay, func() {
			if s.engines[id].slowdown != slowdown {
				return
			}
			for _, router := range s.routers {
				for _, server := range router.Registry.All() {
					if server.ID == id {
						server.RecordSlowdown(backend.SlowdownReport{Slowdown: slowdown, ReceivedAt: s.now})
					}
				}
			}
		})
	}
}
