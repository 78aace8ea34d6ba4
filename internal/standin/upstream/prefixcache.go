package upstream

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockBytes is the size of a cached part of a prompt.
const cacheBlockBytes = 256

// prefixCache is an LRU cache of prompt prefixes, in blocks of a fixed size.
type prefixCache struct {
	capacity int
	recency  *list.List
	blocks   map[uint64]*list.Element
}

// newPrefixCache returns a cache with a capacity in tokens.
func newPrefixCache(tokens int64) *prefixCache {
	capacity := int(tokens * bytesPerToken / cacheBlockBytes)
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndInsert returns the number of tokens at the start of the text that
// were cached, and caches all full blocks of the text.
func (c *prefixCache) lookupAndInsert(text string) int64 {
	cached, missed := 0, false
	prefixHash := xxhash.New()
	for start := 0; start+cacheBlockBytes <= len(text); start += cacheBlockBytes {
		// The hash covers all blocks up to this one, which distinguishes equal
		// blocks after different prefixes.
		_, _ = prefixHash.WriteString(text[start : start+cacheBlockBytes]) // never fails
		if !c.touch(prefixHash.Sum64()) {
			missed = true
		}
		if !missed {
			cached += cacheBlockBytes
		}
	}
	return int64(cached / bytesPerToken)
}

// touch marks a block as recently used, inserts it if necessary and reports
// whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, found := c.blocks[block]; found {
		c.recency.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.recency.Len() >= c.capacity {
		oldest := c.recency.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.recency.Remove(oldest)
	}
	c.blocks[block] = c.recency.PushFront(block)
	return false
}

// usedTokens returns the memory in use, in tokens.
func (c *prefixCache) usedTokens() int64 {
	return int64(c.recency.Len() * cacheBlockBytes / bytesPerToken)
}
