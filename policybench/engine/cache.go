package engine

import "container/list"

// cache holds the KV blocks of prompt prefixes. Blocks that a sequence uses
// are pinned; the others are evicted, least recently used first.
type cache struct {
	blocks map[uint64]*block
	idle   *list.List // of *block without pins, most recently used first
}

type block struct {
	digest uint64
	pins   int
	entry  *list.Element // in idle, or nil while pinned
}

func newCache() *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New()}
}

// hits returns how many leading digests are cached.
func (c *cache) hits(prefix []uint64) int {
	for i, digest := range prefix {
		if c.blocks[digest] == nil {
			return i
		}
	}
	return len(prefix)
}

// pin adds the block if it is missing and protects it from eviction.
func (c *cache) pin(digest uint64) {
	b := c.blocks[digest]
	if b == nil {
		b = &block{digest: digest}
		c.blocks[digest] = b
	}
	if b.entry != nil {
		c.idle.Remove(b.entry)
		b.entry = nil
	}
	b.pins++
}

// unpin releases the pins of a chain of blocks. The last block is released
// first and so evicted first, as a block is useless without those before it.
func (c *cache) unpin(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		b := c.blocks[prefix[i]]
		b.pins--
		if b.pins == 0 {
			b.entry = c.idle.PushFront(b)
		}
	}
}

// evict drops the least recently used idle block and reports whether there
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
