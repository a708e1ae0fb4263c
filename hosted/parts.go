package hosted

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// partsSeeds is how many seeds a new instance asks at once for the parts of prompts
// that crash servers.
const partsSeeds = 3

// maxPartReports bounds the reports that a seed is asked for, one after the other. It
// is more than the reports that all suspects of an instance take.
const maxPartReports = 64

// fetchParts fetches what the seeds know of parts of prompts that crash servers, so
// that a new instance does not crash servers to find out. It sets partsKnown when the
// first of them has responded, or none does.
func (i *Instance) fetchParts(ctx context.Context) {
	defer i.partsKnown.Store(true)
	seeds := slices.DeleteFunc(slices.Clone(i.settings.Seeds), func(addr string) bool { return addr == i.settings.PeerAddr })
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	var group sync.WaitGroup
	for _, addr := range seeds[:min(len(seeds), partsSeeds)] {
		group.Go(func() {
			if i.fetchPartsFrom(ctx, addr) == nil {
				i.partsKnown.Store(true)
			}
		})
	}
	group.Wait()
}

func (i *Instance) fetchPartsFrom(ctx context.Context, addr string) error {
	version := uint64(0)
	for range maxPartReports {
		var response stateResponse
		query := url.Values{"parts": {strconv.FormatUint(version, 10)}}
		if err := i.queryPeer(ctx, peerQuery{addr, statePath, query, remoteStallTimeout}, &response); err != nil {
			i.log.Debug().Str("event", "parts_failed").Str("peer", addr).Err(err).Msg("")
			return err
		}
		if response.Parts == nil {
			return nil
		}
		i.parts.Merge(time.Now(), response.Parts)
		version = response.Parts.Version
	}
	return nil
}
