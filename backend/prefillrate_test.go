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
