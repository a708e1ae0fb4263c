package workload

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// BlockTokens is the number of tokens that a prefix digest covers.
const BlockTokens = 64

// maxPrefixBlocks bounds the digests of one prompt, as the gateway does.
const maxPrefixBlocks = 32

// Shares of the kinds of requests.
const (
	urgentPart = 0.75 // of the requests to the model service
	homePart   = 0.22 // of the requests to the model service, bound to their region
	plainPart  = 0.15 // of all requests
	oncePart   = 0.3  // of the requests to the plain service, not repeatable
)

// length describes prompts and answers of one rank, in tokens.
type length struct {
	shared    int // leading part that a caller's requests share
	unique    int // mean of the rest of the prompt
	output    int // mean of the answer
	templates int // different shared parts of one caller
}

var lengths = [catalog.RankCount]length{
	catalog.Urgent: {shared: 640, unique: 128, output: 80, templates: 2},
	catalog.Batch:  {shared: 1024, unique: 448, output: 600, templates: 2},
}

// plainTokens is the length of a call to a plain service, in steps of its
// server.
const plainTokens = 4

// draw returns a length spread evenly from half to one and a half of the mean.
func draw(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

// prompt sets the size and the prefix digests of a request.
func (g *generator) prompt(a *Arrival, rank catalog.Rank) {
	l := lengths[rank]
	template := g.rng.IntN(l.templates)
	unique := draw(g.rng, l.unique)
	a.PromptTokens = l.shared + unique
	a.OutputTokens = draw(g.rng, l.output)
	sharedBlocks := l.shared / BlockTokens
	blocks := min(a.PromptTokens/BlockTokens, maxPrefixBlocks)
	a.Prefix = make([]uint64, blocks)
	shared := digest(hash(a.Caller), uint64(rank), uint64(template))
	for i := range a.Prefix {
		if i < sharedBlocks {
			a.Prefix[i] = digest(shared, uint64(i))
		} else {
			a.Prefix[i] = digest(g.seed, uint64(a.Number), uint64(i))
		}
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// digest mixes numbers into one by the finalizer of SplitMix64.
func digest(parts ...uint64) uint64 {
	var h uint64
	for _, p := range parts {
		h += p + 0x9e3779b97f4a7c15
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}
