package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const patience = 30 * time.Second

// resend sends the poison to every instance in turn, as often as rounds says.
func resend(r *region, rounds int) {
	for range rounds {
		for i := range r.tables {
			r.send(i, poison, patience)
			r.pass(2 * time.Second)
		}
	}
}

func TestPoisonResentToAllInstances(t *testing.T) {
	c := qt.New(t)
	r := newRegion(6, 9)
	resend(r, 2)
	c.Assert(r.crashes, qt.Equals, 2)
	for _, table := range r.tables {
		c.Assert(table.State(r.now, poison), qt.Equals, Quarantined)
	}
}

func TestInnocentsBesidePoisonAreServedAndCleared(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.together(0, digestOf(1), digestOf(2), poison, digestOf(3))
	c.Assert(r.tables[0].State(r.now, digestOf(1)), qt.Equals, Suspect)
	r.pass(2 * time.Second)
	c.Assert(r.tables[1].Admit(r.now, digestOf(1)).Action, qt.Equals, RefuseElsewhere)
	for i := 1; i <= 3; i++ {
		c.Assert(r.send(0, digestOf(i), patience), qt.Equals, served)
		c.Assert(r.tables[0].State(r.now, digestOf(i)), qt.Equals, Cleared)
	}
	c.Assert(r.crashes, qt.Equals, 1)
	r.pass(time.Second)
	c.Assert(r.tables[1].Admit(r.now, digestOf(1)).Action, qt.Equals, Run)
	c.Assert(r.send(0, poison, patience), qt.Equals, crashed)
	c.Assert(r.crashes, qt.Equals, 2)
}

func TestCulpritClearsThoseBesideIt(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.together(0, digestOf(1), poison)
	r.send(0, poison, patience)
	r.pass(time.Second)
	for _, table := range r.tables {
		c.Assert(table.Admit(r.now, digestOf(1)).Action, qt.Equals, Run)
		c.Assert(table.Admit(r.now, poison).Action, qt.Equals, RefuseQuarantined)
	}
}

func TestPoisonResentToOtherRegion(t *testing.T) {
	c := qt.New(t)
	cairo, alex := newRegion(2, 9), newRegion(2, 9)
	for i, s := range alex.servers { // servers of alex are other servers
		alex.servers[i] = backend.NewServer(backend.Info{ID: "alex-" + s.ID, State: backend.StateLive})
	}
	cairo.send(0, poison, patience)
	// alex learns of the suspect only after it has run it too.
	alex.send(0, poison, patience)
	for range 2 {
		c.Assert(alex.tables[1].MergeRegion(alex.now, "cairo", cairo.tables[0].RegionState(cairo.now)), qt.IsNil)
		c.Assert(cairo.tables[1].MergeRegion(cairo.now, "alex", alex.tables[0].RegionState(alex.now)), qt.IsNil)
		cairo.pass(time.Second)
		alex.pass(time.Second)
	}
	for _, table := range append(cairo.tables, alex.tables...) {
		c.Assert(table.Admit(cairo.now, poison).Action, qt.Equals, RefuseQuarantined)
	}
	c.Assert(cairo.crashes+alex.crashes, qt.Equals, 2)
}

// TestRegionIsToldByAnInstanceThatKnowsLess has a newcomer that speaks for its
// region.
func TestRegionIsToldByAnInstanceThatKnowsLess(t *testing.T) {
	c := qt.New(t)
	cairo, newcomer, alex := &Table{Instance: "a"}, &Table{Instance: "b"}, &Table{Instance: "c"}
	cairo.Crashed(start, poison, Lost{Server: 1, Begun: start})
	newcomer.Crashed(start, digestOf(1), Lost{Server: 1, Begun: start})
	for _, table := range []*Table{cairo, newcomer} {
		c.Assert(alex.MergeRegion(start, "cairo", table.RegionState(start)), qt.IsNil)
	}
	c.Assert(alex.Admit(start, poison), qt.Equals, Verdict{Action: RefuseElsewhere, Owner: "@cairo", Wait: defaultSpread})
}

func TestUrgentAndLatestRunFirst(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "a"}
	lost := []Lost{
		{Rank: catalog.Batch, Begun: start.Add(9)},
		{Rank: catalog.Urgent, Begun: start.Add(1)},
		{Rank: catalog.Urgent, Begun: start.Add(5)},
	}
	for i, l := range lost {
		table.Crashed(start, digestOf(i), l)
	}
	for i := range lost {
		c.Assert(table.Admit(start.Add(time.Second), digestOf(i)).Action, qt.Equals, Wait)
	}
	var order []int
	for now := start.Add(defaultSpread); len(order) < len(lost); now = now.Add(100 * time.Millisecond) {
		for i := range lost {
			if table.Admit(now, digestOf(i)).Action == RunAlone {
				order = append(order, i)
				table.Done(now, digestOf(i), TrialServed)
			}
		}
	}
	c.Assert(order, qt.DeepEquals, []int{2, 1, 0})
}

func TestWideLossMakesNoSuspects(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "entry-0"}
	suspects := 0
	for i := range 20 {
		if table.Crashed(start.Add(time.Duration(i)*time.Millisecond), digestOf(i), Lost{Server: uint64(i), Begun: start}) != Unknown {
			suspects++
		}
	}
	c.Assert(suspects, qt.Equals, wideServers-1)
}

func TestOwnerLeaves(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.together(0, poison, digestOf(1))
	r.pass(time.Second)
	r.tables[0] = &Table{Instance: "entry-9"}
	for _, table := range r.tables[1:] {
		table.Forget(r.now, "entry-0")
	}
	c.Assert(r.send(1, digestOf(1), patience), qt.Equals, served)
	c.Assert(r.send(2, poison, patience), qt.Equals, refused) // entry-1 has taken it over
	c.Assert(r.send(1, poison, patience), qt.Equals, crashed)
	r.pass(time.Second)
	c.Assert(r.send(2, poison, patience), qt.Equals, refused)
	c.Assert(r.crashes, qt.Equals, 2)
}

func TestEntriesAgeOutAndMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "entry-0", Limit: 100}
	table.Crashed(start, poison, Lost{Server: 1, Begun: start})
	table.Crashed(start.Add(time.Minute), poison, Lost{Server: 2, Begun: start})
	for i := range 500 {
		table.Crashed(start.Add(time.Duration(i)*2*time.Second), digestOf(i), Lost{Server: uint64(i + 3), Begun: start})
	}
	c.Assert(table.Len(), qt.Equals, 100)
	c.Assert(table.State(start.Add(20*time.Minute), poison), qt.Equals, Quarantined)
	c.Assert(len(table.OwnState(start.Add(20*time.Minute))) <= exchange.MaxStateBytes, qt.IsTrue)
	c.Assert(table.State(start.Add(2*time.Hour), poison), qt.Equals, Unknown)
}

func TestMergeRejectsMalformedStates(t *testing.T) {
	c := qt.New(t)
	from, to := &Table{Instance: "a"}, &Table{Instance: "b"}
	from.Crashed(start, poison, Lost{Server: 1, Begun: start})
	state := from.OwnState(start)
	for n := range len(state) - 1 {
		if n != wireHeaderBytes {
			c.Assert(to.Merge(start, "a", state[:n]), qt.IsNotNil)
		}
	}
	c.Assert(to.Merge(start, "a", state), qt.IsNil)
	c.Assert(to.State(start, poison), qt.Equals, Suspect)
}

func TestDigestIgnoresWhatAResendChanges(t *testing.T) {
	c := qt.New(t)
	key := Key("secret")
	first := key.Digest("desk", "/v1/chat/completions", []byte(`{"model":"desk","messages":[{"role":"user","content":"x"}],"user":"a","stream":true}`))
	again := key.Digest("desk", "/v1/chat/completions?try=2", []byte(`{ "messages": [ {"role":"user", "content":"x"} ], "request_id":"7", "model":"desk" }`))
	other := key.Digest("desk", "/v1/chat/completions", []byte(`{"model":"desk","messages":[{"role":"user","content":"y"}]}`))
	c.Assert(again, qt.Equals, first)
	c.Assert(other, qt.Not(qt.Equals), first)
	c.Assert(Key("other").Digest("desk", "", nil), qt.Not(qt.Equals), key.Digest("desk", "", nil))
}

// TestOneTrialOnAServer has two instances reserve at the same moment, of
// enough servers for two trials.
func TestOneTrialOnAServer(t *testing.T) {
	c := qt.New(t)
	r := newRegion(2, 18)
	for i, table := range r.tables {
		table.Crashed(start, digestOf(i), Lost{Server: uint64(i + 1), Begun: start})
	}
	r.pass(2 * defaultSpread)
	var begun []*backend.Server
	for i, table := range r.tables {
		c.Assert(table.Admit(r.now, digestOf(i)).Action, qt.Equals, RunAlone)
	}
	for range 20 {
		for i, table := range r.tables {
			server := table.Reserve(r.now, r.servers, func(*backend.Server) bool { return true })
			if server != nil && table.Begin(r.now, digestOf(i), server) {
				begun = append(begun, server)
			}
		}
		r.pass(200 * time.Millisecond)
	}
	c.Assert(begun, qt.HasLen, 2)
	c.Assert(begun[0] != begun[1], qt.IsTrue)
}
