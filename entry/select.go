package entry

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Limits of a list of instances.
const (
	maxInstances       = 8
	responseTTLSeconds = 5
	ttlJitterSeconds   = 1 // the TTL is up to this much shorter or longer
)

// MaxTTL is the longest time for which a caller uses a list of instances. A
// draining instance continues to serve for longer than this, so that no caller
// is sent to a closed listener.
const MaxTTL = (responseTTLSeconds + ttlJitterSeconds) * time.Second

// Loads that change the order of instances, as fractions of their capacity.
const (
	overloadEnterLoad = 0.85 // from this load an instance is ordered after all others of its region
	overloadExitLoad  = 0.65 // below this load it is ordered as before
	minLoadDifference = 0.15 // by which the second candidate must be less loaded to go first
)

// Selector selects and orders instances for callers. It is safe for concurrent
// use.
type Selector struct {
	// Load returns the fraction of an instance's capacity in use, and whether
	// it is known; nil means that no load is known.
	Load func(id string) (float64, bool)
	// Random returns a number in [0,1); nil means rand.Float64.
	Random func() float64

	mu         sync.Mutex
	overloaded map[string]bool
}

// candidate is an instance with the values that determine its position in the
// list.
type candidate struct {
	Instance
	class     int    // lower classes first
	hash      uint64 // order within a class
	load      float64
	loadKnown bool
}

// Classes of instances, in the order of the list.
const (
	sameZone = iota
	sameRegion
	overloadedSameRegion
	otherRegion
	overloadedOtherRegion
)

// Select orders instances for a caller: those of its zone first, then those of
// its region, then the rest. Overloaded instances come last among those of its
// region, and last among the rest. Within a class a hash of caller and instance
// determines the order, so that callers are distributed and the order of the
// remaining instances does not change for a caller when an instance is added or
// removed. If the first two candidates are of one class, the clearly less
// loaded one comes first. At most maxInstances are returned.
func (s *Selector) Select(instances []Instance, q Query) Response {
	candidates := make([]candidate, 0, len(instances))
	s.mu.Lock()
	for _, i := range instances {
		if q.Permits == nil || q.Permits(i.Region) {
			candidates = append(candidates, s.classify(i, q))
		}
	}
	s.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	preferLessLoaded(candidates)
	response := Response{Instances: []Instance{}, TTLSeconds: s.ttl()}
	for _, c := range candidates[:min(len(candidates), maxInstances)] {
		response.Instances = append(response.Instances, c.Instance)
	}
	return response
}

// classify returns the candidate for one instance. s.mu must be held.
func (s *Selector) classify(i Instance, q Query) candidate {
	c := candidate{Instance: i, hash: rendezvousHash(q.Caller, i.ID)}
	if s.Load != nil {
		c.load, c.loadKnown = s.Load(i.ID)
	}
	overloaded := s.updateOverloaded(&c)
	switch {
	case i.Region != q.Region && overloaded:
		c.class = overloadedOtherRegion
	case i.Region != q.Region:
		c.class = otherRegion
	case overloaded:
		c.class = overloadedSameRegion
	case i.Zone == q.Zone:
		c.class = sameZone
	default:
		c.class = sameRegion
	}
	return c
}

// updateOverloaded marks an instance as overloaded or not, and reports which.
// The hysteresis between overloadEnterLoad and overloadExitLoad prevents
// callers from alternating between instances at a steady load. s.mu must be
// held.
func (s *Selector) updateOverloaded(c *candidate) bool {
	overloaded := c.loadKnown && (c.load >= overloadEnterLoad || c.load >= overloadExitLoad && s.overloaded[c.ID])
	if overloaded == s.overloaded[c.ID] {
		return overloaded
	}
	if s.overloaded == nil {
		s.overloaded = make(map[string]bool)
	}
	if overloaded {
		s.overloaded[c.ID] = true
	} else {
		delete(s.overloaded, c.ID)
	}
	return overloaded
}

// preferLessLoaded swaps the first two candidates if they are of one class and
// the second one is clearly less loaded. Choosing among two does not send all
// callers to the least loaded instance, as choosing among all would: reported
// loads lag behind the actual ones.
func preferLessLoaded(candidates []candidate) {
	if len(candidates) < 2 {
		return
	}
	first, second := &candidates[0], &candidates[1]
	if first.class == second.class && first.loadKnown && second.loadKnown && first.load > second.load+minLoadDifference {
		*first, *second = *second, *first
	}
}

// ttl returns the TTL of a list of instances in seconds. It is jittered, since
// callers that started together would otherwise query together.
func (s *Selector) ttl() int {
	random := rand.Float64
	if s.Random != nil {
		random = s.Random
	}
	return responseTTLSeconds - ttlJitterSeconds + int(random()*(2*ttlJitterSeconds+1))
}

// rendezvousHash returns the weight of an instance for a caller in rendezvous
// hashing; the lowest comes first.
func rendezvousHash(caller, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. FNV leaves the last bytes of its
// input mainly in the low bits; mix distributes them over all bits.
func mix(x uint64) uint64 {
	const (
		factor1 = 0xff51afd7ed558ccd
		factor2 = 0xc4ceb9fe1a85ec53
		shift   = 33
	)
	x = (x ^ x>>shift) * factor1
	x = (x ^ x>>shift) * factor2
	return x ^ x>>shift
}
