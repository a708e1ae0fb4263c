package baseline

import "github.com/fuchsiastack/fuchsiastack/policybench/cluster"

// RoundRobin returns a policy that uses the servers in turn.
func RoundRobin() *Baseline {
	return &Baseline{chooser: &roundRobin{next: make(map[turnKey]int)}}
}

type turnKey struct {
	instance *cluster.Instance
	service  string
	home     string
}

type roundRobin struct {
	next map[turnKey]int
}

func (r *roundRobin) choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server {
	key := turnKey{t.Instance, t.Request.Service.Name, t.Request.Work.Home}
	r.next[key]++
	return candidates[r.next[key]%len(candidates)]
}

func (*roundRobin) sent(*cluster.Task, *cluster.Server) {}

func (*roundRobin) ended(*cluster.Task, *cluster.Server) {}

// LeastOutstanding returns a policy that uses the server on which the instance
// has the fewest requests in flight, and of equal ones those of its own region
// in turn.
func LeastOutstanding() *Baseline {
	return &Baseline{chooser: &leastOutstanding{inFlight: make(map[inFlightKey]int)}}
}

type inFlightKey struct {
	instance *cluster.Instance
	server   *cluster.Server
}

type leastOutstanding struct {
	inFlight map[inFlightKey]int
	turn     int
}

func (l *leastOutstanding) choose(t *cluster.Task, candidates []*cluster.Server) *cluster.Server {
	l.turn++
	var best *cluster.Server
	for i := range candidates {
		s := candidates[(i+l.turn)%len(candidates)]
		if best == nil || l.better(t.Instance, s, best) {
			best = s
		}
	}
	return best
}

func (l *leastOutstanding) better(in *cluster.Instance, a, b *cluster.Server) bool {
	countA, countB := l.inFlight[inFlightKey{in, a}], l.inFlight[inFlightKey{in, b}]
	if countA != countB {
		return countA < countB
	}
	return a.Region == in.Region && b.Region != in.Region
}

func (l *leastOutstanding) sent(t *cluster.Task, s *cluster.Server) {
	l.inFlight[inFlightKey{t.Instance, s}]++
}

func (l *leastOutstanding) ended(t *cluster.Task, s *cluster.Server) {
	l.inFlight[inFlightKey{t.Instance, s}]--
}
