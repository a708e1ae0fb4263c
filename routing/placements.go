package routing

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// Placement records that a prompt with a prefix was sent to a server.
type Placement struct {
	Server uint64 // key of the server
	Digest uint64 // digest of the prefix
}

const (
	// placementLimit is the number of placements kept for other instances. It
	// bounds the size of a response: older placements are hints that do not justify
	// a larger response.
	placementLimit = 256
	// minPublishedTokens is the minimum length of a prefix that is published to
	// other instances: computing a shorter one again takes less time than its
	// placement takes to reach another instance.
	minPublishedTokens = minFetchTokens
	// republishInterval is the minimum time between two publications of the same
	// placement. It is well below remotePrefixTTL, so that other instances do not
	// assume that a prefix in use has been evicted.
	republishInterval = remotePrefixTTL / 4
)

// placements is a ring buffer of the most recent placements of this instance.
type placements struct {
	mu          sync.Mutex
	ring        [placementLimit]Placement
	next        uint64                       // sequence number of the next placement
	publishedAt map[Placement]monotonic.Time // time at which each placement in ring was added
}

func (p *placements) add(at time.Time, server uint64, digests []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.publishedAt == nil {
		p.publishedAt = make(map[Placement]monotonic.Time, placementLimit)
	}
	for _, digest := range digests {
		placement := Placement{Server: server, Digest: digest}
		if last, ok := p.publishedAt[placement]; ok && last.Since(at) < republishInterval {
			continue
		}
		slot := &p.ring[p.next%placementLimit]
		if p.next >= placementLimit {
			delete(p.publishedAt, *slot)
		}
		*slot = placement
		p.publishedAt[placement] = monotonic.Of(at)
		p.next++
	}
}

// PlacementsSince returns the placements of this instance from a sequence
// number on, as far as they are kept, and the next sequence number. A number
// above the next one comes from an earlier process of this instance and is
// treated as 0.
func (x *PrefixIndex) PlacementsSince(number uint64) ([]Placement, uint64) {
	p := &x.ownPlacements
	p.mu.Lock()
	defer p.mu.Unlock()
	if number > p.next {
		number = 0
	}
	if p.next > placementLimit {
		number = max(number, p.next-placementLimit)
	}
	list := make([]Placement, 0, p.next-number)
	for ; number < p.next; number++ {
		list = append(list, p.ring[number%placementLimit])
	}
	return list, p.next
}

// MergePlacements records placements reported by another instance.
func (x *PrefixIndex) MergePlacements(at time.Time, list []Placement) {
	for _, p := range list {
		x.shard(p.Digest).add(p.Digest, p.Server, monotonic.Of(at), x.limit)
	}
}
