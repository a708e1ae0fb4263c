package routing

import (
	"sync"
	"time"
)

// BlockTokens is the number of prompt tokens that one prefix digest covers.
const BlockTokens = 64

// Bounds of a PrefixIndex.
const (
	prefixShards       = 64
	DefaultPrefixLimit = 1 << 15 // digests
	serversPerDigest   = 4
	evictionTries      = 4 // entries looked at to find an old one
)

// prefixLife is how long a server is believed to hold a prefix that nobody
// has asked for.
const prefixLife = 10 * time.Minute

// depths are the numbers of leading blocks at which a prompt is looked up and
// dispatches are recorded. A longer prefix is rarely shared up to an exact
// block, and each depth takes memory and time.
var depths = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32}

// PrefixIndex tells which servers may have the prefix of a prompt in their
// cache. It is fed by this instance's own dispatches and by the cache events
// of the engines. Both are hints: events come late and with gaps, and a wrong
// hint costs a prefill, never a wrong answer. Its memory is bounded; it is safe
// for concurrent use.
type PrefixIndex struct {
	limit  int           // digests in one shard
	life   time.Duration // of a digest that nobody asks for
	shards [prefixShards]prefixShard
	own    placements
}

type prefixShard struct {
	mu      sync.Mutex
	entries map[uint64]prefixEntry
	cleared map[uint64]int64 // by server: events before this time are void
}

// prefixEntry holds the servers that may have one prefix cached, most recently
// used first.
type prefixEntry struct {
	servers [serversPerDigest]uint64
	used    [serversPerDigest]int64 // nanoseconds
}

// match is a server that may have leading blocks of a prompt cached.
type match struct {
	server uint64
	blocks int
}

// NewPrefixIndex returns an index of at most limit digests; 0 stands for
// DefaultPrefixLimit.
func NewPrefixIndex(limit int) *PrefixIndex {
	if limit <= 0 {
		limit = DefaultPrefixLimit
	}
	x := &PrefixIndex{limit: max(1, limit/prefixShards), life: prefixLife}
	for i := range x.shards {
		x.shards[i].entries = make(map[uint64]prefixEntry)
		x.shards[i].cleared = make(map[uint64]int64)
	}
	return x
}

func (x *PrefixIndex) shard(digest uint64) *prefixShard { return &x.shards[digest%prefixShards] }

// Add records that a server has computed a prompt with these prefix digests,
// or that an event of its cache said so.
func (x *PrefixIndex) Add(at time.Time, server uint64, prefix []uint64) {
	for _, digest := range prefix {
		x.shard(digest).add(digest, server, at.UnixNano(), x.limit)
	}
}

// addPrompt records a dispatch at the depths that are looked up, and for other
// instances those of its first blocks that are told.
func (x *PrefixIndex) addPrompt(at time.Time, server uint64, prefix, told []uint64) {
	x.own.add(at, server, told)
	for _, depth := range depths {
		if depth > len(prefix) {
			return
		}
		digest := prefix[depth-1]
		x.shard(digest).add(digest, server, at.UnixNano(), x.limit)
	}
}

// Remove records an event of a server's cache: the digests were evicted at the
// given time. What this instance has sent there since stays.
func (x *PrefixIndex) Remove(at time.Time, server uint64, prefix []uint64) {
	for _, digest := range prefix {
		x.shard(digest).remove(digest, server, at.UnixNano())
	}
}

// Clear records that a server's cache was empty at the given time: it has
// restarted, or so many of its events were lost that the rest is worthless.
func (x *PrefixIndex) Clear(at time.Time, server uint64) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		s.cleared[server] = max(s.cleared[server], at.UnixNano())
		s.mu.Unlock()
	}
}

// Forget drops the marks of servers that are no longer listed.
func (x *PrefixIndex) Forget(listed func(server uint64) bool) {
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

// Len returns the number of digests.
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

func (s *prefixShard) add(digest, server uint64, at int64, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[digest]
	if !known && len(s.entries) >= limit {
		s.evict()
	}
	entry.add(server, at)
	s.entries[digest] = entry
}

func (s *prefixShard) remove(digest, server uint64, at int64) {
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

// evict deletes the least recently used of a few entries. Map iteration
// begins at a random entry.
func (s *prefixShard) evict() {
	var oldest uint64
	var oldestAt int64
	tries := 0
	for digest, entry := range s.entries {
		if last := entry.lastUsed(); tries == 0 || last < oldestAt {
			oldest, oldestAt = digest, last
		}
		if tries++; tries == evictionTries {
			break
		}
	}
	delete(s.entries, oldest)
}

func (e *prefixEntry) lastUsed() int64 {
	last := e.used[0]
	for _, at := range e.used[1:] {
		last = max(last, at)
	}
	return last
}

// add replaces the server's own slot or the least recently used one.
func (e *prefixEntry) add(server uint64, at int64) {
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

// match appends the servers that may hold the longest known prefix. Digests
// are cumulative, so that the longest known one is found by bisection.
func (x *PrefixIndex) match(now time.Time, prefix []uint64, to []match) []match {
	low, high := 0, len(depths) // the longest match is at one of the first low to high depths
	for low < high {
		middle := (low + high + 1) / 2
		if x.known(now, prefix, depths[middle-1], nil) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low > 0 {
		x.known(now, prefix, depths[low-1], &to)
	}
	return to
}

// known reports whether a server may hold the first blocks of a prompt, and
// appends those that may.
func (x *PrefixIndex) known(now time.Time, prefix []uint64, blocks int, to *[]match) bool {
	if blocks > len(prefix) {
		return false
	}
	digest := prefix[blocks-1]
	return x.shard(digest).live(now, x.life, digest, blocks, to)
}

// live reports whether a server may hold the digest, and appends those that
// may.
func (s *prefixShard) live(now time.Time, life time.Duration, digest uint64, blocks int, to *[]match) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[digest]
	if !known {
		return false
	}
	oldest := now.Add(-life).UnixNano()
	found := false
	for i, server := range entry.servers {
		if entry.used[i] <= max(oldest, s.cleared[server]) || entry.used[i] == 0 {
			continue
		}
		found = true
		if to != nil {
			*to = append(*to, match{server: server, blocks: blocks})
		}
	}
	return found
}
