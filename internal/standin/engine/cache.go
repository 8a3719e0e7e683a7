package engine

import (
	"container/list"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block of the prefix cache.
const BlockBytes = 256

// maxCacheEvents bounds the cache events kept for publication.
const maxCacheEvents = 512

// Prefixes returns the names of the prompt's cached prefixes, shortest first:
// the hex xxHash64 of its first 256, 512, ... bytes.
func Prefixes(prompt string) []string {
	hash := xxhash.New()
	var names []string
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = hash.WriteString(prompt[end-BlockBytes : end])
		names = append(names, hex.EncodeToString(hash.Sum(nil)))
	}
	return names
}

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Sequence uint64
	Kind     string
	Prefix   string
	at       time.Time
}

// prefixCache is a least-recently-used set of prefixes.
type prefixCache struct {
	limit  int
	order  *list.List
	places map[string]*list.Element
	events []cacheEvent
	next   uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), places: map[string]*list.Element{}, next: 1}
}

// use touches the prefixes of a prompt and returns how many were missing.
func (c *prefixCache) use(prefixes []string, now time.Time, publish bool) (missing int) {
	for _, p := range prefixes {
		if place, ok := c.places[p]; ok {
			c.order.MoveToFront(place)
			continue
		}
		missing++
		c.places[p] = c.order.PushFront(p)
		c.record("Stored", p, now, publish)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		name := c.order.Remove(last).(string)
		delete(c.places, name)
		c.record("Evicted", name, now, publish)
	}
	return missing
}

func (c *prefixCache) record(kind, prefix string, now time.Time, publish bool) {
	if publish {
		c.events = append(c.events, cacheEvent{c.next, kind, prefix, now})
	}
	c.next++
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// after returns the events above sequence that happened by the given time,
// and whether some are missing.
func (c *prefixCache) after(sequence uint64, by time.Time) (events []cacheEvent, gap bool) {
	expect := sequence + 1
	events = []cacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence <= sequence || ev.at.After(by) {
			continue
		}
		gap = gap || ev.Sequence != expect
		expect = ev.Sequence + 1
		events = append(events, ev)
	}
	return events, gap
}
