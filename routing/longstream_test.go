package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

const (
	eventTokens  = 7
	busyInterval = 250 * time.Millisecond // between events, in the region of the router
	streamLimit  = 12 * time.Second       // from the arrival to the deadline of a stream
)

// measureStreams makes the servers of a router send streams with events at the given
// interval, until start.
func measureStreams(router *Router, interval time.Duration) {
	for _, server := range router.Registry.Servers(testService.Name) {
		a := server.StartAttempt(start.Add(-time.Minute), backend.Job{})
		a.FirstToken(start.Add(-time.Minute))
		const events = 40
		for n := range events {
			a.EventReceived(start.Add(-time.Duration(events-n) * interval))
		}
		a.StreamCompleted(eventTokens*events, events)
		a.End(start, true)
	}
}

// streamRouter returns a router whose servers send events at busyInterval and meet each
// target for a first token, and the summaries of alex, whose servers are as good for a
// first token and send events at otherInterval.
func streamRouter(otherInterval time.Duration) *Router {
	router := newRouter(newRegistry(9, 64), 1)
	measureStreams(router, busyInterval)
	other := newRouter(newRegistry(9, 64), 1)
	if otherInterval > 0 {
		measureStreams(other, otherInterval)
	}
	summary := other.Summarize(testService.Name)
	summary.Region, summary.PrefillRate = "alex", simRate
	table := &SummaryTable{}
	table.Put(summary)
	router.Regions = reachable{"alex"}
	router.Spill = &Spiller{Summaries: table, EndFraction: 0.5, EnterAfter: time.Nanosecond, RampStart: 1e6, RampMax: 1e6}
	router.Spill.hysteresis(start.Add(-time.Second), stream(100, 0), true, true)
	return router
}

// stream returns a request for a stream that the caller expects to have the given number
// of events, of which earlier attempts have sent some.
func stream(events, sent int) *Request {
	return &Request{
		Service: testService, Work: testWork, Received: start, Deadline: start.Add(streamLimit),
		PromptTokens: 100, OutputHint: events * eventTokens, EventsSent: sent,
	}
}

// TestLongStreamIsSentToWhereItEnds guards against long answers that are cut at their
// deadline in a region whose servers send their first token in time, beside another region
// in which they would end.
func TestLongStreamIsSentToWhereItEnds(t *testing.T) {
	for _, test := range []struct {
		name          string
		otherInterval time.Duration
		events, sent  int
		want          string
	}{
		{"long", busyInterval / 5, 100, 0, "alex"},
		{"long, other region idle", 0, 100, 0, "alex"},
		{"short", busyInterval / 5, 15, 0, ""},
		{"length unknown", busyInterval / 5, 0, 0, ""},
		{"other region as slow", busyInterval, 100, 0, ""},
		{"other region little faster", busyInterval * 8 / 10, 100, 0, ""},
		{"almost complete", busyInterval / 5, 100, 90, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := streamRouter(test.otherInterval).Decide(stream(test.events, test.sent))
			qt.Check(t, d.Region, qt.Equals, test.want, qt.Commentf("%s", d.Spill))
		})
	}
}

// TestStreamStaysWhereItEnds guards against a stream that is sent to a region with an
// earlier first token in which it would be cut at its deadline.
func TestStreamStaysWhereItEnds(t *testing.T) {
	for events, want := range map[int]string{9: "", 0: "alex"} {
		router := streamRouter(4 * busyInterval)
		for _, server := range router.Registry.Servers(testService.Name) {
			server.SetPeerPrefill(testWork.Rank, 12000) // 3 s, more than the target allows
		}
		d := router.Decide(stream(events, 0))
		qt.Check(t, d.Region, qt.Equals, want, qt.Commentf("%d events: %s", events, d.Spill))
	}
}

// TestOverdueRequestOfUnknownLengthSpills guards against requests without an announced length
// that stay at an overloaded server because the wait in the other region takes more than the
// part of the time until the deadline that a stream may take.
func TestOverdueRequestOfUnknownLengthSpills(t *testing.T) {
	c := qt.New(t)
	router := streamRouter(0)
	for _, server := range router.Registry.Servers(testService.Name) {
		server.SetPeerPrefill(testWork.Rank, 60000) // 15 s
	}
	summary, _ := router.Spill.Summaries.Summary("alex", testService.Name)
	table := &SummaryTable{}
	summary.Wait = 7 * time.Second
	table.Put(summary)
	router.Spill.Summaries = table
	req := stream(0, 0)
	req.Received = start.Add(-3 * time.Second) // past the target
	d := router.Decide(req)
	c.Check(d.Region, qt.Equals, "alex", qt.Commentf("%s", d.Spill))
}
