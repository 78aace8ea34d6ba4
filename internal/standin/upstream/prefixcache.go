package upstream

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockBytes is the part of a prompt that is cached as one.
const cacheBlockBytes = 256

// prefixCache remembers the starts of prompts in limited memory and drops the
// least recently used.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

// newPrefixCache returns a cache of the given number of tokens.
func newPrefixCache(tokens int64) *prefixCache {
	capacity := int(tokens * bytesPerToken / cacheBlockBytes)
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many tokens at the start of the text were cached, and
// caches the whole text.
func (c *prefixCache) use(text string) int64 {
	cached, missed := 0, false
	chain := xxhash.New()
	for start := 0; start+cacheBlockBytes <= len(text); start += cacheBlockBytes {
		// The sum covers all blocks up to this one, so equal blocks after
		// different starts are kept apart.
		_, _ = chain.WriteString(text[start : start+cacheBlockBytes]) // never fails
		if !c.touch(chain.Sum64()) {
			missed = true
		}
		if !missed {
			cached += cacheBlockBytes
		}
	}
	return int64(cached / bytesPerToken)
}

// touch marks a block as used and reports whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, found := c.blocks[block]; found {
		c.order.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.order.Len() >= c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	c.blocks[block] = c.order.PushFront(block)
	return false
}

// tokens returns the memory in use.
func (c *prefixCache) tokens() int64 {
	return int64(c.order.Len() * cacheBlockBytes / bytesPerToken)
}
