package quarantine

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the state machine; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestMachine sends the poison and innocents to random instances in random
// order, alone and beside each other. After each crash the error is held back
// until the crash has spread, as the dispatcher does.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(rapid.IntRange(1, 7).Draw(t, "instances"), 9)
		instance := rapid.IntRange(0, len(r.tables)-1)
		innocents := rapid.IntRange(0, 3)
		besidePoison := 0
		t.Repeat(map[string]func(*rapid.T){
			"poison": func(t *rapid.T) {
				r.send(instance.Draw(t, "instance"), poison, patience)
				r.pass(defaultSpread)
			},
			"innocent": func(t *rapid.T) {
				r.send(instance.Draw(t, "instance"), digestOf(innocents.Draw(t, "innocent")), patience)
			},
			"beside": func(t *rapid.T) {
				i, innocent := instance.Draw(t, "instance"), digestOf(innocents.Draw(t, "innocent"))
				for _, d := range []Digest{poison, innocent} {
					if r.tables[i].State(r.now, d) != Unknown {
						return
					}
				}
				r.together(i, innocent, poison)
				besidePoison++
				r.pass(defaultSpread)
			},
			"leave": func(t *rapid.T) {
				i := instance.Draw(t, "instance")
				if len(r.tables) == 1 {
					t.Skip("nobody is left to remember")
				}
				old := r.tables[i].Instance
				r.spread()
				r.tables[i] = &Table{Instance: old + "x"}
				for _, table := range r.tables {
					table.Forget(r.now, old)
				}
				// Callers are not sent to a newcomer before its first exchange.
				r.pass(defaultSpread)
			},
			"wait": func(*rapid.T) { r.pass(5 * time.Second) },
			"": func(t *rapid.T) {
				if r.crashes > 2 {
					t.Fatalf("%d servers lost to one request", r.crashes)
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
