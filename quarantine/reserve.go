package quarantine

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// reservationLife bounds a reservation whose owner has gone.
const reservationLife = time.Minute

// reservedShare is the part of a service's servers that may be reserved.
const reservedShare = 8 // one in this many, at least one

// reservation keeps a server free of other work for a trial.
type reservation struct {
	server uint64 // key
	since  time.Time
	until  time.Time
}

// Reserve asks for a server for the trial that this instance holds, among
// those of a service that usable accepts. The server may be used once Begin
// reports so. It returns nil while other instances have reserved as many
// servers as may be.
func (t *Table) Reserve(now time.Time, servers []*backend.Server, usable func(*backend.Server) bool) *backend.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropReservations(now)
	listed := make(map[uint64]*backend.Server, len(servers))
	for _, s := range servers {
		listed[s.Key] = s
	}
	taken, before, lost := t.taken(listed)
	if before >= max(1, len(servers)/reservedShare) {
		t.release(t.Instance)
		return nil
	}
	own, held := t.reservations[t.Instance]
	if s := listed[own.server]; held && !lost && s != nil && usable(s) {
		own.until = now.Add(reservationLife)
		t.reserve(t.Instance, own)
		return s
	}
	best := leastOccupied(servers, taken, usable)
	if best != nil {
		t.reserve(t.Instance, reservation{best.Key, now, now.Add(reservationLife)})
	}
	return best
}

// taken returns the listed servers that other instances have reserved, how
// many of them go before a reservation of this instance, and whether one of
// these is for the same server: of two instances that reserve at the same time
// the one with the lower id keeps its server. Two trials on one server would
// quarantine an innocent request together with its neighbor.
func (t *Table) taken(listed map[uint64]*backend.Server) (taken map[uint64]bool, before int, lost bool) {
	own, held := t.reservations[t.Instance]
	taken = make(map[uint64]bool)
	for instance, r := range t.reservations {
		if instance == t.Instance || listed[r.server] == nil {
			continue
		}
		taken[r.server] = true
		if !held || instance < t.Instance {
			before++
			lost = lost || held && r.server == own.server
		}
	}
	return taken, before, lost
}

func leastOccupied(servers []*backend.Server, taken map[uint64]bool, usable func(*backend.Server) bool) *backend.Server {
	var best *backend.Server
	for _, s := range servers {
		if taken[s.Key] || !usable(s) {
			continue
		}
		if best == nil || s.Occupied() < best.Occupied() {
			best = s
		}
	}
	return best
}

// Begin starts the trial of a digest on the server that this instance has
// reserved, if the server runs nothing else: every instance has had the time
// to learn of the reservation, and a load report received since shows no work.
// It reports false if the server is not idle yet.
func (t *Table) Begin(now time.Time, digest Digest, server *backend.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, digest)
	if e == nil || e.state != Suspect || !t.idle(now, server) {
		return false
	}
	e.state = Trial
	return true
}

func (t *Table) idle(now time.Time, server *backend.Server) bool {
	own, ok := t.reservations[t.Instance]
	if !ok || own.server != server.Key || now.Sub(own.since) < t.spread() || server.InFlight() > 0 {
		return false
	}
	load := server.Load()
	reports := !load.At.IsZero()
	return !reports || load.At.Sub(own.since) >= t.spread() && load.Running+load.Waiting == 0
}

// ReleaseIdle gives up the reservation of this instance unless another of its
// suspects waits for it.
func (t *Table) ReleaseIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next(now) == (Digest{}) {
		t.release(t.Instance)
	}
}

func (t *Table) release(instance string) {
	delete(t.reservations, instance)
	t.reservedCount.Store(int32(len(t.reservations)))
}

func (t *Table) reserve(instance string, r reservation) {
	if t.reservations == nil {
		t.reservations = make(map[string]reservation)
	}
	t.reservations[instance] = r
	t.reservedCount.Store(int32(len(t.reservations)))
}

func (t *Table) dropReservations(now time.Time) {
	for instance, r := range t.reservations {
		if now.After(r.until) {
			t.release(instance)
		}
	}
}

// reserved reports whether any instance has reserved the server.
func (t *Table) reserved(now time.Time, server uint64) bool {
	if t.reservedCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.reservations {
		if r.server == server && !now.After(r.until) {
			return true
		}
	}
	return false
}

// Filter keeps other requests off reserved servers. It implements
// routing.Filter.
type Filter struct{ Table *Table }

// Keep implements routing.Filter.
func (f Filter) Keep(now time.Time, _ *routing.Request, server *backend.Server) bool {
	return !f.Table.reserved(now, server.Key)
}
