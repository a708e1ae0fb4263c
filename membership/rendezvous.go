package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keys for the hash order of instances. Each use has a key of its own, so that the
// orders are independent of each other.
const (
	purposeRing   = "ring"
	purposeBridge = "bridge"
)

// score returns the hash that orders an instance among others for a key.
func score(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// Rendezvous returns the n ids with the highest score for a key (rendezvous
// hashing). When an id is added or removed, only the keys assigned to that id
// move.
func Rendezvous(ids []string, key string, n int) []string {
	byScore := slices.Clone(ids)
	slices.SortFunc(byScore, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return byScore[:min(n, len(byScore))]
}

// compareRingPosition orders the members of a region in a ring. Members of a zone
// are adjacent, so that neighbors mostly share a zone; inside a zone the order is
// by hash, so that it is independent of racks and names.
func compareRingPosition(a, b *record) int {
	return cmp.Or(
		cmp.Compare(a.member.Instance.Zone, b.member.Instance.Zone),
		cmp.Compare(score(purposeRing, a.member.Instance.ID), score(purposeRing, b.member.Instance.ID)),
		cmp.Compare(a.member.Instance.ID, b.member.Instance.ID),
	)
}
