// Package exchange spreads small pieces of state among the instances of a
// region: shares of limits, slots in use, load digests; and summaries of
// regions among all of them. Each instance compares versions with one peer at
// a time and fetches what is newer there.
package exchange

import "time"

// Topic is one kind of state. Its methods are safe for concurrent use.
type Topic interface {
	// Name identifies the topic on the wire; short and stable.
	Name() string
	// State returns this instance's own state, or nil if nothing is worth
	// sending. It must not exceed MaxStateBytes.
	State() []byte
	// Merge takes over the state of a peer. A state that cannot be decoded is
	// ignored and reported as an error.
	Merge(instance string, state []byte) error
	// Forget is called once a peer has surely left: it holds no work any more.
	Forget(instance string)
}

// AgedTopic is a Topic that is told how old a state is.
type AgedTopic interface {
	Topic
	// MergeAged is called in place of Merge, and again for an unchanged state
	// whose age has become less.
	MergeAged(instance string, state []byte, age time.Duration) error
}

// RegionTopic is one kind of state that a region tells the others. Its methods
// are safe for concurrent use.
type RegionTopic interface {
	// Name identifies the topic on the wire; short and stable.
	Name() string
	// RegionState returns the state of the own region, or nil. It is called at
	// the instances that speak for the region.
	RegionState() []byte
	// MergeRegion takes over the state of another region. It is called again
	// for an unchanged state, whose age has become less.
	MergeRegion(region string, state []byte, age time.Duration) error
}

// MaxStateBytes bounds one state of a topic.
const MaxStateBytes = 4 << 10
