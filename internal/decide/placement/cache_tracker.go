package placement

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// cacheTTL is how long a prompt part is assumed to stay in an upstream's
	// prefix cache after its last use.
	cacheTTL = 30 * time.Second
	// maxCacheEntries bounds the tracked parts.
	maxCacheEntries = 8192
)

// cacheKey identifies a prompt part at an upstream.
type cacheKey struct {
	upstream core.UpstreamID
	part     string
}

// cacheTracker estimates what the upstreams' prefix caches hold, from the
// prompt parts that this host sent to each upstream.
type cacheTracker struct {
	lastUsed map[cacheKey]time.Time
}

func newCacheTracker() *cacheTracker { return &cacheTracker{lastUsed: make(map[cacheKey]time.Time)} }

// recordSent records the parts of a prompt that was sent to an upstream.
func (c *cacheTracker) recordSent(id core.UpstreamID, prompt *gateway.Prompt, now time.Time) {
	if len(c.lastUsed) > maxCacheEntries {
		c.evict(now)
	}
	for _, part := range prompt.Parts {
		c.lastUsed[cacheKey{id, part.ID}] = now
	}
}

// evict removes expired entries, and all entries if that is not enough.
func (c *cacheTracker) evict(now time.Time) {
	for key, at := range c.lastUsed {
		if now.Sub(at) > cacheTTL {
			delete(c.lastUsed, key)
		}
	}
	if len(c.lastUsed) > maxCacheEntries {
		clear(c.lastUsed)
	}
}

// cachedTokens returns the number of tokens at the start of a prompt that an
// upstream is assumed to have cached.
func (c *cacheTracker) cachedTokens(id core.UpstreamID, prompt *gateway.Prompt, now time.Time) core.Tokens {
	var tokens core.Tokens
	for _, part := range prompt.Parts {
		at, found := c.lastUsed[cacheKey{id, part.ID}]
		if !found || now.Sub(at) > cacheTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// forget removes all entries of an upstream.
func (c *cacheTracker) forget(id core.UpstreamID) {
	for key := range c.lastUsed {
		if key.upstream == id {
			delete(c.lastUsed, key)
		}
	}
}
