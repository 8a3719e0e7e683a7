package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt, in order. A server that read a part for the
// same model after the same parts before may still hold it.
type PromptPart struct {
	ID     string
	Tokens int
}

const (
	// cacheFor is how long a part counts as held after its last use here.
	cacheFor = 30 * time.Second
	// cacheEntries bounds the memory of parts; 48 bytes each.
	cacheEntries = 40000
)

// cache remembers which server read which part for which model.
type cache struct {
	used map[uint64]time.Time
}

func newCache() *cache { return &cache{used: map[uint64]time.Time{}} }

// keys returns a key for each part, which covers those before it.
func partKeys(server, model string, parts []PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(server + "\x00" + model)
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("\x00" + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// held returns how many tokens of the prompt the server holds.
func (c *cache) held(server, model string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for i, key := range partKeys(server, model, parts) {
		at, ok := c.used[key]
		if !ok || now.Sub(at) >= cacheFor {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

func (c *cache) store(server, model string, parts []PromptPart, now time.Time) {
	if len(c.used) > cacheEntries {
		for key, at := range c.used {
			if now.Sub(at) >= cacheFor {
				delete(c.used, key)
			}
		}
		if len(c.used) > cacheEntries {
			clear(c.used)
		}
	}
	for _, key := range partKeys(server, model, parts) {
		c.used[key] = now
	}
}
