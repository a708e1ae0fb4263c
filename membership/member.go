// Package membership detects which instances of all regions are live. It is a
// gossip protocol of the SWIM kind: inside a region, every instance probes a few
// others, and probes and their responses carry updates. A few instances of each
// region, the bridges, synchronize records with other regions. There is no
// leader and no persistent storage.
package membership

import (
	"cmp"
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// Member describes a running instance.
type Member struct {
	Instance   listing.Instance
	Generation uint64 // distinguishes a process from earlier ones with the same id; higher is later
	Serving    bool   // takes new work: it has a configuration and is not draining
}

// State is the liveness of a member as recorded by this instance.
type State uint8

// The states. At the same incarnation, a later one in this list overrides an
// earlier one.
const (
	Alive State = iota
	Suspect
	Dead // answered no confirming probe
	Left // announced its end, or was replaced at its address
)

// Update is a state change of a member. The update with the higher incarnation
// wins; a member raises its own incarnation to refute a suspicion.
type Update struct {
	ID          string
	Region      string
	Incarnation uint64
	State       State
	Age         time.Duration // of a suspicion: time since the first failed probe was sent
	Member      *Member       // set if State is Alive
}

// Message is the content of every probe and of every response to one.
type Message struct {
	Updates []Update
	// Introduce requests the receiver's own record.
	Introduce bool
}

// record is the state of a member as recorded by this instance.
type record struct {
	member              Member
	incarnation         uint64
	state               State
	since               time.Time // Suspect: when the first failed probe was sent; Dead, Left: when marked so here
	lastResponse        time.Time // time of the last response to a probe by this instance
	confirming          bool      // the confirming probes, the last ones before Dead, are in progress
	terminationReported bool      // OnForget was called after terminationDelay as Dead
}

// overriddenBy reports whether u is newer than the record.
func (r *record) overriddenBy(u *Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, r.incarnation), cmp.Compare(u.State, r.state)) > 0
}

func (r *record) live() bool { return r.state <= Suspect }

// update returns the record as an update sent at now.
func (r *record) update(now time.Time) Update {
	u := Update{ID: r.member.Instance.ID, Region: r.member.Instance.Region, Incarnation: r.incarnation, State: r.state}
	switch r.state {
	case Alive:
		member := r.member
		u.Member = &member
	case Suspect:
		u.Age = now.Sub(r.since)
	}
	return u
}
