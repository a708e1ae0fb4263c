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

// Fractions of requests by kind.
const (
	urgentFraction        = 0.75 // of the requests to the model service
	homeFraction          = 0.22 // of the requests to the model service, must run in the region of their caller
	plainFraction         = 0.15 // of all requests
	nonRepeatableFraction = 0.3  // of the requests to the plain service
)

// requestSize describes the prompts and outputs of one rank. Sizes are in tokens.
type requestSize struct {
	sharedPrefix int // prefix that the requests of a caller with the same template share
	meanUnique   int // mean length of the rest of the prompt
	meanOutput   int // mean length of the output
	templates    int // number of different shared prefixes of one caller
}

var requestSizes = [catalog.RankCount]requestSize{
	catalog.Urgent: {sharedPrefix: 640, meanUnique: 128, meanOutput: 80, templates: 2},
	catalog.Batch:  {sharedPrefix: 1024, meanUnique: 448, meanOutput: 600, templates: 2},
}

// plainOutputTokens is the number of output tokens, and so of engine steps, that
// model a request to a plain service.
const plainOutputTokens = 4

// drawLength returns a random length, at least 1, uniformly distributed between
// 0.5 and 1.5 times the mean.
func drawLength(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

// setPrompt sets the prompt and output lengths and the prefix digests of a
// request.
func (g *generator) setPrompt(a *Arrival, rank catalog.Rank) {
	size := requestSizes[rank]
	template := g.rng.IntN(size.templates)
	unique := drawLength(g.rng, size.meanUnique)
	a.PromptTokens = size.sharedPrefix + unique
	a.OutputTokens = drawLength(g.rng, size.meanOutput)
	sharedBlocks := size.sharedPrefix / BlockTokens
	blocks := min(a.PromptTokens/BlockTokens, maxPrefixBlocks)
	a.Prefix = make([]uint64, blocks)
	templateDigest := digest(hash(a.Caller), uint64(rank), uint64(template))
	for i := range a.Prefix {
		if i < sharedBlocks {
			a.Prefix[i] = digest(templateDigest, uint64(i))
		} else {
			a.Prefix[i] = digest(g.seed, uint64(a.Number), uint64(i))
		}
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// digest hashes numbers with the finalizer of SplitMix64.
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
