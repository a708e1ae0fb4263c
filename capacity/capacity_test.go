package capacity

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func estimator() learner { return own{&Estimator{}} }
func nominal() learner   { return fixed{} }

// scenario is a load on servers for the comparison of learners.
type scenario struct {
	name    string
	servers func() []*server
	rate    float64 // requests per second of each server
	slow    float64 // speed of the first quarter of the servers from 10 s to 20 s; 0: as usual
	calls   bool
}

func same(count int, make func() *server) func() []*server {
	return func() []*server {
		var list []*server
		for range count {
			list = append(list, make())
		}
		return list
	}
}

// engines returns eight engines, a quarter of which are slow.
func engines() []*server {
	var list []*server
	for k := range 8 {
		speed := 1.2
		if k%4 == 0 {
			speed = 0.55
		}
		list = append(list, engine(speed))
	}
	return list
}

var scenarios = []scenario{
	{"equal engines, 4/s", same(8, func() *server { return engine(1) }), 4, 0, false},
	{"a quarter at 0.55, 5/s", engines, 5, 0, false},
	{"a quarter at 0.55, 7/s", engines, 7, 0, false},
	{"a quarter 4 times slower for 10 s, 3/s", same(8, func() *server { return engine(1) }), 3, 0.25, false},
	{"plain, 10/s", same(4, func() *server { return plain(1) }), 10, 0, true},
	{"plain that slow down, 20/s", same(4, func() *server { return plain(1) }), 20, 0, true},
	{"plain that slow down, 40/s", same(4, func() *server { return plain(1) }), 40, 0, true},
}

func (c scenario) play(seed uint64, instances int, share bool, make func() learner) *sim {
	s := newSim(seed, instances, share, make, c.servers()...)
	s.eachSecond = func(second int) {
		for k, x := range s.servers[:len(s.servers)/4] {
			if c.slow > 0 && second == 10 {
				x.speed = c.slow
			} else if c.slow > 0 && second == 20 {
				x.speed = c.servers()[k].speed
			}
		}
	}
	load := s.engineRequest
	if c.calls {
		load = s.call
	}
	s.run(40*time.Second, c.rate*float64(len(s.servers)), load)
	return s
}

// TestAlternatives prints the table of docs/design/server-capacity.md.
func TestAlternatives(t *testing.T) {
	for _, c := range scenarios {
		for _, l := range []struct {
			name  string
			make  func() learner
			share bool
		}{
			{"nominal", nominal, false},
			{"AIMD", newAIMD, false},
			{"gradient", newGradient, false},
			{"delay window", newDelayWindow, false},
			{"throughput", newThroughput, false},
			{"estimator alone", estimator, false},
			{"estimator", estimator, true},
		} {
			for _, n := range []int{1, 7, 80} {
				if n > 1 && l.name == "nominal" {
					continue
				}
				credit := 0.0
				for seed := range uint64(3) {
					credit += c.play(seed, n, l.share, l.make).credit() / 3
				}
				t.Logf("%s; %s; %d: %.3f", c.name, l.name, n, credit)
			}
		}
	}
}

var _ = qt.New
