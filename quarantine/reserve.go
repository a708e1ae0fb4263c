package quarantine

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// reservationTTL is the lifetime of a reservation that is not renewed, such as
// that of an instance that has failed.
const reservationTTL = time.Minute

// serversPerReservation limits how many servers of a service are reserved at
// the same time.
const serversPerReservation = 8 // one in this many, but at least one

// reservation keeps other requests off a server so that it can run a trial.
type reservation struct {
	serverKey uint64
	since     time.Time
	expires   time.Time
}

// ReserveServer reserves a server for the trial of this instance, or renews its
// reservation. It chooses the least occupied server of a service that usable
// accepts and that no other instance has reserved. The trial may run once
// BeginTrial reports true. ReserveServer returns nil if there is no such
// server, or while the reservations of other instances that take precedence
// reach the limit.
func (t *Table) ReserveServer(now time.Time, servers []*backend.Server, usable func(*backend.Server) bool) *backend.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpiredReservations(now)
	byKey := make(map[uint64]*backend.Server, len(servers))
	for _, s := range servers {
		byKey[s.Key] = s
	}
	reservedByOthers, preceding, mustYield := t.otherReservations(byKey)
	if preceding >= max(1, len(servers)/serversPerReservation) {
		t.release(t.Instance)
		return nil
	}
	own, held := t.reservations[t.Instance]
	if s := byKey[own.serverKey]; held && !mustYield && s != nil && usable(s) {
		own.expires = now.Add(reservationTTL)
		t.reserve(t.Instance, own)
		return s
	}
	best := leastOccupied(servers, reservedByOthers, usable)
	if best != nil {
		t.reserve(t.Instance, reservation{best.Key, now, now.Add(reservationTTL)})
	}
	return best
}

// otherReservations returns the servers of byKey that other instances have
// reserved, how many of these reservations take precedence over this instance,
// and whether one of them is for the server that this instance has reserved
// itself, which it must then release. Once this instance has a reservation, only
// those of instances with a lower ID take precedence: of two instances that
// reserve at the same time, the one with the lower ID keeps its server. Two
// trials on one server would quarantine an innocent request together with the
// one that crashes it.
func (t *Table) otherReservations(byKey map[uint64]*backend.Server) (reserved map[uint64]bool, preceding int, mustYield bool) {
	own, held := t.reservations[t.Instance]
	reserved = make(map[uint64]bool)
	for instance, r := range t.reservations {
		if instance == t.Instance || byKey[r.serverKey] == nil {
			continue
		}
		reserved[r.serverKey] = true
		if !held || instance < t.Instance {
			preceding++
			mustYield = mustYield || held && r.serverKey == own.serverKey
		}
	}
	return reserved, preceding, mustYield
}

func leastOccupied(servers []*backend.Server, reserved map[uint64]bool, usable func(*backend.Server) bool) *backend.Server {
	var best *backend.Server
	for _, s := range servers {
		if reserved[s.Key] || !usable(s) {
			continue
		}
		if best == nil || s.Occupied() < best.Occupied() {
			best = s
		}
	}
	return best
}

// BeginTrial starts the trial of a digest on the server that this instance has
// reserved. It reports false while the server may run something else: until the
// reservation has had the time to reach every instance, this instance has no
// request in flight there, and a load report from after that time shows no
// requests. A server that has never sent a report needs none.
func (t *Table) BeginTrial(now time.Time, digest Digest, server *backend.Server) bool {
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
	if !ok || own.serverKey != server.Key || now.Sub(own.since) < t.propagationDelay() || server.InFlight() > 0 {
		return false
	}
	load := server.Load()
	hasReport := !load.ReceivedAt.IsZero()
	return !hasReport || load.ReceivedAt.Sub(own.since) >= t.propagationDelay() && load.Running+load.Waiting == 0
}

// ReleaseUnneeded releases the reservation of this instance unless another of
// its suspects waits for a trial.
func (t *Table) ReleaseUnneeded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextTrial(now) == (Digest{}) {
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

func (t *Table) dropExpiredReservations(now time.Time) {
	for instance, r := range t.reservations {
		if now.After(r.expires) {
			t.release(instance)
		}
	}
}

// isReserved reports whether any instance has reserved the server.
func (t *Table) isReserved(now time.Time, server uint64) bool {
	if t.reservedCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.reservations {
		if r.serverKey == server && !now.After(r.expires) {
			return true
		}
	}
	return false
}

// Filter excludes reserved servers from the routing of other requests. It
// implements routing.Filter.
type Filter struct{ Table *Table }

// Keep implements routing.Filter.
func (f Filter) Keep(now time.Time, _ *routing.Request, server *backend.Server) bool {
	return !f.Table.isReserved(now, server.Key)
}
