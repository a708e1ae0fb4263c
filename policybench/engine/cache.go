package engine

import "container/list"

// cache holds the KV blocks of prompt prefixes. Blocks that a sequence uses
// are pinned. The others can be evicted, least recently used first.
type cache struct {
	blocks map[uint64]*block
	idle   *list.List // unpinned *block values, most recently used first
}

type block struct {
	digest    uint64
	pins      int
	idleEntry *list.Element // in idle, or nil while pinned
}

func newCache() *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New()}
}

// prefixHits returns the number of leading blocks of prefix that are cached.
func (c *cache) prefixHits(prefix []uint64) int {
	for i, digest := range prefix {
		if c.blocks[digest] == nil {
			return i
		}
	}
	return len(prefix)
}

// pin adds the block if it is not cached, and protects it from eviction until
// each pin is removed by unpin.
func (c *cache) pin(digest uint64) {
	b := c.blocks[digest]
	if b == nil {
		b = &block{digest: digest}
		c.blocks[digest] = b
	}
	if b.idleEntry != nil {
		c.idle.Remove(b.idleEntry)
		b.idleEntry = nil
	}
	b.pins++
}

// unpin removes one pin from each block of a prefix. It starts with the last
// block, so that this is evicted first: a block can only be used together with
// all blocks before it.
func (c *cache) unpin(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		b := c.blocks[prefix[i]]
		b.pins--
		if b.pins == 0 {
			b.idleEntry = c.idle.PushFront(b)
		}
	}
}

// evict removes the least recently used unpinned block and reports whether there
// was one.
func (c *cache) evict() bool {
	oldest := c.idle.Back()
	if oldest == nil {
		return false
	}
	b := c.idle.Remove(oldest).(*block)
	delete(c.blocks, b.digest)
	return true
}
