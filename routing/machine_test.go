package routing

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestMain sets a fixed default seed for the state machine tests; the flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestEjectorMachine runs random sequences of failures, responses of random latency,
// probes and departures. It checks that the fraction of ejected servers stays
// bounded, that ejected servers receive only probes, and that draining servers
// receive nothing.
func TestEjectorMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "servers")
		router := newRouter(newRegistry(count, 8), 1)
		router.Health = router.Health[:1]
		now := start
		router.Now = func() time.Time { return now }
		e := &Ejector{Registry: router.Registry, Random: rand.New(rand.NewPCG(1, 1))}
		servers := router.Registry.Servers(testService.Name)
		server := rapid.SampledFrom(servers)
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) { e.Failed(now, server.Draw(t, "server"), false) },
			"answer": func(t *rapid.T) {
				s := server.Draw(t, "server")
				attempt := s.StartAttempt(now, backend.Job{UncachedExact: true})
				latency := rapid.IntRange(1, 5000).Draw(t, "ms")
				attempt.FirstToken(now.Add(time.Duration(latency) * time.Millisecond))
				attempt.End(now, true)
				ejected := s.Health().Ejected()
				e.Succeeded(now, s, false)
				if s.Health().Ejected() != ejected {
					t.Fatal("the success of an attempt that was no probe ended an ejection")
				}
			},
			"evaluate": func(*rapid.T) { e.Evaluate(now, testService.Name) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) { server.Draw(t, "server").SetDraining() },
			"decide": func(t *rapid.T) {
				d := router.Decide(&Request{Service: testService, Work: testWork, Deadline: now.Add(time.Minute)})
				if d.Server == nil {
					return
				}
				if !d.Server.Accepts() {
					t.Fatal("a draining server was chosen")
				}
				if d.Server.Health().Ejected() && !d.Probe() {
					t.Fatalf("ejected server was chosen with reason %s, want a probe", d.Reason)
				}
				if d.Probe() && rapid.Bool().Draw(t, "well") {
					e.Succeeded(now, d.Server, true)
				} else if d.Probe() {
					e.Failed(now, d.Server, true)
				}
			},
			"": func(t *rapid.T) {
				ejected := 0
				for _, s := range servers {
					if s.Health().Ejected() {
						ejected++
					}
				}
				if limit := max(1, int(defaultMaxEjectedFraction*float64(count))); ejected > limit || count == 1 && ejected > 0 {
					t.Fatalf("%d of %d servers are ejected, more than the limit", ejected, count)
				}
			},
		})
	})
}

func TestProbeBackoffAndRestore(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(4, 8)
	e := &Ejector{Registry: registry, ProbeAfter: time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	server := registry.Servers(testService.Name)[0]
	for range defaultFailures {
		e.Failed(start, server, false)
	}
	now := start
	for _, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		c.Assert(server.Health().ProbeDue(now.Add(backoff*3/4-time.Millisecond)), qt.IsFalse)
		now = now.Add(backoff * 5 / 4)
		c.Assert(server.Health().ReserveProbe(now, now.Add(probeTimeout)), qt.IsTrue)
		c.Assert(server.Health().ReserveProbe(now, now.Add(probeTimeout)), qt.IsFalse) // one probe at a time
		_, ejected := e.Failed(now, server, true)
		c.Assert(ejected, qt.IsTrue)
	}
	ejection, changed := e.Succeeded(now, server, true)
	c.Assert(changed && ejection.Restored, qt.IsTrue)
	c.Assert(server.Health().Ejected(), qt.IsFalse)
}

// TestCacheEvents delivers the cache events of engines late and with gaps.
func TestCacheEvents(t *testing.T) {
	c := qt.New(t)
	x := NewPrefixIndex(0)
	prefix := prefixOf(1, 9) // looked up at 8 blocks
	blocks := func(now time.Time, server uint64) int {
		for _, m := range x.match(now, prefix, nil) {
			if m.server == server {
				return m.blocks
			}
		}
		return 0
	}
	x.Add(start, 1, prefix[:4])
	x.Add(start, 2, prefix)
	c.Assert(blocks(start, 2), qt.Equals, 8)
	x.Remove(start.Add(time.Second), 2, prefix[6:])
	c.Assert(blocks(start, 2), qt.Equals, 6)
	// An eviction is ignored if it is older than the last use of the prefix.
	x.Add(start.Add(3*time.Second), 2, prefix)
	x.Remove(start.Add(2*time.Second), 2, prefix)
	c.Assert(blocks(start.Add(3*time.Second), 2), qt.Equals, 8)
	// A restart invalidates all entries, including those that delayed events add
	// for the time before it.
	x.Clear(start.Add(4*time.Second), 2)
	x.Add(start.Add(3*time.Second), 2, prefix)
	c.Assert(blocks(start.Add(5*time.Second), 2), qt.Equals, 0)
	c.Assert(blocks(start.Add(5*time.Second), 1), qt.Equals, 4)
	c.Assert(blocks(start.Add(prefixTTL+time.Second), 1), qt.Equals, 0)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	c := qt.New(t)
	x := NewPrefixIndex(prefixShards * 10)
	for i := range 1000 {
		x.Add(start.Add(time.Duration(i)*time.Second), 1, prefixOf(uint64(i), 8))
	}
	c.Assert(x.Len() <= prefixShards*10, qt.IsTrue)
	c.Assert(x.Len() > prefixShards*9, qt.IsTrue)
}

func TestServerKeepsItsStateWhileListed(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(1, 8)
	server := registry.All()[0]
	server.StartAttempt(start, backend.Job{UncachedTokens: 100, UncachedExact: true})
	info := server.Info
	info.State = backend.StateDraining
	registry.Replace([]backend.Info{info})
	draining := registry.All()[0]
	c.Assert(draining.InFlight(), qt.Equals, 1)
	c.Assert(draining.Accepts(), qt.IsFalse)
	info.Addr = "10.9.9.9:1"
	registry.Replace([]backend.Info{info})
	c.Assert(registry.All()[0].InFlight(), qt.Equals, 0)
}
