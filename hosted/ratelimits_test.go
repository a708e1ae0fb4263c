package hosted

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestRateLimitsAreTold checks that an instance learns from another one which servers
// have a limit and whose limit has ended, that an end of long ago and servers that never
// had a limit are not told, that a newer report of its own is kept, and that a value
// that cannot be right, or one of another process, changes nothing.
func TestRateLimitsAreTold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Now()
	servers := func() []*backend.Server {
		var all []*backend.Server
		for _, id := range []string{"limited", "ended", "usual", "old", "silent"} {
			all = append(all, backend.NewServer(backend.Info{ID: id, Started: 7}))
		}
		return all
	}
	before := func(age time.Duration, rate float64) backend.RateLimitReport {
		return backend.RateLimitReport{Rate: rate, ReceivedAt: now.Add(-age)}
	}
	told := servers()
	told[0].RecordRateLimit(before(time.Minute, 1.5))
	told[0].RecordRateLimit(before(100*time.Millisecond, 1.5))
	told[1].RecordRateLimit(before(time.Second, 2))
	told[1].RecordRateLimit(before(200*time.Millisecond, 0))
	told[2].RecordRateLimit(before(0, 0))
	told[3].RecordRateLimit(before(time.Minute, 2))
	told[3].RecordRateLimit(before(endedRateLimitTime+time.Millisecond, 0))
	told[3].RecordRateLimit(before(0, 0))
	text, err := json.Marshal(currentRateLimits(now, told))
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Equals, `{"ended":{"rate":0,"age-ms":200,"started":7},"limited":{"rate":1.5,"age-ms":100,"started":7}}`)

	var received rateLimits
	c.Assert(json.Unmarshal(text, &received), qt.IsNil)
	learner := servers()
	learner[1].RecordRateLimit(before(time.Second, 2))
	received.record(now, learner)
	last := func(server *backend.Server) backend.RateLimitReport {
		report, _ := server.LastRateLimit()
		return report
	}
	relayed := func(report backend.RateLimitReport) backend.RateLimitReport {
		report.Relayed = true
		return report
	}
	c.Check(last(learner[0]), qt.Equals, relayed(before(100*time.Millisecond, 1.5)))
	c.Check(last(learner[1]), qt.Equals, relayed(before(200*time.Millisecond, 0)))
	for _, server := range learner[2:] {
		c.Check(last(server), qt.Equals, backend.RateLimitReport{})
	}
	c.Check(currentRateLimits(now, learner), qt.DeepEquals, received, qt.Commentf("a collector passes on what it was told"))

	newer := before(50*time.Millisecond, 3)
	learner[0].RecordRateLimit(newer)
	received.record(now, learner)
	c.Check(last(learner[0]), qt.Equals, newer)

	for _, bad := range []rateLimit{
		{Rate: -1, Started: 7},
		{Rate: 1e9, Started: 7},
		{Rate: 2, AgeMS: -5000, Started: 7},
		{Rate: 2, AgeMS: math.MaxInt64 / 1000, Started: 7},
		{Rate: 2, AgeMS: math.MaxInt64, Started: 7},
		{Rate: 2, Started: 8},
		{Rate: 2},
	} {
		rateLimits{"silent": bad}.record(now, learner)
		c.Check(last(learner[4]), qt.Equals, backend.RateLimitReport{}, qt.Commentf("%+v", bad))
	}
}

// TestRateLimitsInCircle guards against a limit that never ends, since instances pass it
// on in a circle and it seems newer to each of them by the delay of an exchange.
func TestRateLimitsInCircle(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	start := time.Now()
	var instances [3][]*backend.Server
	for k := range instances {
		instances[k] = []*backend.Server{backend.NewServer(backend.Info{ID: "i-1"})}
	}
	instances[0][0].RecordRateLimit(backend.RateLimitReport{Rate: 2, ReceivedAt: start})
	const delay = exchangeStallTimeout - time.Millisecond
	now := start
	for step := range 300 {
		limits := currentRateLimits(now, instances[step%3])
		now = now.Add(delay)
		limits.record(now, instances[(step+1)%3])
	}
	for _, servers := range instances {
		report, _ := servers[0].LastRateLimit()
		c.Check(report.Rate, qt.Equals, 2.0)
		c.Check(report.ReceivedAt.Sub(start) <= 2*delay, qt.IsTrue, qt.Commentf("%v", report.ReceivedAt.Sub(start)))
	}
}

// TestToldRateLimitsAreBounded guards against exchanges that grow with the number of
// limited servers, and against a change that waits behind limits which all know.
func TestToldRateLimitsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Now()
	var servers, learner []*backend.Server
	for k := range 10 * maxLimitedServers {
		info := backend.Info{ID: fmt.Sprint("i-", k)}
		server := backend.NewServer(info)
		server.RecordRateLimit(backend.RateLimitReport{Rate: 1, ReceivedAt: now.Add(-time.Minute)})
		servers, learner = append(servers, server), append(learner, backend.NewServer(info))
	}
	servers[0].RecordRateLimit(backend.RateLimitReport{Rate: 2, ReceivedAt: now})
	servers[1].RecordRateLimit(backend.RateLimitReport{ReceivedAt: now})
	for range 200 {
		limits := currentRateLimits(now, servers)
		c.Assert(len(limits), qt.Equals, maxLimitedServers)
		c.Assert(limits["i-0"].Rate, qt.Equals, 2.0)
		c.Assert(limits, qt.Contains, rateLimit{})
		limits.record(now, learner)
	}
	for _, server := range append(learner[:1:1], learner[2:]...) {
		_, limited := server.RateLimit()
		c.Assert(limited, qt.IsTrue, qt.Commentf(server.ID))
	}
}

// TestInstancesLearnRateLimits guards against an instance that sends without regard to a
// limit, or keeps one that has ended, since another instance received the response.
func TestInstancesLearnRateLimits(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	server := f.startServer("orders", "cairo-a", 0)
	logs := make([]*logBuffer, 4)
	var instances []*testInstance
	for k := range logs {
		logs[k] = &logBuffer{}
		settings := f.settings("cairo")
		instances = append(instances, f.startLogging(settings, settings.PeerAddr, logs[k]).waitForServers(1))
	}
	for number, rate := range map[int]float64{0: 1.5, 1: 2.25} {
		server.SetRateLimit(fmt.Sprint(rate))
		f.sendUntilServed(fmt.Sprintf("named-%d", number), instances)
		for _, n := range instances {
			f.eventually("limit is known", func() bool {
				got, limited := n.registry.Servers("orders")[0].RateLimit()
				return limited && got == rate
			})
		}
		f.eventually("limit is logged", func() bool { return rateLimitLines(logs, "rate", rate) == len(logs) })
	}
	server.SetRateLimit("")
	f.sendUntilServed("ended", instances)
	for _, n := range instances {
		f.eventually("end of the limit is known", func() bool {
			_, limited := n.registry.Servers("orders")[0].RateLimit()
			return !limited
		})
	}
	f.eventually("end is logged", func() bool { return rateLimitLines(logs, "rate", 0.0) == len(logs) })
	f.Check(len(server.Arrivals()), qt.Equals, 3)
}

// sendUntilServed sends requests to one instance after the other until one is served: an
// instance without a share of the server's limit refuses them.
func (f *fleet) sendUntilServed(id string, instances []*testInstance) {
	attempt := 0
	f.eventually("served", func() bool {
		n := instances[attempt%len(instances)]
		attempt++
		return n.send(n.request("GET", "/stock/", fmt.Sprintf("%s-%d", id, attempt), "")).status == 200
	})
}

// rateLimitLines returns the number of logs with a server_limit line that has the given
// value.
func rateLimitLines(logs []*logBuffer, field string, value any) (count int) {
	for _, log := range logs {
		if log.lines(`"event":"server_limit"`, fmt.Sprintf(`%q:%v`, field, value)) > 0 {
			count++
		}
	}
	return count
}
