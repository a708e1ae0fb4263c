package drain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/drain"
)

var (
	start  = time.Unix(1e9, 0)
	drafts = drain.Kind{Service: "desk", Work: "drafts"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// record records drafts with an output limit of 100 tokens that ended at the start after
// the given times, half of them before the first byte.
func record(d *drain.Durations, seconds ...float64) { recordLimited(d, 100, seconds...) }

// recordLimited is record with another output limit, 0 for none.
func recordLimited(d *drain.Durations, outputTokens int, seconds ...float64) {
	for _, s := range seconds {
		run := d.Begin(at(-s), drafts, outputTokens)
		run.FirstByte(at(-s / 2))
		run.End(at(0), true)
	}
}

func ready(other bool) func() bool { return func() bool { return other } }

var tenOfOneSecond = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}

// TestGate guards against requests that are taken although the instance must exit before
// they end, and against refusals of those that end before.
func TestGate(t *testing.T) {
	// The instance drains from 0 s on, and exits after 7 s. From 3 s on callers know it.
	for _, test := range []struct {
		name               string
		received, deadline float64
		tokens             int
		alone              bool
		take               bool
		basis              drain.Basis
	}{
		{"ends by its deadline", 6, 7, 100, false, true, drain.BasisDeadline},
		{"expected to end", 2, 30, 100, false, true, drain.BasisObserved},
		{"most would end, but not enough", 2, 30, 900, false, false, drain.BasisObserved},
		{"most would end, no other instance", 2, 30, 900, true, true, drain.BasisObserved},
		{"most would not end", 2, 30, 2000, true, false, drain.BasisObserved},
		{"late, expected to end", 3.1, 30, 1, true, false, drain.BasisLate},
		{"late, ends by its deadline", 3.1, 6.9, 100, true, true, drain.BasisDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var gate drain.Gate
			record(&gate.Durations, append([]float64{2, 2}, tenOfOneSecond...)...)
			request := drain.Request{Kind: drafts, OutputTokens: test.tokens, Received: at(test.received), Deadline: at(test.deadline)}
			c.Assert(gate.Decide(at(test.received), request, ready(false)).Take, qt.IsTrue) // not draining
			gate.Close(at(3), at(7))
			decision := gate.Decide(at(test.received), request, ready(!test.alone))
			c.Assert(decision.Basis, qt.Equals, test.basis)
			c.Assert(decision.Take, qt.Equals, test.take, qt.Commentf("%+v", decision))
		})
	}
}

// TestGateWithoutSamples guards against a request of unknown length that another instance
// could have taken.
func TestGateWithoutSamples(t *testing.T) {
	c := qt.New(t)
	var gate drain.Gate
	record(&gate.Durations, 1, 1)
	gate.Close(at(3), at(7))
	request := drain.Request{Kind: drafts, OutputTokens: 100, Received: at(0), Deadline: at(30)}
	decision := gate.Decide(at(0), request, ready(true))
	c.Assert(decision.Basis, qt.Equals, drain.BasisUnknown)
	c.Assert(decision.Take, qt.IsFalse)
	c.Assert(gate.Decide(at(0), request, ready(false)).Take, qt.IsTrue)
}

// TestWaitingRequestIsJudgedAgain guards against a request that fits when it arrives and
// begins, after waiting or at a retry, when it fits no more.
func TestWaitingRequestIsJudgedAgain(t *testing.T) {
	c := qt.New(t)
	var gate drain.Gate
	record(&gate.Durations, tenOfOneSecond...)
	gate.Close(at(3), at(7))
	request := drain.Request{Kind: drafts, OutputTokens: 100, Received: at(2.9), Deadline: at(30)}
	c.Assert(gate.Decide(at(2.9), request, ready(true)).Take, qt.IsTrue)
	c.Assert(gate.Decide(at(5.9), request, ready(true)).Take, qt.IsTrue)
	c.Assert(gate.Decide(at(6.1), request, ready(true)).Take, qt.IsFalse)
}

// TestSlowRequestsInProgressCount guards against an estimate from before the load grew:
// requests that are still in progress have not told their time, but that it is longer.
func TestSlowRequestsInProgressCount(t *testing.T) {
	c := qt.New(t)
	var durations drain.Durations
	record(&durations, tenOfOneSecond...)
	before, _, _ := durations.Estimate(at(0), drafts, 100, 0.5)
	c.Assert(before, qt.Equals, time.Second)
	for range 15 {
		durations.Begin(at(0), drafts, 100).FirstByte(at(0.5))
	}
	soon, _, _ := durations.Estimate(at(0.6), drafts, 100, 0.5)
	c.Assert(soon, qt.Equals, before)
	after, _, _ := durations.Estimate(at(4), drafts, 100, 0.5)
	c.Assert(after, qt.Equals, 4*time.Second)
}

// TestOldRequestsDoNotCount guards against estimates that rest on another load.
func TestOldRequestsDoNotCount(t *testing.T) {
	c := qt.New(t)
	var durations drain.Durations
	record(&durations, tenOfOneSecond...)
	_, _, ok := durations.Estimate(at(29), drafts, 100, 0.5)
	c.Assert(ok, qt.IsTrue)
	_, _, ok = durations.Estimate(at(31), drafts, 100, 0.5)
	c.Assert(ok, qt.IsFalse)
}

// TestManyKinds guards against a caller who makes an instance keep the times of any
// number of kinds.
func TestManyKinds(t *testing.T) {
	c := qt.New(t)
	var durations drain.Durations
	for k := range 10000 {
		run := durations.Begin(at(float64(k)), drain.Kind{Work: fmt.Sprint("kind-", k)}, 1)
		run.End(at(float64(k)), true)
	}
	c.Assert(durations.Kinds() <= 300, qt.IsTrue, qt.Commentf("%d kinds", durations.Kinds()))
}

// TestRequestsWithoutOutputLimit guards against a request without an output limit that
// is expected to end after the time of a single token, and is cut, and against requests
// with a limit that are refused because the others took long.
func TestRequestsWithoutOutputLimit(t *testing.T) {
	c := qt.New(t)
	var durations drain.Durations
	record(&durations, tenOfOneSecond...)
	_, _, ok := durations.Estimate(at(0), drafts, 0, 0.5)
	c.Assert(ok, qt.IsFalse)
	recordLimited(&durations, 0, slices.Repeat([]float64{4}, 20)...)
	unlimited, _, _ := durations.Estimate(at(0), drafts, 0, 0.5)
	c.Assert(unlimited, qt.Equals, 4*time.Second)
	limited, _, _ := durations.Estimate(at(0), drafts, 100, 0.5)
	c.Assert(limited, qt.Equals, time.Second)
}
