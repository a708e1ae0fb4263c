package routing

import (
	"sync"
	"time"
)

// Placement tells that a prompt with a prefix was sent to a server.
type Placement struct {
	Server uint64 // key
	Digest uint64
}

const (
	// placementLimit bounds the placements that are kept for other instances, and
	// so the size of an answer: older ones are hints that are not worth their
	// bytes.
	placementLimit = 256
	// minToldTokens is the least part of a prompt that others are told of: a
	// shorter one is computed again sooner than anyone else learns of it.
	minToldTokens = minFetchTokens
	// retellInterval is the time after which others are told again that a server
	// has a part: often enough that they do not take it for evicted.
	retellInterval = remoteLife / 4
)

// placements are the last ones of this instance, in order.
type placements struct {
	mu   sync.Mutex
	ring [placementLimit]Placement
	next uint64              // number of the next one
	told map[Placement]int64 // when those in the ring were added, in ns
}

func (p *placements) add(at time.Time, server uint64, digests []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told == nil {
		p.told = make(map[Placement]int64, placementLimit)
	}
	for _, digest := range digests {
		placement := Placement{Server: server, Digest: digest}
		if last, ok := p.told[placement]; ok && at.UnixNano()-last < int64(retellInterval) {
			continue
		}
		slot := &p.ring[p.next%placementLimit]
		if p.next >= placementLimit {
			delete(p.told, *slot)
		}
		*slot = placement
		p.told[placement] = at.UnixNano()
		p.next++
	}
}

// Since returns the placements of this instance from the given number on, as
// far as they are kept, and the number of the next one. A number that was never
// reached, as of an earlier process, stands for 0.
func (x *PrefixIndex) Since(number uint64) ([]Placement, uint64) {
	p := &x.own
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

// Learn records placements of another instance.
func (x *PrefixIndex) Learn(at time.Time, list []Placement) {
	for _, p := range list {
		x.shard(p.Digest).add(p.Digest, p.Server, at.UnixNano(), x.limit)
	}
}
