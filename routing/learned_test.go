package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// roundSim sends rounds of simultaneous requests through a router. The response
// time of each request depends on its server.
type roundSim struct {
	router *Router
	now    time.Time
}

func newRoundSim(servers int) *roundSim {
	l := &roundSim{router: newRouter(newRegistry(servers, 64), 1), now: start}
	l.router.Now = func() time.Time { return l.now }
	return l
}

// round sends the given number of requests and returns how many each server
// received. responseTime returns the response time of a server.
func (l *roundSim) round(requests int, responseTime func(*backend.Server) time.Duration) map[*backend.Server]int {
	sent := make(map[*backend.Server]int)
	attempts := make(map[*backend.Attempt]*backend.Server)
	work := testWork
	work.Rank = catalog.Urgent
	for range requests {
		d := l.router.Decide(&Request{Service: testService, Work: work, PromptTokens: 20, Deadline: l.now.Add(time.Minute)})
		attempts[d.Server.StartAttempt(l.now, backend.Job{UncachedTokens: 20, UncachedExact: true})] = d.Server
		sent[d.Server]++
	}
	for attempt, server := range attempts {
		answered := l.now.Add(responseTime(server))
		attempt.FirstToken(answered)
		attempt.End(answered, true)
	}
	l.now = l.now.Add(time.Second)
	return sent
}

// TestSlowFirstResponseIsNotPenalized makes only the first response of one server
// slow, as happens while its process starts. The server must get its share of the
// following requests.
func TestSlowFirstResponseIsNotPenalized(t *testing.T) {
	c := qt.New(t)
	const servers, requests, rounds = 4, 20, 10
	l := newRoundSim(servers)
	slow := l.router.Registry.Servers(testService.Name)[0]
	slow.StartAttempt(l.now, backend.Job{UncachedTokens: 20, UncachedExact: true}).FirstToken(l.now.Add(200 * time.Millisecond))
	total := 0
	for range rounds {
		total += l.round(requests, func(*backend.Server) time.Duration { return 5 * time.Millisecond })[slow]
	}
	c.Assert(total > rounds*requests/servers/2, qt.IsTrue, qt.Commentf("slow server received %d of %d requests", total, rounds*requests))
}

// TestSlowBaseLatencyRecovers checks that a server receives fewer requests while its
// base latency is high, and its share again once the learned latency has expired.
func TestSlowBaseLatencyRecovers(t *testing.T) {
	c := qt.New(t)
	const servers, requests, rounds = 4, 20, 20
	l := newRoundSim(servers)
	slow := l.router.Registry.Servers(testService.Name)[0]
	count := func(latency time.Duration) (total int) {
		for range rounds {
			total += l.round(requests, func(s *backend.Server) time.Duration {
				if s == slow {
					return latency
				}
				return 5 * time.Millisecond
			})[slow]
		}
		return total
	}
	fairShare := rounds * requests / servers
	c.Assert(count(5*time.Millisecond) > fairShare/2, qt.IsTrue)
	whileSlow := count(500 * time.Millisecond)
	c.Assert(whileSlow < fairShare/2, qt.IsTrue, qt.Commentf("slow server received %d of %d requests", whileSlow, rounds*requests))
	l.now = l.now.Add(learnedMaxAge[catalog.Urgent])
	recovered := count(5 * time.Millisecond)
	c.Assert(recovered > fairShare/2, qt.IsTrue, qt.Commentf("recovered server received %d of %d requests", recovered, rounds*requests))
}
