package quarantine

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// start is the beginning of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// region is several instances before several servers, in virtual time. A
// request takes one second; one with the poison digest crashes its server
// after half of it, and takes all that ran beside it along.
type region struct {
	now     time.Time
	tables  []*Table
	servers []*backend.Server
	down    map[string]bool
	crashes int
	off     bool // the mechanism is off: everything runs at once
}

const runTime = time.Second

var poison = Key("secret").Digest("desk", "/v1", []byte("poison"))

func digestOf(i int) Digest { return Key("secret").Digest("desk", "/v1", fmt.Append(nil, i)) }

func newRegion(instances, servers int) *region {
	r := &region{now: start, down: make(map[string]bool)}
	for i := range instances {
		r.tables = append(r.tables, &Table{Instance: fmt.Sprintf("entry-%d", i)})
	}
	for i := range servers {
		s := backend.NewServer(backend.Info{ID: fmt.Sprintf("engine-%d", i), State: backend.StateLive})
		r.servers = append(r.servers, s)
	}
	r.report()
	return r
}

// report delivers fresh load reports of idle servers.
func (r *region) report() {
	for _, s := range r.servers {
		s.SetLoad(backend.Load{Slots: 8, At: r.now})
	}
}

// spread delivers every instance's state to every other one.
func (r *region) spread() {
	for _, from := range r.tables {
		state := from.OwnState(r.now)
		for _, to := range r.tables {
			if to != from && state != nil {
				if err := to.Merge(r.now, from.Instance, state); err != nil {
					panic(err)
				}
			}
		}
	}
}

// pass lets time pass in steps, with the exchange and the reports running.
func (r *region) pass(d time.Duration) {
	const step = 200 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(step)
		r.report()
		r.spread()
	}
}

// alive returns the servers that have not crashed.
func (r *region) alive() []*backend.Server {
	var alive []*backend.Server
	for _, s := range r.servers {
		if !r.down[s.ID] {
			alive = append(alive, s)
		}
	}
	return alive
}

// together runs requests on one server beside each other, as attempts of the
// given instance, and reports whether the server survived.
func (r *region) together(instance int, digests ...Digest) bool {
	server := r.alive()[0]
	begun := r.now
	crashed := false
	for _, d := range digests {
		crashed = crashed || d == poison
	}
	r.pass(runTime / 2)
	if !crashed {
		return true
	}
	r.crash(server)
	for i, d := range digests {
		if !r.off {
			r.tables[instance].Crashed(r.now, d, Lost{Server: server.Key, Begun: begun.Add(time.Duration(i))})
		}
	}
	return false
}

func (r *region) crash(server *backend.Server) {
	r.down[server.ID] = true
	r.crashes++
}

// result is the end of a request.
type result string

const (
	served  result = "served"
	refused result = "refused"
	crashed result = "crashed"
	expired result = "expired"
)

// send sends a request to an instance and follows it until it ends or the
// patience of its caller does.
func (r *region) send(instance int, digest Digest, patience time.Duration) result {
	t := r.tables[instance]
	for end := r.now.Add(patience); r.now.Before(end); {
		if len(r.alive()) == 0 {
			return refused
		}
		verdict := Verdict{Action: Run}
		if !r.off {
			verdict = t.Admit(r.now, digest)
		}
		switch verdict.Action {
		case Run:
			if r.together(instance, digest) {
				return served
			}
			return crashed
		case RunAlone:
			return r.alone(t, digest, end)
		case RefuseElsewhere, RefuseQuarantined:
			return refused
		}
		r.pass(verdict.Wait)
	}
	return expired
}

// alone runs a suspect on a reserved server.
func (r *region) alone(t *Table, digest Digest, end time.Time) result {
	for ; r.now.Before(end); r.pass(200 * time.Millisecond) {
		server := t.Reserve(r.now, r.alive(), func(*backend.Server) bool { return true })
		if server == nil || !t.Begin(r.now, digest, server) {
			continue
		}
		if digest == poison {
			r.crash(server)
			t.Done(r.now, digest, TrialCrashed)
			return crashed
		}
		t.Done(r.now, digest, TrialServed)
		t.ReleaseIdle(r.now)
		return served
	}
	t.Done(r.now, digest, TrialNotRun)
	return expired
}
