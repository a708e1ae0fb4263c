package hosted

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestSlowdownsAreTold checks that an instance learns from another one which servers are
// slow now, that an old slowdown is not told, that a newer report of its own is kept,
// and that a value that cannot be right changes nothing.
func TestSlowdownsAreTold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Now()
	servers := func() []*backend.Server {
		var all []*backend.Server
		for _, id := range []string{"slow", "usual", "old", "silent"} {
			all = append(all, backend.NewServer(backend.Info{ID: id}))
		}
		return all
	}
	told := servers()
	told[0].RecordSlowdown(backend.SlowdownReport{Slowdown: 2.5, ReceivedAt: now.Add(-100 * time.Millisecond)})
	told[1].RecordSlowdown(backend.SlowdownReport{Slowdown: 1, ReceivedAt: now})
	told[2].RecordSlowdown(backend.SlowdownReport{Slowdown: 2.5, ReceivedAt: now.Add(-maxSlowdownAge - time.Millisecond)})
	text, err := json.Marshal(recentSlowdowns(now, told))
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Equals, `{"slow":{"factor":2.5,"age-ms":100}}`)

	var received slowdowns
	c.Assert(json.Unmarshal(text, &received), qt.IsNil)
	learner := servers()
	received.record(now, learner)
	c.Check(learner[0].LastSlowdown(), qt.Equals, backend.SlowdownReport{Slowdown: 2.5, ReceivedAt: now.Add(-100 * time.Millisecond)})
	for _, server := range learner[1:] {
		c.Check(server.LastSlowdown(), qt.Equals, backend.SlowdownReport{})
	}

	newer := backend.SlowdownReport{Slowdown: 1, ReceivedAt: now.Add(-50 * time.Millisecond)}
	learner[0].RecordSlowdown(newer)
	received.record(now, learner)
	c.Check(learner[0].LastSlowdown(), qt.Equals, newer)

	for _, bad := range []slowdown{{Factor: -1}, {Factor: 1e9}, {Factor: 2, AgeMS: -5000}, {}} {
		slowdowns{"silent": bad}.record(now, learner)
		c.Check(learner[3].LastSlowdown(), qt.Equals, backend.SlowdownReport{}, qt.Commentf("%+v", bad))
	}
}
