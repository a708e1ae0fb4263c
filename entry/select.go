package entry

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of an answer.
const (
	maxInstances     = 8
	answerTTLSeconds = 5
	ttlJitterSeconds = 1 // the time is up to this much shorter or longer
)

// MaxTTL is the longest time for which a caller keeps an answer. A draining
// instance answers for longer than this, so that no caller is sent to a closed
// listener.
const MaxTTL = (answerTTLSeconds + ttlJitterSeconds) * time.Second

// Loads at which the order of instances changes, as parts of their capacity.
const (
	overloadEnter = 0.85 // from here on an instance stands behind all others of the region
	overloadLeave = 0.65 // below here it returns
	loadMargin    = 0.15 // the second choice must be this much less loaded
)

// Selector orders instances for callers. It is safe for concurrent use.
type Selector struct {
	// Load returns the part of an instance's capacity in use, and whether it is
	// known.
	Load func(id string) (float64, bool)
	// Random returns a number in [0,1); nil stands for the shared source.
	Random func() float64

	mu         sync.Mutex
	overloaded map[string]bool
}

// choice is an instance with what its place in the order depends on.
type choice struct {
	Instance
	class int    // lower ones first
	hash  uint64 // decides in a class
	load  float64
	known bool
}

// Classes of instances, in the order of an answer.
const (
	sameZone = iota
	sameRegion
	overloadedHere
	otherRegion
	overloadedElsewhere
)

// Select orders instances for a caller: those of its zone first, then those of
// its region, then the rest. Callers are spread by a hash, so that one caller
// keeps its instances while the others come and go. Of the first two of a class
// the less loaded one goes first, and overloaded ones go last.
func (s *Selector) Select(instances []Instance, q Query) Answer {
	choices := make([]choice, 0, len(instances))
	s.mu.Lock()
	for _, i := range instances {
		if q.Permits == nil || q.Permits(i.Region) {
			choices = append(choices, s.choice(i, q))
		}
	}
	s.mu.Unlock()
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	preferLessLoaded(choices)
	answer := Answer{Instances: []Instance{}, TTLSeconds: s.ttl()}
	for _, c := range choices[:min(len(choices), maxInstances)] {
		answer.Instances = append(answer.Instances, c.Instance)
	}
	return answer
}

// choice rates one instance. s.mu is held.
func (s *Selector) choice(i Instance, q Query) choice {
	c := choice{Instance: i, hash: spread(q.Caller, i.ID)}
	if s.Load != nil {
		c.load, c.known = s.Load(i.ID)
	}
	over := s.overload(&c)
	switch {
	case i.Region != q.Region && over:
		c.class = overloadedElsewhere
	case i.Region != q.Region:
		c.class = otherRegion
	case over:
		c.class = overloadedHere
	case i.Zone == q.Zone:
		c.class = sameZone
	default:
		c.class = sameRegion
	}
	return c
}

// overload reports whether an instance stands back. Hysteresis keeps callers
// from going to and fro at one load. s.mu is held.
func (s *Selector) overload(c *choice) bool {
	over := c.known && (c.load >= overloadEnter || c.load >= overloadLeave && s.overloaded[c.ID])
	if over == s.overloaded[c.ID] {
		return over
	}
	if s.overloaded == nil {
		s.overloaded = make(map[string]bool)
	}
	if over {
		s.overloaded[c.ID] = true
	} else {
		delete(s.overloaded, c.ID)
	}
	return over
}

// preferLessLoaded exchanges the first two if they are of one class and the
// second one is clearly less loaded. A choice of two does not send all callers
// to the least loaded instance, as a choice of all would while its load is told
// late.
func preferLessLoaded(choices []choice) {
	if len(choices) < 2 {
		return
	}
	first, second := &choices[0], &choices[1]
	if first.class == second.class && first.known && second.known && first.load > second.load+loadMargin {
		*first, *second = *second, *first
	}
}

// ttl returns how long an answer holds. It is jittered, since callers that
// started together would ask together.
func (s *Selector) ttl() int {
	random := rand.Float64
	if s.Random != nil {
		random = s.Random
	}
	return answerTTLSeconds - ttlJitterSeconds + int(random()*(2*ttlJitterSeconds+1))
}

// spread is the rendezvous hash of a caller and an instance.
func spread(caller, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the last bytes of the input, which FNV leaves in the low bits.
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
