package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// View is an immutable snapshot of the membership. What its methods return must
// not be modified.
type View struct {
	self     Member
	regions  map[string][]Member // live members of each region, sorted by id, with self
	digests  map[string]uint64   // of the live members of each region
	hash     uint64              // of the digests
	onlySelf bool                // no other instance is known
}

// View returns the current snapshot, without locking.
func (m *StateMachine) View() *View { return m.view.Load() }

// newView returns a view of the current records. m.mu must be held.
func (m *StateMachine) newView() *View {
	v := &View{self: m.self.member, regions: make(map[string][]Member), digests: make(map[string]uint64), onlySelf: true}
	for _, r := range m.records {
		if !r.live() {
			continue
		}
		region := r.member.Instance.Region
		v.regions[region] = append(v.regions[region], r.member)
		v.digests[region] += recordDigest(r)
		v.onlySelf = v.onlySelf && r == m.self
	}
	for region, members := range v.regions {
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
		v.hash += regionDigest(region, v.digests[region])
	}
	return v
}

// recordDigest returns a digest of the id and incarnation of a live record. A
// suspicion does not change it, since suspicions are not sent to other regions.
func recordDigest(r *record) uint64 {
	key := append([]byte(r.member.Instance.ID), 0)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(key, r.incarnation))
}

func regionDigest(region string, digest uint64) uint64 {
	key := append([]byte(region), 0)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(key, digest))
}

// Regions returns, sorted, the regions with a live member.
func (v *View) Regions() []string {
	regions := make([]string, 0, len(v.regions))
	for region := range v.regions {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return regions
}

// Members returns the live members of a region, sorted by id. They include this
// instance and those that take no new work.
func (v *View) Members(region string) []Member { return v.regions[region] }

// Size returns the number of live members of all regions, including this instance
// and those that take no new work.
func (v *View) Size() int {
	size := 0
	for _, members := range v.regions {
		size += len(members)
	}
	return size
}

// ServingPeers returns the live instances of all regions, without this one,
// that take new work.
func (v *View) ServingPeers() []listing.Instance {
	var others []listing.Instance
	for _, region := range v.Regions() {
		for _, member := range v.regions[region] {
			if member.Serving && member.Instance.ID != v.self.Instance.ID {
				others = append(others, member.Instance)
			}
		}
	}
	return others
}

// Bridges returns the instances of a region that exchange messages with other
// regions. Instances with the same members of the region choose the same ones.
func (v *View) Bridges(region string) []listing.Instance {
	members := v.regions[region]
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = member.Instance.ID
	}
	var bridges []listing.Instance
	for _, id := range Rendezvous(ids, purposeBridge, bridgeCount) {
		bridges = append(bridges, members[slices.Index(ids, id)].Instance)
	}
	return bridges
}

// IsBridge reports whether this instance is a bridge of its region.
func (v *View) IsBridge() bool {
	for _, bridge := range v.Bridges(v.self.Instance.Region) {
		if bridge.ID == v.self.Instance.ID {
			return true
		}
	}
	return false
}
