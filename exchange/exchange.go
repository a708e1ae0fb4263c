// Package exchange replicates small pieces of state by gossip: shares of
// limits, slots in use and load digests among the instances of a region, and
// summaries of regions among the instances of all regions. In each round an
// instance sends the versions that it holds to one peer, which returns what is
// newer.
package exchange

import "time"

// Topic is one kind of state. Its methods are safe for concurrent use.
type Topic interface {
	// Name identifies the topic on the wire; short and stable.
	Name() string
	// State returns the state of this instance, or nil if there is nothing worth
	// sending. It must not exceed MaxStateBytes. Peers keep the previous state if
	// it is nil or too large.
	State() []byte
	// Merge stores the state of a peer. It returns an error for a state that
	// cannot be decoded and ignores that state.
	Merge(instance string, state []byte) error
	// Forget removes the state of a peer. It is called once the peer is known
	// to have terminated and therefore to process no more requests.
	Forget(instance string)
}

// AgedTopic is a Topic whose Merge depends on the age of the state.
type AgedTopic interface {
	Topic
	// MergeAged is called instead of Merge; age is the time since the peer read
	// the state. It is called again for an unchanged state when the peer has
	// published it anew, with the lower age.
	MergeAged(instance string, state []byte, age time.Duration) error
}

// RegionTopic is one kind of state that a region publishes to the other
// regions. Its methods are safe for concurrent use.
type RegionTopic interface {
	// Name identifies the topic on the wire; short and stable.
	Name() string
	// RegionState returns the state of this instance's region, or nil if there is
	// nothing to send. It must not exceed MaxStateBytes. It is called only at the
	// instance that publishes for the region.
	RegionState() []byte
	// MergeRegion stores the state of another region; age is the time since
	// that region's publisher read it. It is called again for an unchanged
	// state when the region has published it anew, with the lower age.
	MergeRegion(region string, state []byte, age time.Duration) error
}

// MaxStateBytes is the maximum size of the state of one topic.
const MaxStateBytes = 4 << 10
