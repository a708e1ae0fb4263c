package hosted

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// partsSeeds is how many seeds a new instance asks at once for the parts of prompts
// that crash servers.
const partsSeeds = 3

// maxPartReports bounds the reports that a seed is asked for, one after the other. It
// is more than the reports that all suspects of an instance take.
const maxPartReports = 64

// errSeedNotReady is the cause of a response that does not count, as the seed may know
// less than others.
var errSeedNotReady = errors.New("seed is not ready")

// fetchParts fetches what the seeds know of parts of prompts that crash servers, so
// that a new instance does not crash servers to find out. It closes partsKnown when
// the first seed that is ready has responded, or none does.
func (i *Instance) fetchParts(ctx context.Context) {
	known := sync.OnceFunc(func() { close(i.partsKnown) })
	defer known()
	seeds := slices.DeleteFunc(slices.Clone(i.settings.Seeds), func(addr string) bool { return addr == i.settings.PeerAddr })
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	var group sync.WaitGroup
	for _, addr := range seeds[:min(len(seeds), partsSeeds)] {
		group.Go(func() {
			if i.fetchPartsFrom(ctx, addr) == nil {
				known()
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
		if response.Parts == nil && !response.Ready {
			return errSeedNotReady
		}
		if response.Parts == nil {
			return nil
		}
		i.parts.Merge(time.Now(), response.Parts)
		version = response.Parts.Version
	}
	return nil
}
