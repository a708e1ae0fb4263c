package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExpectedPrefillRate guards against a server that counts as slow because nothing has
// been measured there, and against a slow server that is taken for one like the others.
func TestExpectedPrefillRate(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry()
	list := []Info{{ID: "i-1", Service: "a", State: StateLive}, {ID: "i-2", Service: "a", State: StateLive}, {ID: "i-3", Service: "b", State: StateLive}}
	r.Replace(list)
	server := func(id string) *Server {
		for _, s := range r.All() {
			if s.ID == id {
				return s
			}
		}
		return nil
	}
	now := time.Now()
	const maxAge = time.Minute
	c.Assert(server("i-1").ExpectedPrefillRate(now, maxAge), qt.Equals, 0.0)
	for range 50 {
		server("i-1").addPrefillSample(now, 40000, true)
	}
	c.Assert(server("i-2").ExpectedPrefillRate(now, maxAge), qt.Equals, 40000.0)
	c.Assert(server("i-3").ExpectedPrefillRate(now, maxAge), qt.Equals, 0.0, qt.Commentf("another service"))

	for range 50 {
		server("i-2").addPrefillSample(now, 10000, true)
		server("i-1").addPrefillSample(now, 40000, true)
	}
	slow := server("i-2").ExpectedPrefillRate(now, maxAge)
	c.Assert(slow < 11000, qt.IsTrue, qt.Commentf("slow server: %v", slow))
	stale := server("i-2").ExpectedPrefillRate(now.Add(2*maxAge), maxAge)
	c.Assert(stale > 20000, qt.IsTrue, qt.Commentf("long after the last sample: %v", stale))

	// The estimate belongs to the service and outlives a server's entry.
	list[0].ID = "i-4"
	r.Replace(list)
	c.Assert(server("i-4").ExpectedPrefillRate(now, maxAge) > 20000, qt.IsTrue)
	r.Replace(list[2:])
	r.Replace(list)
	c.Assert(server("i-4").ExpectedPrefillRate(now, maxAge), qt.Equals, 0.0)
}

// TestReturnedServerSharesTheRateOfItsService guards against a server whose samples go
// into an estimate that the other servers don't use: it was listed again, as the same
// process, after its service had been without servers for a time.
func TestReturnedServerSharesTheRateOfItsService(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry()
	list := []Info{{ID: "i-1", Service: "a", State: StateLive, Started: 1}, {ID: "i-2", Service: "a", State: StateLive, Started: 1}}
	r.Replace(list)
	for _, s := range r.All() {
		s.SetDraining() // such a server is remembered while it is not listed
	}
	r.Replace(nil)
	r.Replace(list[1:])
	r.Replace(list)
	now := time.Now()
	for _, s := range r.All() {
		s.addPrefillSample(now, 40000, true)
	}
	c.Assert(r.Servers("a"), qt.HasLen, 2)
	for _, s := range r.All() {
		c.Check(s.service, qt.Equals, r.estimates["a"], qt.Commentf("server %s", s.ID))
	}
}
