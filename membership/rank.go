package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Purposes keep the ranks of different uses independent.
const (
	purposeRing   = "ring"
	purposeBridge = "bridge"
)

// score ranks an instance for a purpose.
func score(purpose, id string) uint64 { return xxhash.Sum64String(purpose + "\x00" + id) }

// Top returns the n ids with the highest rank for a key (rendezvous hashing).
// A change of the members moves only the keys of those that came or went.
func Top(ids []string, key string, n int) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}

// ringOrder orders the members of a region so that neighbors share a zone and
// the order inside a zone is independent of racks and names.
func ringOrder(a, b *record) int {
	return cmp.Or(
		cmp.Compare(a.member.Instance.Zone, b.member.Instance.Zone),
		cmp.Compare(score(purposeRing, a.member.Instance.ID), score(purposeRing, b.member.Instance.ID)),
		cmp.Compare(a.member.Instance.ID, b.member.Instance.ID),
	)
}
