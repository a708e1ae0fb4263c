package routing

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
)

const (
	// minFetchTokens is the minimum number of prompt tokens that are fetched: about
	// as many as a server computes while a transfer is being set up.
	minFetchTokens = 512
	// fetchSetup is the time until a transfer begins: a few iterations of the
	// engine's batch loop.
	fetchSetup = 10 * time.Millisecond
	// remotePrefixTTL is how long a prefix is assumed to stay cached in another
	// region after its last use there.
	remotePrefixTTL = 10 * time.Second
)

// RemoteCaches records which servers of other regions have computed a prefix
// recently. Requests are not routed to these servers, but servers of this region
// may fetch from their caches. Its methods are safe for concurrent use.
type RemoteCaches struct {
	prefix *PrefixIndex

	mu       sync.RWMutex
	servers  map[uint64]*backend.Server
	versions map[serverVersion]bool // of servers
}

// serverVersion is a version of servers of a service in a region.
type serverVersion struct {
	region, service string
	version         origin.Version
}

// NewRemoteCaches returns a RemoteCaches without servers. Placements take effect
// once Replace has listed their servers.
func NewRemoteCaches() *RemoteCaches {
	prefix := NewPrefixIndex(0)
	prefix.ttl = remotePrefixTTL
	return &RemoteCaches{prefix: prefix}
}

// Replace sets the list of live servers of other regions.
func (c *RemoteCaches) Replace(infos []backend.Info) {
	servers := make(map[uint64]*backend.Server, len(infos))
	versions := make(map[serverVersion]bool)
	for _, info := range infos {
		server := backend.NewServer(info)
		servers[server.Key] = server
		versions[serverVersion{server.Region, server.Service, server.Origin()}] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers, c.versions = servers, versions
}

// HasVersion reports whether a live server of a service in another region has a version.
func (c *RemoteCaches) HasVersion(region, service string, version origin.Version) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.versions[serverVersion{region, service, version}]
}

// MergePlacements records placements reported by an instance of another region.
func (c *RemoteCaches) MergePlacements(at time.Time, list []Placement) {
	c.prefix.MergePlacements(at, list)
}

// mostCached returns the server with the longest cached part of the prompt's shared
// blocks and the number of tokens, if there are at least minTokens. It skips
// servers outside of the work's homes, because the work is not cached there.
func (c *RemoteCaches) mostCached(now time.Time, req *Request, minTokens int) (*backend.Server, int) {
	var space [maxMatches]match
	for _, m := range c.prefix.match(now, req.Prefix[:min(req.SharedBlocks, len(req.Prefix))], space[:0]) {
		tokens := cachedTokens(req, m.blocks)
		if tokens < minTokens {
			continue
		}
		if server := c.server(m.server); server != nil && server.Service == req.Service.Name && req.Work.MayRunIn(server.Region) {
			return server, tokens
		}
	}
	return nil, 0
}

func (c *RemoteCaches) server(key uint64) *backend.Server {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.servers[key]
}

// fetchSource returns the server with the longest cached part of the prompt, in
// this or another region, and the number of cached tokens. A server of another
// region must have at least minFetchTokens more than the best candidate.
func (r *Router) fetchSource(req *Request, candidates []Candidate) (server *backend.Server, mostTokens int) {
	for i := range candidates {
		if c := &candidates[i]; c.CachedTokens > mostTokens {
			server, mostTokens = c.Server, c.CachedTokens
		}
	}
	if r.Remote == nil || req.Service.TransferRate <= 0 {
		return server, mostTokens
	}
	if remote, tokens := r.Remote.mostCached(req.scratch.now, req, mostTokens+minFetchTokens); remote != nil {
		return remote, tokens
	}
	return server, mostTokens
}

// planFetch makes a candidate fetch its missing tokens from source if that pays
// off. It does only if at least as many prompt tokens are pending on the candidate:
// on a server without pending prompts, computing the tokens again costs no more
// than the transfer.
func (c *Candidate) planFetch(req *Request, source *backend.Server, sourceTokens int) {
	missing := sourceTokens - c.CachedTokens
	if req.Service.TransferRate <= 0 || c.Server == source || missing < minFetchTokens {
		return
	}
	if c.Server.PendingPrefill(catalog.Batch) < missing {
		return
	}
	c.CachedTokens, c.FetchFrom = sourceTokens, source
	c.fetchTime = fetchSetup + prefillTime(missing, req.Service.TransferRate)
}
