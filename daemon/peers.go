package daemon

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// peerTable holds the other instances that accept new work, by region.
type peerTable struct {
	mu       sync.RWMutex
	byRegion map[string][]listing.Instance
	next     atomic.Uint32
}

func (t *peerTable) replace(instances []listing.Instance) {
	byRegion := make(map[string][]listing.Instance)
	for _, i := range instances {
		byRegion[i.Region] = append(byRegion[i.Region], i)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRegion = byRegion
}

// pickRoundRobin returns the next instance of region in round-robin order, or the
// zero Instance if there is none.
func (t *peerTable) pickRoundRobin(region string) listing.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	instances := t.byRegion[region]
	if len(instances) == 0 {
		return listing.Instance{}
	}
	return instances[int(t.next.Add(1))%len(instances)]
}

// Peer implements dispatch.Peers.
func (t *peerTable) Peer(region string) string {
	return t.pickRoundRobin(region).PeerAddr
}

// URL returns the caller URL of an instance in region, or "" if there is none.
func (t *peerTable) URL(region string) string {
	return t.pickRoundRobin(region).URL
}

// Reachable implements routing.Regions.
func (t *peerTable) Reachable() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	regions := make([]string, 0, len(t.byRegion))
	for region := range t.byRegion {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return regions
}

// idsInRegion returns the ids of the other instances of region.
func (t *peerTable) idsInRegion(region string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ids := make([]string, 0, len(t.byRegion[region])+1)
	for _, i := range t.byRegion[region] {
		ids = append(ids, i.ID)
	}
	return ids
}

// identityAt returns the identity of the instance whose PeerAddr is addr, and
// whether there is one.
func (t *peerTable) identityAt(addr string) (peer.Identity, bool) {
	for _, i := range t.all() {
		if i.PeerAddr == addr {
			return identityOf(i), true
		}
	}
	return peer.Identity{}, false
}

func (t *peerTable) all() []listing.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var all []listing.Instance
	for _, instances := range t.byRegion {
		all = append(all, instances...)
	}
	return all
}
