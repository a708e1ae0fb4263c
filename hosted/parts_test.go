package hosted

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

const (
	// contactDelay is the time after the fifth crash from which maxLateRequests holds.
	contactDelay    = 6 * time.Second
	maxLateRequests = 3
	crashDowntime   = time.Second
	deadlyPart      = "dead"
)

// crashLog records the crashes of backend servers under requests with deadlyPart.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) record() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// fifth returns the time of the fifth crash, or the zero time.
func (l *crashLog) fifth() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.at) < 5 {
		return time.Time{}
	}
	return l.at[4]
}

// promptSender sends requests with prompts at a fixed rate, in turn to several
// instances, and counts the responses by status.
type promptSender struct {
	f         *fleet
	instances []*testInstance
	parts     func(n int) string // all parts of the n-th prompt but the last
	interval  time.Duration

	mu       sync.Mutex
	statuses map[int]int
	sentAt   map[string]time.Time // by request id
}

func (f *fleet) sendPrompts(name string, interval time.Duration, instances []*testInstance, parts func(n int) string) *promptSender {
	s := &promptSender{
		f: f, instances: instances, parts: parts, interval: interval, statuses: make(map[int]int), sentAt: make(map[string]time.Time),
	}
	stop, done := make(chan struct{}), make(chan struct{})
	f.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		s.run(name, stop)
	}()
	return s
}

func (s *promptSender) run(name string, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		instance := s.instances[n%len(s.instances)]
		req := instance.request("POST", "/query/", id, "body of "+id)
		req.Header.Set("Prefix-Hash", fmt.Sprintf("%s%x:10", s.parts(n), n))
		req.Header.Set("Tokens", "310,10")
		s.mu.Lock()
		s.sentAt[id] = time.Now()
		s.mu.Unlock()
		group.Go(func() {
			status := instance.send(req).status
			s.mu.Lock()
			defer s.mu.Unlock()
			s.statuses[status]++
		})
	}
}

// takeStatuses returns the number of responses by status since the previous call.
func (s *promptSender) takeStatuses() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := s.statuses
	s.statuses = make(map[int]int)
	return statuses
}

// arrivedAfter returns how many requests that were sent after start have arrived at
// backend servers, each arrival counted.
func (s *promptSender) arrivedAfter(start time.Time, servers []*hosting.Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, server := range servers {
		for _, arrival := range server.Arrivals() {
			if at, sent := s.sentAt[arrival.ID]; sent && at.After(start) {
				count++
			}
		}
	}
	return count
}

// startCrashingFleet starts three instances and six servers in cairo, and one
// instance and four servers in alex. Requests with deadlyPart crash the servers.
func (f *fleet) startCrashingFleet() ([]*testInstance, []*hosting.Server, *crashLog) {
	f.configure(1, newRoute("query", "stream", "drafts"))
	crashes := &crashLog{}
	var servers []*hosting.Server
	for range 10 {
		zone := "cairo-a"
		if len(servers) >= 6 {
			zone = "alex-a"
		}
		server := f.startServer("drafts", zone, 1)
		server.SetOverride(server.CrashOnPart(deadlyPart, crashDowntime, crashes.record))
		servers = append(servers, server)
	}
	var instances []*testInstance
	for range 3 {
		instances = append(instances, f.start(f.settings("cairo")).waitForServers(6))
	}
	instances = append(instances, f.start(f.settings("alex")).waitForServers(4))
	for _, n := range instances {
		f.eventually("live instances", func() bool { return len(n.roster.Live()) == len(instances) })
	}
	return instances, servers, crashes
}

// checkCrashesEnd sends requests that are all different but share deadlyPart, among
// sound ones that share their other parts, and checks that the crashes end in time
// and that the sound ones are served.
func (f *fleet) checkCrashesEnd(instances []*testInstance, servers []*hosting.Server, crashes *crashLog) {
	sound := f.sendPrompts("sound", 25*time.Millisecond, instances, func(n int) string { return fmt.Sprintf("aa:100,b%d:100,", n%3) })
	time.Sleep(500 * time.Millisecond)
	deadly := f.sendPrompts("deadly", 150*time.Millisecond, instances, func(n int) string {
		return fmt.Sprintf("aa:100,b%d:100,%s:100,", n%3, deadlyPart)
	})
	f.eventually("fifth crash", func() bool { return !crashes.fifth().IsZero() })
	late := crashes.fifth().Add(contactDelay)
	time.Sleep(time.Until(late))
	sound.takeStatuses()
	time.Sleep(4 * time.Second)
	statuses := sound.takeStatuses()
	total := 0
	for _, count := range statuses {
		total += count
	}
	f.Check(2*statuses[http.StatusOK] >= total, qt.IsTrue, qt.Commentf("sound requests by status: %v", statuses))
	if count := deadly.arrivedAfter(late, servers); count > maxLateRequests {
		f.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most %d", count, contactDelay, maxLateRequests)
	}
}

// TestRequestsWithCrashingPartAreRefused guards against requests that crash one
// backend server after the other, though no two are alike: they share a part of
// their prompts.
func TestRequestsWithCrashingPartAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	instances, servers, crashes := f.startCrashingFleet()
	f.checkCrashesEnd(instances, servers, crashes)
}

// TestCrashingPartIsRefusedWhileStoreIsDown guards against instances that stop to
// tell each other of crashes while the store is unavailable.
func TestCrashingPartIsRefusedWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	instances, servers, crashes := f.startCrashingFleet()
	f.store.SetDown(true)
	f.checkCrashesEnd(instances, servers, crashes)
}

// TestResetsOfLivingServersCondemnNoPart checks that lost answers of servers that still
// accept connections are no crashes: the requests are served once the resets end.
func TestResetsOfLivingServersCondemnNoPart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	var servers []*hosting.Server
	for range 4 {
		servers = append(servers, f.startServer("drafts", "cairo-a", 1))
	}
	n := f.start(f.settings("cairo")).waitForServers(len(servers))
	setOverride := func(override hosting.Override) {
		for _, server := range servers {
			server.SetOverride(override)
		}
	}
	send := func(k int) int {
		req := n.request("POST", "/query/", fmt.Sprintf("id-%d", k), "x")
		req.Header.Set("Prefix-Hash", fmt.Sprintf("aa:100,bb:100,%x:10", k))
		return n.send(req).status
	}
	setOverride(hosting.TruncateAfter(0))
	unused := func(server *hosting.Server) bool { return len(server.Arrivals()) == 0 }
	const minRequests, maxRequests = 8, 60
	for k := 0; k < minRequests || slices.ContainsFunc(servers, unused); k++ {
		f.Assert(k < maxRequests, qt.IsTrue, qt.Commentf("a server has received no request"))
		f.Check(send(k), qt.Not(qt.Equals), http.StatusOK)
		time.Sleep(600 * time.Millisecond)
	}
	setOverride(nil)
	f.eventually("served", func() bool { return send(maxRequests) == http.StatusOK })
}

// TestNewInstanceKnowsCrashingParts guards against an instance that is ready before it
// knows of the parts that crash servers, and crashes some more of them.
func TestNewInstanceKnowsCrashingParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	f.startServer("drafts", "cairo-a", 1)
	first := f.start(f.settings("cairo")).waitForServers(1)
	// More parts than one report has.
	for k := range 200 {
		first.parts.RecordCrash(time.Now().Add(-time.Minute), 99, []quarantine.PartID{quarantine.PartID(1000 + k)})
	}
	const part = quarantine.PartID(7)
	for k := range 3 {
		first.parts.RecordCrash(time.Now().Add(time.Duration(k-3)*time.Second), uint64(k), []quarantine.PartID{part})
	}
	settings := f.settings("alex")
	settings.Seeds = []string{settings.PeerAddr, first.settings.PeerAddr}
	second := f.start(settings)
	_, _, refused := second.parts.Refused(time.Now(), []quarantine.PartID{part})
	f.Assert(refused, qt.IsTrue)
}

// slowSeedDelay is less than the time in which a query fails.
const slowSeedDelay = 250 * time.Millisecond

// startSlowSeed returns the address of a proxy for the queries to an instance that
// delays the responses.
func (f *fleet) startSlowSeed(n *testInstance) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: n.settings.PeerAddr})
	seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(slowSeedDelay)
		proxy.ServeHTTP(w, r)
	}))
	f.Cleanup(seed.Close)
	return seed.Listener.Addr().String()
}

// checkNewInstanceRefuses checks that an instance with the seeds refuses requests with
// deadlyPart from its start. known is an instance that knows of the part.
func (f *fleet) checkNewInstanceRefuses(known *testInstance, server *hosting.Server, seeds ...string) {
	part := quarantine.PartID(xxhash.Sum64String(deadlyPart))
	for k := range 3 {
		known.parts.RecordCrash(time.Now().Add(time.Duration(k-3)*time.Second), uint64(k), []quarantine.PartID{part})
	}
	settings := f.settings("cairo")
	settings.Seeds = seeds
	sender := &testInstance{Instance: &Instance{settings: settings}, f: f}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			req := sender.request("POST", "/query/", fmt.Sprintf("early-%d", k), "x")
			req.Header.Set("Prefix-Hash", deadlyPart+":100,1:10")
			sender.send(req)
		}
	}()
	f.start(settings)
	close(stop)
	<-done
	f.Assert(server.Arrivals(), qt.HasLen, 0)
}

// TestEarlyRequestWaitsForCrashingParts guards against an instance that serves requests
// before it is ready, and crashes servers under parts that others have quarantined.
func TestEarlyRequestWaitsForCrashingParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	server := f.startServer("drafts", "cairo-a", 1)
	known := f.start(f.settings("alex"))
	f.checkNewInstanceRefuses(known, server, f.startSlowSeed(known))
}

// TestNewSeedIsNotAskedForCrashingParts guards against an instance that takes the
// response of a seed which has just started too for all that is known of parts.
func TestNewSeedIsNotAskedForCrashingParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	server := f.startServer("drafts", "cairo-a", 1)
	known := f.start(f.settings("alex"))
	newSeed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"entry-new","ready":false}`)
	}))
	f.Cleanup(newSeed.Close)
	f.checkNewInstanceRefuses(known, server, newSeed.Listener.Addr().String(), f.startSlowSeed(known))
}
