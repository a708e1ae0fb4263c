// Package load follows the load of the backend servers of a region. Each
// instance asks a bounded share of them and tells the others in short digests,
// so that no instance asks all and a server is asked by few.
package load

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// maxFollowed is the number of backend servers that an instance asks, as long
// as one instance for each server is enough.
const maxFollowed = 64

// share decides which servers an instance asks, by rendezvous hashing over the
// live instances of the region. All instances agree on it as far as their
// views do.
type share struct {
	self    int // index in scores; -1 if self is not a member
	scores  []uint64
	replica int // instances that ask each server
}

func newShare(self string, members []string, servers int) share {
	s := share{self: -1, scores: make([]uint64, len(members))}
	for i, id := range members {
		s.scores[i] = xxhash.Sum64String(id)
		if id == self {
			s.self = i
		}
	}
	s.replica = min(len(members), max(1, maxFollowed*len(members)/max(1, servers)))
	return s
}

// rank returns the place of this instance among those of a server; the first
// one, 0, also tells the others.
func (s share) rank(server *backend.Server) int {
	if s.self < 0 {
		return 0
	}
	own := mix(s.scores[s.self] ^ server.Key)
	rank := 0
	for i, member := range s.scores {
		if i != s.self && mix(member^server.Key) > own {
			rank++
		}
	}
	return rank
}

// follows reports whether this instance asks a server of the given rank.
func (s share) follows(rank int) bool { return s.self < 0 || rank < s.replica }

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
