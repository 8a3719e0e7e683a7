package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt. The parts are in prompt order: a server that
// has processed a part for the same model after the same preceding parts may still
// have it in its KV cache.
type PromptPart struct {
	ID     string
	Tokens int
}

const (
	// cacheTTL is how long a part counts as cached after this instance last sent it.
	cacheTTL = 30 * time.Second
	// maxCacheEntries bounds the memory that entries take, at 48 bytes each.
	maxCacheEntries = 40000
	// maxHolders is the number of servers that a prompt's own cache names at most.
	maxHolders = 3
	// inlineKeys is the number of prompt parts whose keys need no allocation.
	inlineKeys = 8
)

// promptKeys holds a key for each part of a prompt, which also covers the model and all
// preceding parts.
type promptKeys struct {
	keys   []uint64
	inline [inlineKeys]uint64
	tokens int
}

// newPromptKeys returns the keys of a query's prompt.
func newPromptKeys(q *Query) (p promptKeys) {
	p.tokens = tokens(q.PromptParts)
	p.keys = p.inline[:0]
	if len(q.PromptParts) > inlineKeys {
		p.keys = make([]uint64, 0, len(q.PromptParts))
	}
	key := xxhash.Sum64String(q.Model)
	for _, part := range q.PromptParts {
		key = mix(key ^ xxhash.Sum64String(part.ID))
		p.keys = append(p.keys, key)
	}
	return p
}

// prefixCache records which server has processed which prompt prefix for which
// model, by the time of the last use.
type prefixCache struct {
	mu       sync.RWMutex
	lastUsed map[uint64]time.Time
	// holders names the server that last processed a prefix.
	holders map[uint64]holder
}

type holder struct {
	server uint64
	usedAt time.Time
}

func newPrefixCache() *prefixCache {
	return &prefixCache{lastUsed: map[uint64]time.Time{}, holders: map[uint64]holder{}}
}

// appendCachedTokens appends for each server how many leading tokens of the prompt it
// probably has cached.
func (c *prefixCache) appendCachedTokens(counts []int, servers []*entry, prompt *promptKeys, parts []PromptPart, now time.Time) []int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, e := range servers {
		tokens := 0
		for i, key := range prompt.keys {
			usedAt, ok := c.lastUsed[mix(key^e.hash)]
			if !ok || now.Sub(usedAt) >= cacheTTL {
				break
			}
			tokens += parts[i].Tokens
		}
		counts = append(counts, tokens)
	}
	return counts
}

// appendHolders appends the servers that last processed the prompt's prefixes, the
// longest first, up to maxHolders.
func (c *prefixCache) appendHolders(list []*entry, prompt *promptKeys, p *pool) []*entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	added := 0
	for i := len(prompt.keys) - 1; i >= 0 && added < maxHolders; i-- {
		h, ok := c.holders[prompt.keys[i]]
		if !ok {
			continue
		}
		if e := p.byHash[h.server]; e != nil && !slices.Contains(list, e) {
			list = append(list, e)
			added++
		}
	}
	return list
}

// store records that the server is processing the prompt. A full cache first drops
// expired entries, then all.
func (c *prefixCache) store(e *entry, prompt *promptKeys, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lastUsed) > maxCacheEntries {
		c.dropExpired(now)
	}
	for _, key := range prompt.keys {
		c.lastUsed[mix(key^e.hash)] = now
		c.holders[key] = holder{e.hash, now}
	}
}

// dropExpired makes room in a full cache.
func (c *prefixCache) dropExpired(now time.Time) {
	for key, usedAt := range c.lastUsed {
		if now.Sub(usedAt) >= cacheTTL {
			delete(c.lastUsed, key)
		}
	}
	for key, h := range c.holders {
		if now.Sub(h.usedAt) >= cacheTTL {
			delete(c.holders, key)
		}
	}
	if len(c.lastUsed) > maxCacheEntries {
		clear(c.lastUsed)
		clear(c.holders)
	}
}
