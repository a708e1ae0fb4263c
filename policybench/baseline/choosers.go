package baseline

import "github.com/fuchsiastack/fuchsiastack/policybench/cluster"

// RoundRobin returns a policy in which each instance rotates through the servers,
// separately for each service and home region.
func RoundRobin() *Baseline {
	return &Baseline{chooser: &roundRobin{counters: make(map[counterKey]int)}}
}

// counterKey identifies a rotation: works with different home regions have
// different candidates.
type counterKey struct {
	instance *cluster.Instance
	service  string
	home     string
}

// roundRobin implements chooser.
type roundRobin struct {
	counters map[counterKey]int
}

func (r *roundRobin) choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server {
	key := counterKey{t.Instance, t.Request.Service.Name, t.Request.Work.Home}
	r.counters[key]++
	return candidates[r.counters[key]%len(candidates)]
}

func (*roundRobin) attemptStarted(*cluster.Task, *cluster.Server) {}

func (*roundRobin) attemptEnded(*cluster.Task, *cluster.Server) {}

// LeastOutstanding returns a policy that selects the server on which the instance
// itself has the fewest requests in flight. Ties are broken in favor of servers
// of the instance's own region, and among equal servers by rotation.
func LeastOutstanding() *Baseline {
	return &Baseline{chooser: &leastOutstanding{inFlight: make(map[inFlightKey]int)}}
}

type inFlightKey struct {
	instance *cluster.Instance
	server   *cluster.Server
}

// leastOutstanding implements chooser.
type leastOutstanding struct {
	inFlight map[inFlightKey]int
	rotation int // offset at which the scan of the candidates starts
}

func (l *leastOutstanding) choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server {
	l.rotation++
	var best *cluster.Server
	for i := range candidates {
		s := candidates[(i+l.rotation)%len(candidates)]
		if best == nil || l.better(t.Instance, s, best) {
			best = s
		}
	}
	return best
}

// better reports whether an instance prefers server a to server b.
func (l *leastOutstanding) better(in *cluster.Instance, a, b *cluster.Server) bool {
	countA, countB := l.inFlight[inFlightKey{in, a}], l.inFlight[inFlightKey{in, b}]
	if countA != countB {
		return countA < countB
	}
	return a.Region == in.Region && b.Region != in.Region
}

func (l *leastOutstanding) attemptStarted(t *cluster.Task, s *cluster.Server) {
	l.inFlight[inFlightKey{t.Instance, s}]++
}

func (l *leastOutstanding) attemptEnded(t *cluster.Task, s *cluster.Server) {
	l.inFlight[inFlightKey{t.Instance, s}]--
}
