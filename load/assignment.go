// Package load tracks the load of the backend servers of a region. Each instance
// queries a bounded subset of the servers and sends the others short digests of
// the results, so that no instance queries all servers and each server is queried
// by few instances.
package load

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// targetPolledServers is the target number of backend servers that an instance
// queries. The number is higher if the region has more servers per instance, as
// each server is queried by at least one instance.
const targetPolledServers = 64

// assignment determines which servers an instance queries, by rendezvous hashing
// over the live instances of the region. Instances with the same members and
// number of servers compute consistent assignments.
type assignment struct {
	self             int // index in memberHashes; -1 if self is not a member
	memberHashes     []uint64
	pollersPerServer int // number of instances that query each server
}

func newAssignment(self string, members []string, servers int) assignment {
	a := assignment{self: -1, memberHashes: make([]uint64, len(members))}
	for i, id := range members {
		a.memberHashes[i] = xxhash.Sum64String(id)
		if id == self {
			a.self = i
		}
	}
	a.pollersPerServer = min(len(members), max(1, targetPolledServers*len(members)/max(1, servers)))
	return a
}

// position returns the position of this instance in the rendezvous order of a
// server. The instance at position 0 also sends the digests to the others. An
// instance that is not a member is at position 0 for all servers.
func (a assignment) position(server *backend.Server) int {
	if a.self < 0 {
		return 0
	}
	local := mix(a.memberHashes[a.self] ^ server.Key)
	position := 0
	for i, member := range a.memberHashes {
		if i != a.self && mix(member^server.Key) > local {
			position++
		}
	}
	return position
}

// polls reports whether this instance queries a server for which it has the given
// position.
func (a assignment) polls(position int) bool { return a.self < 0 || position < a.pollersPerServer }

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
