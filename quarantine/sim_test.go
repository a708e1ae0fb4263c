package quarantine

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// start is the start of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// region simulates several instances and backend servers in virtual time. A
// request with the poison digest crashes its server after half of
// requestDuration, and the server fails all requests that it runs concurrently.
// Other requests are served.
type region struct {
	now            time.Time
	tables         []*Table
	servers        []*backend.Server
	crashedServers map[string]bool
	crashes        int
	disabled       bool // requests run without the quarantine
}

const requestDuration = time.Second

var poison = Key("secret").Digest("desk", "/v1", []byte("poison"))

func digestOf(i int) Digest { return Key("secret").Digest("desk", "/v1", fmt.Append(nil, i)) }

func newRegion(instances, servers int) *region {
	r := &region{now: start, crashedServers: make(map[string]bool)}
	for i := range instances {
		r.tables = append(r.tables, &Table{Instance: fmt.Sprintf("entry-%d", i)})
	}
	for i := range servers {
		s := backend.NewServer(backend.Info{ID: fmt.Sprintf("engine-%d", i), State: backend.StateLive})
		r.servers = append(r.servers, s)
	}
	r.reportLoads()
	return r
}

// reportLoads sets a current load report without requests for every server.
func (r *region) reportLoads() {
	for _, s := range r.servers {
		s.SetLoad(backend.Load{Slots: 8, ReceivedAt: r.now})
	}
}

// exchangeStates merges the state of every instance into every other instance.
func (r *region) exchangeStates() {
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

// advance advances time in steps, with load reports and an exchange of states
// after each.
func (r *region) advance(d time.Duration) {
	const step = 200 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(step)
		r.reportLoads()
		r.exchangeStates()
	}
}

// alive returns the servers that have not crashed.
func (r *region) alive() []*backend.Server {
	var alive []*backend.Server
	for _, s := range r.servers {
		if !r.crashedServers[s.ID] {
			alive = append(alive, s)
		}
	}
	return alive
}

// runConcurrently runs requests concurrently on one server, as attempts of the
// given instance, and reports whether the server survived.
func (r *region) runConcurrently(instance int, digests ...Digest) bool {
	server := r.alive()[0]
	startedAt := r.now
	poisoned := false
	for _, d := range digests {
		poisoned = poisoned || d == poison
	}
	r.advance(requestDuration / 2)
	if !poisoned {
		return true
	}
	r.crash(server)
	for i, d := range digests {
		if !r.disabled {
			r.tables[instance].RecordCrash(r.now, d, LostAttempt{ServerKey: server.Key, StartedAt: startedAt.Add(time.Duration(i))})
		}
	}
	return false
}

func (r *region) crash(server *backend.Server) {
	r.crashedServers[server.ID] = true
	r.crashes++
}

// result is the outcome of a request.
type result string

const (
	served  result = "served"
	refused result = "refused"
	crashed result = "crashed"
	expired result = "expired"
)

// send sends a request to an instance and returns its outcome, which is expired
// if the request has not ended within timeout.
func (r *region) send(instance int, digest Digest, timeout time.Duration) result {
	t := r.tables[instance]
	for end := r.now.Add(timeout); r.now.Before(end); {
		if len(r.alive()) == 0 {
			return refused
		}
		verdict := Verdict{Action: Run}
		if !r.disabled {
			verdict = t.Admit(r.now, digest)
		}
		switch verdict.Action {
		case Run:
			if r.runConcurrently(instance, digest) {
				return served
			}
			return crashed
		case RunAlone:
			return r.runTrial(t, digest, end)
		case RefuseNotOwner, RefuseQuarantined:
			return refused
		}
		r.advance(verdict.RetryAfter)
	}
	return expired
}

// runTrial runs a suspect alone on a reserved server, or returns expired at end.
func (r *region) runTrial(t *Table, digest Digest, end time.Time) result {
	for ; r.now.Before(end); r.advance(200 * time.Millisecond) {
		server := t.ReserveServer(r.now, r.alive(), func(*backend.Server) bool { return true })
		if server == nil || !t.BeginTrial(r.now, digest, server) {
			continue
		}
		if digest == poison {
			r.crash(server)
			t.EndTrial(r.now, digest, TrialCrashed)
			return crashed
		}
		t.EndTrial(r.now, digest, TrialServed)
		t.ReleaseUnneeded(r.now)
		return served
	}
	t.EndTrial(r.now, digest, TrialNotRun)
	return expired
}
