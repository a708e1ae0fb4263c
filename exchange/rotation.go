package exchange

import "math/rand/v2"

// rotation picks the least recently picked candidate, and a random one among
// those never picked. This bounds the time between two picks of the same
// candidate by the number of candidates; with random picks some candidates
// would wait several times as long. It is not safe for concurrent use.
type rotation struct {
	picks    uint64
	lastPick map[string]uint64 // by name: the value of picks after its last pick
}

// pick returns the index of the picked name, or -1 if names is empty.
func (r *rotation) pick(random *rand.Rand, names []string) int {
	if len(names) == 0 {
		return -1
	}
	best, ties := 0, 1
	for i := 1; i < len(names); i++ {
		switch last, oldest := r.lastPick[names[i]], r.lastPick[names[best]]; {
		case last < oldest:
			best, ties = i, 1
		case last == oldest:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	r.record(names, best)
	return best
}

// record stores a pick and removes names that are no longer candidates.
func (r *rotation) record(names []string, index int) {
	r.picks++
	kept := make(map[string]uint64, len(names))
	for _, name := range names {
		if last, ok := r.lastPick[name]; ok {
			kept[name] = last
		}
	}
	kept[names[index]] = r.picks
	r.lastPick = kept
}
