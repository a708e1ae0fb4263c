package routing

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// BlockTokens is the number of prompt tokens that one prefix digest covers.
const BlockTokens = 64

// Bounds of a PrefixIndex.
const (
	prefixShards       = 64
	DefaultPrefixLimit = 1 << 15 // digests
	serversPerDigest   = 4
	evictionSamples    = 4 // entries sampled to find an old one
)

// prefixTTL is how long a prefix is assumed to stay in a server's cache without
// being used.
const prefixTTL = 10 * time.Minute

// depths are the numbers of leading blocks at which prompts are looked up and
// dispatches are recorded. Not every number is used, as longer prefixes are rarely
// shared up to an exact block and each depth costs memory and time.
var depths = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32}

// PrefixIndex records which servers may have the prefix of a prompt in their
// cache. Its sources are the dispatches of this instance, placements reported by
// other instances and cache events of the engines. All of them are hints: events
// arrive late and with gaps. A wrong hint costs a prefill but never affects the
// response. Its memory is bounded; it is safe for concurrent use.
type PrefixIndex struct {
	limit         int           // maximum number of digests in one shard
	ttl           time.Duration // time after its last use at which a digest expires
	shards        [prefixShards]prefixShard
	ownPlacements placements
}

type prefixShard struct {
	mu      sync.Mutex
	entries map[uint64]prefixEntry
	cleared map[uint64]monotonic.Time // by server: entries up to this time are ignored
}

// prefixEntry holds the servers that may have one prefix cached, in no particular
// order. Key 0 marks an unused slot.
type prefixEntry struct {
	servers [serversPerDigest]uint64
	used    [serversPerDigest]monotonic.Time // time of the last use; 0: unused slot
}

// match is a server that may have leading blocks of a prompt cached.
type match struct {
	server uint64
	blocks int
}

// NewPrefixIndex returns an index of at most limit digests, but at least one per
// shard; 0 stands for DefaultPrefixLimit.
func NewPrefixIndex(limit int) *PrefixIndex {
	if limit <= 0 {
		limit = DefaultPrefixLimit
	}
	x := &PrefixIndex{limit: max(1, limit/prefixShards), ttl: prefixTTL}
	for i := range x.shards {
		x.shards[i].entries = make(map[uint64]prefixEntry)
		x.shards[i].cleared = make(map[uint64]monotonic.Time)
	}
	return x
}

func (x *PrefixIndex) shard(digest uint64) *prefixShard { return &x.shards[digest%prefixShards] }

// Add records that a server has cached the prefixes with these digests.
func (x *PrefixIndex) Add(at time.Time, server uint64, prefix []uint64) {
	for _, digest := range prefix {
		x.shard(digest).add(digest, server, monotonic.Of(at), x.limit)
	}
}

// addPrompt records a dispatch at the depths that are looked up. It adds the
// digests in published to the placements for other instances.
func (x *PrefixIndex) addPrompt(at time.Time, server uint64, prefix, published []uint64) {
	x.ownPlacements.add(at, server, published)
	for _, depth := range depths {
		if depth > len(prefix) {
			return
		}
		digest := prefix[depth-1]
		x.shard(digest).add(digest, server, monotonic.Of(at), x.limit)
	}
}

// Remove records that a server's cache evicted the digests at the given time.
// Digests that were used on the server after that time are kept.
func (x *PrefixIndex) Remove(at time.Time, server uint64, prefix []uint64) {
	for _, digest := range prefix {
		x.shard(digest).remove(digest, server, monotonic.Of(at))
	}
}

// Clear records that a server's cache was empty at the given time: the server has
// restarted, or so many of its cache events were lost that its entries are
// useless.
func (x *PrefixIndex) Clear(at time.Time, server uint64) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		s.cleared[server] = max(s.cleared[server], monotonic.Of(at))
		s.mu.Unlock()
	}
}

// PruneCleared deletes the records of Clear for servers that are no longer listed.
func (x *PrefixIndex) PruneCleared(listed func(server uint64) bool) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for server := range s.cleared {
			if !listed(server) {
				delete(s.cleared, server)
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of digests in the index, expired ones included.
func (x *PrefixIndex) Len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

func (s *prefixShard) add(digest, server uint64, at monotonic.Time, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[digest]
	if !known && len(s.entries) >= limit {
		s.evict()
	}
	entry.add(server, at)
	s.entries[digest] = entry
}

func (s *prefixShard) remove(digest, server uint64, at monotonic.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[digest]
	if !known {
		return
	}
	for i, key := range entry.servers {
		if key == server && entry.used[i] <= at {
			entry.servers[i], entry.used[i] = 0, 0
		}
	}
	if entry == (prefixEntry{}) {
		delete(s.entries, digest)
		return
	}
	s.entries[digest] = entry
}

// evict deletes the least recently used of a few sampled entries. The sample is
// random because map iteration begins at a random entry.
func (s *prefixShard) evict() {
	var oldest uint64
	var oldestAt monotonic.Time
	sampled := 0
	for digest, entry := range s.entries {
		if last := entry.lastUsed(); sampled == 0 || last < oldestAt {
			oldest, oldestAt = digest, last
		}
		if sampled++; sampled == evictionSamples {
			break
		}
	}
	delete(s.entries, oldest)
}

func (e *prefixEntry) lastUsed() monotonic.Time {
	last := e.used[0]
	for _, at := range e.used[1:] {
		last = max(last, at)
	}
	return last
}

// add updates the slot of the server, or replaces the least recently used slot if
// the server has none.
func (e *prefixEntry) add(server uint64, at monotonic.Time) {
	slot := 0
	for i, key := range e.servers {
		if key == server {
			slot = i
			break
		}
		if e.used[i] < e.used[slot] {
			slot = i
		}
	}
	if e.servers[slot] == server {
		at = max(at, e.used[slot])
	}
	e.servers[slot], e.used[slot] = server, at
}

// match appends the servers that may have the longest known prefix cached. Each
// digest covers all blocks up to its own, so that the longest known prefix can be
// found by binary search.
func (x *PrefixIndex) match(now time.Time, prefix []uint64, dst []match) []match {
	low, high := 0, len(depths) // the number of matching depths is between low and high
	for low < high {
		middle := (low + high + 1) / 2
		if x.appendHolders(now, prefix, depths[middle-1], nil) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low > 0 {
		x.appendHolders(now, prefix, depths[low-1], &dst)
	}
	return dst
}

// appendHolders reports whether any server may have the first blocks of a prompt
// cached. If dst is not nil, it appends these servers.
func (x *PrefixIndex) appendHolders(now time.Time, prefix []uint64, blocks int, dst *[]match) bool {
	if blocks > len(prefix) {
		return false
	}
	digest := prefix[blocks-1]
	return x.shard(digest).appendHolders(now, x.ttl, digest, blocks, dst)
}

// appendHolders reports whether any server may have the digest cached. If dst is
// not nil, it appends these servers.
func (s *prefixShard) appendHolders(now time.Time, ttl time.Duration, digest uint64, blocks int, dst *[]match) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[digest]
	if !known {
		return false
	}
	oldest := monotonic.Of(now.Add(-ttl))
	found := false
	for i, server := range entry.servers {
		if entry.used[i] <= max(oldest, s.cleared[server]) || entry.used[i] == 0 {
			continue
		}
		found = true
		if dst != nil {
			*dst = append(*dst, match{server: server, blocks: blocks})
		}
	}
	return found
}
