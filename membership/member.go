// Package membership tells each instance which instances of all regions are
// live. Inside a region every instance probes a few others and suspicions
// spread on the probes; a few instances of each region exchange records with
// other regions. There is no leader and nothing is stored.
package membership

import (
	"cmp"
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// Member describes a running instance.
type Member struct {
	Instance   listing.Instance
	Generation uint64 // tells a process from its predecessor with the same id
	Serving    bool   // takes new work: it has a configuration and is not draining
}

// State is what is known of a member.
type State uint8

// The states, in the order in which they override each other at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Dead // did not answer
	Left // said that it ended
)

// Update is news of a member. The higher incarnation wins; a member raises its
// own to refute a suspicion.
type Update struct {
	ID          string
	Region      string
	Incarnation uint64
	State       State
	Age         time.Duration // of a suspicion: since the first probe that failed
	Member      *Member       // set if State is Alive
}

// Message is carried by every probe and every answer.
type Message struct {
	Updates []Update
	// Introduce asks the receiver to send its own record.
	Introduce bool
}

// record is what this instance knows of a member.
type record struct {
	member      Member
	incarnation uint64
	state       State
	since       time.Time // Suspect: when the first failed probe was sent; Dead, Left: when learned
	heard       time.Time // last answer to a probe of this instance
	confirming  bool      // the last probe before Dead is under way
	forgotten   bool      // OnForget was called after a long time Dead
}

// overridden reports whether an update is newer than the record.
func (r *record) overridden(u *Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, r.incarnation), cmp.Compare(u.State, r.state)) > 0
}

func (r *record) live() bool { return r.state <= Suspect }

// update returns the news that the record holds at now.
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
