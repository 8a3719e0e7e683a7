package dispatch

import (
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
)

// prefixCache records which server has processed which prompt prefix for which
// model, by the time of the last use.
type prefixCache struct {
	lastUsed map[uint64]time.Time
}

func newPrefixCache() *prefixCache { return &prefixCache{lastUsed: map[uint64]time.Time{}} }

// prefixKeys returns a key for each part that also covers the server, the model
// and all preceding parts.
func prefixKeys(server, model string, parts []PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(server + "\x00" + model)
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("\x00" + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// cachedTokens returns how many leading tokens of the prompt the server probably
// has cached.
func (c *prefixCache) cachedTokens(server, model string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for i, key := range prefixKeys(server, model, parts) {
		usedAt, ok := c.lastUsed[key]
		if !ok || now.Sub(usedAt) >= cacheTTL {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// store records that the server is processing the prompt. A full cache first drops
// expired entries, then all.
func (c *prefixCache) store(server, model string, parts []PromptPart, now time.Time) {
	if len(c.lastUsed) > maxCacheEntries {
		for key, usedAt := range c.lastUsed {
			if now.Sub(usedAt) >= cacheTTL {
				delete(c.lastUsed, key)
			}
		}
		if len(c.lastUsed) > maxCacheEntries {
			clear(c.lastUsed)
		}
	}
	for _, key := range prefixKeys(server, model, parts) {
		c.lastUsed[key] = now
	}
}
