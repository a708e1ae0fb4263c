package share

import "time"

// MemberChange is a change of the members that a table counts.
type MemberChange struct {
	Kind        MemberChangeKind
	Topic       string
	Instance    string
	Incarnation uint64
	Age         time.Duration // since this instance's present incarnation started
	Members     int           // counted after the change
	Departed    int           // of them, forgotten less than SettleTime ago
}

// MemberChangeKind is the kind of a MemberChange.
type MemberChangeKind string

// The kinds of changes.
const (
	// MemberJoined is the first state of an incarnation of a peer.
	MemberJoined MemberChangeKind = "joined"
	// MemberForgotten is a peer that is known to have terminated.
	MemberForgotten MemberChangeKind = "forgotten"
	// SelfForgotten means that a peer has forgotten the incarnation of this
	// instance, which starts a new one and uses at most the floor for SettleTime.
	SelfForgotten MemberChangeKind = "self_forgotten"
)

func (t *Table) observe(now time.Time, kind MemberChangeKind, instance string, incarnation uint64) {
	if t.config.Observe == nil {
		return
	}
	t.config.Observe(&MemberChange{
		Kind: kind, Topic: t.config.Topic, Instance: instance, Incarnation: incarnation, Age: now.Sub(t.started),
		Members: t.count(now), Departed: len(t.departed),
	})
}
