package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// processModel is what a server process has said of itself to this instance.
type processModel struct {
	leaving bool
	until   time.Time
}

// TestWithdrawalOutlastsRecords guards against requests to a server that has
// withdrawn, whatever its entry says: it runs random sequences of announcements,
// pauses and changes of the list and compares the registry with a model of the
// processes. A server's withdrawal ends with its process.
func TestWithdrawalOutlastsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := NewRegistry()
		now := time.Now()
		processes := make(map[string]*processModel) // by id and start time
		listed := make(map[string]Info)
		process := func(info Info) *processModel {
			key := fmt.Sprint(info.ID, "/", info.Started)
			if processes[key] == nil {
				processes[key] = &processModel{}
			}
			return processes[key]
		}
		publish := func() {
			var list []Info
			for _, info := range listed {
				list = append(list, info)
			}
			registry.Replace(list)
		}
		for i := range 3 {
			id := fmt.Sprint("i-", i)
			listed[id] = Info{ID: id, Addr: id + ":1", Service: "desk", State: StateLive, Started: 1}
		}
		departed := make(map[string]Info)
		publish()
		id := rapid.SampledFrom([]string{"i-0", "i-1", "i-2"})
		// server returns a listed server, or nil.
		server := func(t *rapid.T) *Server {
			name := id.Draw(t, "id")
			for _, s := range registry.Servers("desk") {
				if s.ID == name {
					return s
				}
			}
			return nil
		}
		// change returns an action that changes one of the entries and publishes the list.
		change := func(entries map[string]Info, f func(t *rapid.T, info Info)) func(*rapid.T) {
			return func(t *rapid.T) {
				if info, ok := entries[id.Draw(t, "id")]; ok {
					f(t, info)
					publish()
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				if s := server(t); s != nil {
					model := process(s.Info)
					if s.SetDraining() == model.leaving {
						t.Fatalf("a second announcement of %s counts as new, or the first one does not", s.ID)
					}
					model.leaving = true
				}
			},
			"pause": func(t *rapid.T) {
				s := server(t)
				if s == nil {
					return
				}
				model := process(s.Info)
				d := time.Duration(rapid.Int64Range(-1000, 10000).Draw(t, "ms")) * time.Millisecond
				until, _ := s.Pause(now, d)
				if d > 0 && now.Add(d).After(model.until) {
					model.until = now.Add(d)
				}
				if !until.Equal(model.until) {
					t.Fatalf("%s is paused until %v, want %v", s.ID, until, model.until)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"record": change(listed, func(t *rapid.T, info Info) {
				info.State = rapid.SampledFrom([]string{StateLive, StateDraining}).Draw(t, "state")
				info.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
				listed[info.ID] = info
			}),
			"lose": change(listed, func(_ *rapid.T, info Info) {
				departed[info.ID] = info
				delete(listed, info.ID)
			}),
			"return": change(departed, func(_ *rapid.T, info Info) {
				listed[info.ID] = info
				delete(departed, info.ID)
			}),
			"restart": change(listed, func(_ *rapid.T, info Info) {
				info.Started++
				info.State = StateLive
				listed[info.ID] = info
			}),
			"": func(t *rapid.T) {
				for _, s := range registry.Servers("desk") {
					model := process(listed[s.ID])
					want := listed[s.ID].State == StateLive && !model.leaving && !now.Before(model.until)
					if s.MayReceive(now) != want {
						t.Fatalf("MayReceive of %+v is %t, want %t (model %+v, now %v)", s.Info, s.MayReceive(now), want, model, now)
					}
				}
			},
		})
	})
}

// TestPauseIsBounded guards against a server that is lost for good because of one
// response with an absurd pause.
func TestPauseIsBounded(t *testing.T) {
	c := qt.New(t)
	server := NewServer(Info{ID: "i-1", State: StateLive})
	now := time.Now()
	until, moved := server.Pause(now, 1<<63-1)
	c.Assert(moved, qt.IsTrue)
	c.Assert(until.Sub(now), qt.Equals, MaxPause)
	c.Assert(server.MayReceive(now.Add(MaxPause-1)), qt.IsFalse)
	c.Assert(server.MayReceive(now.Add(MaxPause)), qt.IsTrue)
}

// TestPauseEndIsReportedOnce guards against a lost or repeated log line at the end
// of a pause.
func TestPauseEndIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry()
	registry.Replace([]Info{{ID: "i-1", Service: "desk", State: StateLive}})
	server := registry.Servers("desk")[0]
	now := time.Now()
	ends := func(at time.Duration) (count int) {
		registry.EndPauses(now.Add(at), func(*Server, time.Duration) { count++ })
		return count
	}
	c.Assert(ends(0), qt.Equals, 0)
	server.Pause(now, time.Second)
	c.Assert(ends(time.Second-1), qt.Equals, 0)
	c.Assert(ends(time.Second), qt.Equals, 1)
	c.Assert(ends(2*time.Second), qt.Equals, 0)
	server.Pause(now.Add(2*time.Second), time.Second)
	c.Assert(ends(4*time.Second), qt.Equals, 1)
}

// TestDepartedServersAreBounded guards against memory that grows with each server
// that leaves.
func TestDepartedServersAreBounded(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry()
	for i := range 2 * maxDeparted {
		registry.Replace([]Info{{ID: fmt.Sprint("i-", i), Service: "desk", State: StateLive, Started: 1}})
		registry.Servers("desk")[0].SetDraining()
	}
	c.Assert(len(registry.departed.byID) <= maxDeparted, qt.IsTrue)
	c.Assert(len(registry.departed.order) <= maxDeparted, qt.IsTrue)
}
