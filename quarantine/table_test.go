package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const callerTimeout = 30 * time.Second

// sendPoisonToAll sends the poison request to every instance in turn, in the
// given number of rounds.
func sendPoisonToAll(r *region, rounds int) {
	for range rounds {
		for i := range r.tables {
			r.send(i, poison, callerTimeout)
			r.advance(2 * time.Second)
		}
	}
}

func TestPoisonResentToAllInstances(t *testing.T) {
	c := qt.New(t)
	r := newRegion(6, 9)
	sendPoisonToAll(r, 2)
	c.Assert(r.crashes, qt.Equals, 2)
	for _, table := range r.tables {
		c.Assert(table.State(r.now, poison), qt.Equals, Quarantined)
	}
}

func TestRequestsConcurrentWithPoisonAreServedAndCleared(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.runConcurrently(0, digestOf(1), digestOf(2), poison, digestOf(3))
	c.Assert(r.tables[0].State(r.now, digestOf(1)), qt.Equals, Suspect)
	r.advance(2 * time.Second)
	c.Assert(r.tables[1].Admit(r.now, digestOf(1)).Action, qt.Equals, RefuseNotOwner)
	for i := 1; i <= 3; i++ {
		c.Assert(r.send(0, digestOf(i), callerTimeout), qt.Equals, served)
		c.Assert(r.tables[0].State(r.now, digestOf(i)), qt.Equals, Cleared)
	}
	c.Assert(r.crashes, qt.Equals, 1)
	r.advance(time.Second)
	c.Assert(r.tables[1].Admit(r.now, digestOf(1)).Action, qt.Equals, Run)
	c.Assert(r.send(0, poison, callerTimeout), qt.Equals, crashed)
	c.Assert(r.crashes, qt.Equals, 2)
}

func TestQuarantineClearsConcurrentSuspects(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.runConcurrently(0, digestOf(1), poison)
	r.send(0, poison, callerTimeout)
	r.advance(time.Second)
	for _, table := range r.tables {
		c.Assert(table.Admit(r.now, digestOf(1)).Action, qt.Equals, Run)
		c.Assert(table.Admit(r.now, poison).Action, qt.Equals, RefuseQuarantined)
	}
}

func TestPoisonResentToOtherRegion(t *testing.T) {
	c := qt.New(t)
	cairo, alex := newRegion(2, 9), newRegion(2, 9)
	for i, s := range alex.servers { // the regions have different servers
		alex.servers[i] = backend.NewServer(backend.Info{ID: "alex-" + s.ID, State: backend.StateLive})
	}
	cairo.send(0, poison, callerTimeout)
	// alex receives the suspect of cairo only after it has run the request too.
	alex.send(0, poison, callerTimeout)
	for range 2 {
		c.Assert(alex.tables[1].MergeRegion(alex.now, "cairo", cairo.tables[0].RegionState(cairo.now)), qt.IsNil)
		c.Assert(cairo.tables[1].MergeRegion(cairo.now, "alex", alex.tables[0].RegionState(alex.now)), qt.IsNil)
		cairo.advance(time.Second)
		alex.advance(time.Second)
	}
	for _, table := range append(cairo.tables, alex.tables...) {
		c.Assert(table.Admit(cairo.now, poison).Action, qt.Equals, RefuseQuarantined)
	}
	c.Assert(cairo.crashes+alex.crashes, qt.Equals, 2)
}

// TestMergeRegionKeepsEntriesMissingFromState guards against the loss of entries
// when a new instance with fewer entries sends the state of its region.
func TestMergeRegionKeepsEntriesMissingFromState(t *testing.T) {
	c := qt.New(t)
	cairo, newInstance, alex := &Table{Instance: "a"}, &Table{Instance: "b"}, &Table{Instance: "c"}
	cairo.RecordCrash(start, poison, LostAttempt{ServerKey: 1, StartedAt: start})
	newInstance.RecordCrash(start, digestOf(1), LostAttempt{ServerKey: 1, StartedAt: start})
	for _, table := range []*Table{cairo, newInstance} {
		c.Assert(alex.MergeRegion(start, "cairo", table.RegionState(start)), qt.IsNil)
	}
	c.Assert(alex.Admit(start, poison), qt.Equals, Verdict{Action: RefuseNotOwner, Owner: "@cairo", RetryAfter: defaultPropagationDelay})
}

// TestReceivedEntryIsPassedOnAfterMerge guards against a suspect of another region that
// new instances do not learn of: two instances that had received it replaced their
// entries by each other's copy, and then neither of them passed it on.
func TestReceivedEntryIsPassedOnAfterMerge(t *testing.T) {
	c := qt.New(t)
	cairo := &Table{Instance: "a"}
	cairo.RecordCrash(start, poison, LostAttempt{ServerKey: 1, StartedAt: start})
	received := []*Table{{Instance: "c"}, {Instance: "d"}}
	for _, table := range received {
		c.Assert(table.MergeRegion(start, "cairo", cairo.RegionState(start)), qt.IsNil)
	}
	for range 2 {
		first, second := received[0].OwnState(start), received[1].OwnState(start)
		c.Assert(received[0].Merge(start, "d", second), qt.IsNil)
		c.Assert(received[1].Merge(start, "c", first), qt.IsNil)
	}
	newInstance := &Table{Instance: "e"}
	for _, table := range received {
		c.Assert(newInstance.Merge(start, table.Instance, table.OwnState(start)), qt.IsNil)
	}
	c.Assert(newInstance.State(start, poison), qt.Equals, Suspect)
}

func TestTrialOrderIsUrgentThenLatestStarted(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "a"}
	lostAttempts := []LostAttempt{
		{Rank: catalog.Batch, StartedAt: start.Add(9)},
		{Rank: catalog.Urgent, StartedAt: start.Add(1)},
		{Rank: catalog.Urgent, StartedAt: start.Add(5)},
	}
	for i, l := range lostAttempts {
		table.RecordCrash(start, digestOf(i), l)
	}
	for i := range lostAttempts {
		c.Assert(table.Admit(start.Add(time.Second), digestOf(i)).Action, qt.Equals, Wait)
	}
	var order []int
	for now := start.Add(defaultPropagationDelay); len(order) < len(lostAttempts); now = now.Add(100 * time.Millisecond) {
		for i := range lostAttempts {
			if table.Admit(now, digestOf(i)).Action == RunAlone {
				order = append(order, i)
				table.EndTrial(now, digestOf(i), TrialServed)
			}
		}
	}
	c.Assert(order, qt.DeepEquals, []int{2, 1, 0})
}

func TestMassServerLossAddsNoFurtherSuspects(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "entry-0"}
	suspects := 0
	for i := range 20 {
		if table.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), digestOf(i), LostAttempt{ServerKey: uint64(i), StartedAt: start}) != Unknown {
			suspects++
		}
	}
	c.Assert(suspects, qt.Equals, massLossServers-1)
}

func TestSuspectsAfterOwnerLeaves(t *testing.T) {
	c := qt.New(t)
	r := newRegion(3, 9)
	r.runConcurrently(0, poison, digestOf(1))
	r.advance(time.Second)
	r.tables[0] = &Table{Instance: "entry-9"}
	for _, table := range r.tables[1:] {
		table.RemoveInstance(r.now, "entry-0")
	}
	c.Assert(r.send(1, digestOf(1), callerTimeout), qt.Equals, served)
	c.Assert(r.send(2, poison, callerTimeout), qt.Equals, refused) // entry-1 owns it now
	c.Assert(r.send(1, poison, callerTimeout), qt.Equals, crashed)
	r.advance(time.Second)
	c.Assert(r.send(2, poison, callerTimeout), qt.Equals, refused)
	c.Assert(r.crashes, qt.Equals, 2)
}

func TestEntriesExpireAndTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := &Table{Instance: "entry-0", MaxDigests: 100}
	table.RecordCrash(start, poison, LostAttempt{ServerKey: 1, StartedAt: start})
	table.RecordCrash(start.Add(time.Minute), poison, LostAttempt{ServerKey: 2, StartedAt: start})
	for i := range 500 {
		table.RecordCrash(start.Add(time.Duration(i)*2*time.Second), digestOf(i), LostAttempt{ServerKey: uint64(i + 3), StartedAt: start})
	}
	c.Assert(table.Len(), qt.Equals, 100)
	c.Assert(table.State(start.Add(20*time.Minute), poison), qt.Equals, Quarantined)
	c.Assert(len(table.OwnState(start.Add(20*time.Minute))) <= exchange.MaxStateBytes, qt.IsTrue)
	c.Assert(table.State(start.Add(2*time.Hour), poison), qt.Equals, Unknown)
}

func TestMergeRejectsMalformedStates(t *testing.T) {
	c := qt.New(t)
	from, to := &Table{Instance: "a"}, &Table{Instance: "b"}
	from.RecordCrash(start, poison, LostAttempt{ServerKey: 1, StartedAt: start})
	state := from.OwnState(start)
	for n := range len(state) - 1 {
		if n != wireHeaderBytes {
			c.Assert(to.Merge(start, "a", state[:n]), qt.IsNotNil)
		}
	}
	c.Assert(to.Merge(start, "a", state), qt.IsNil)
	c.Assert(to.State(start, poison), qt.Equals, Suspect)
}

func TestDigestOfResentRequestIsUnchanged(t *testing.T) {
	c := qt.New(t)
	key := Key("secret")
	first := key.Digest("desk", "/v1/chat/completions", []byte(`{"model":"desk","messages":[{"role":"user","content":"x"}],"user":"a","stream":true}`))
	again := key.Digest("desk", "/v1/chat/completions?try=2", []byte(`{ "messages": [ {"role":"user", "content":"x"} ], "request_id":"7", "model":"desk" }`))
	other := key.Digest("desk", "/v1/chat/completions", []byte(`{"model":"desk","messages":[{"role":"user","content":"y"}]}`))
	c.Assert(again, qt.Equals, first)
	c.Assert(other, qt.Not(qt.Equals), first)
	c.Assert(Key("other").Digest("desk", "", nil), qt.Not(qt.Equals), key.Digest("desk", "", nil))
}

// TestOneTrialPerServer guards against two trials on one server when two
// instances reserve at the same time. There are enough servers for two trials.
func TestOneTrialPerServer(t *testing.T) {
	c := qt.New(t)
	r := newRegion(2, 18)
	for i, table := range r.tables {
		table.RecordCrash(start, digestOf(i), LostAttempt{ServerKey: uint64(i + 1), StartedAt: start})
	}
	r.advance(2 * defaultPropagationDelay)
	var trialServers []*backend.Server
	for i, table := range r.tables {
		c.Assert(table.Admit(r.now, digestOf(i)).Action, qt.Equals, RunAlone)
	}
	for range 20 {
		for i, table := range r.tables {
			server := table.ReserveServer(r.now, r.servers, func(*backend.Server) bool { return true })
			if server != nil && table.BeginTrial(r.now, digestOf(i), server) {
				trialServers = append(trialServers, server)
			}
		}
		r.advance(200 * time.Millisecond)
	}
	c.Assert(trialServers, qt.HasLen, 2)
	c.Assert(trialServers[0] != trialServers[1], qt.IsTrue)
}
