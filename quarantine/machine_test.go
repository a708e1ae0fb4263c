package quarantine

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of TestStateMachine; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestStateMachine sends the poison request and innocent requests to random
// instances in random order, one at a time and concurrently on one server. After
// each crash, time advances until the other instances have received it, as the
// dispatcher delays the error until then.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(rapid.IntRange(1, 7).Draw(t, "instances"), 9)
		instance := rapid.IntRange(0, len(r.tables)-1)
		innocents := rapid.IntRange(0, 3)
		concurrentWithPoison := 0
		t.Repeat(map[string]func(*rapid.T){
			"poison": func(t *rapid.T) {
				r.send(instance.Draw(t, "instance"), poison, callerTimeout)
				r.advance(defaultPropagationDelay)
			},
			"innocent": func(t *rapid.T) {
				r.send(instance.Draw(t, "instance"), digestOf(innocents.Draw(t, "innocent")), callerTimeout)
			},
			"concurrent": func(t *rapid.T) {
				i, innocent := instance.Draw(t, "instance"), digestOf(innocents.Draw(t, "innocent"))
				for _, d := range []Digest{poison, innocent} {
					if r.tables[i].State(r.now, d) != Unknown {
						return
					}
				}
				r.runConcurrently(i, innocent, poison)
				concurrentWithPoison++
				r.advance(defaultPropagationDelay)
			},
			"leave": func(t *rapid.T) {
				i := instance.Draw(t, "instance")
				if len(r.tables) == 1 {
					t.Skip("no other instance holds the entries of the last one")
				}
				old := r.tables[i].Instance
				r.exchangeStates()
				r.tables[i] = &Table{Instance: old + "x"}
				for _, table := range r.tables {
					table.RemoveInstance(r.now, old)
				}
				// A new instance gets no requests before its first exchange of states.
				r.advance(defaultPropagationDelay)
			},
			"wait": func(*rapid.T) { r.advance(5 * time.Second) },
			"": func(t *rapid.T) {
				if r.crashes > 2 {
					t.Fatalf("one request crashed %d servers, want at most 2", r.crashes)
				}
				for _, table := range r.tables {
					for i := range 4 {
						if table.State(r.now, digestOf(i)) == Quarantined {
							t.Fatalf("innocent %d is quarantined", i)
						}
					}
				}
			},
		})
	})
}
