// Package exchange spreads small pieces of state among the instances of a
// region: shares of limits, slots in use, load digests. Each instance sends
// its own state to a bounded number of peers at a time.
package exchange

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

// MaxStateBytes bounds one state of a topic.
const MaxStateBytes = 4 << 10
