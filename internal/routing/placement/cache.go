package placement

import "sync/atomic"

// cacheSlots is the number of prompt prefixes that a Cache remembers.
const cacheSlots = 1 << 14

// PrefixTable remembers which server lately held a prompt prefix in its KV cache.
// It is a hint: cache events come late and with gaps, so a wrong entry costs
// time and nothing else. It is safe for concurrent use and takes no lock.
type PrefixTable struct {
	slots [cacheSlots]atomic.Pointer[cached]
}

type cached struct {
	prefix uint64
	server string
}

// Stored records that the server holds the prefix.
func (c *PrefixTable) Stored(server string, prefix uint64) {
	c.slots[prefix%cacheSlots].Store(&cached{prefix, server})
}

// Evicted records that the server holds the prefix no more.
func (c *PrefixTable) Evicted(server string, prefix uint64) {
	slot := &c.slots[prefix%cacheSlots]
	if e := slot.Load(); e != nil && e.prefix == prefix && e.server == server {
		slot.CompareAndSwap(e, nil)
	}
}

// ForgetServer forgets the server: its cache events have a gap, or it restarted.
func (c *PrefixTable) ForgetServer(server string) {
	counters.Add("CacheGap", 1)
	for i := range c.slots {
		if e := c.slots[i].Load(); e != nil && e.server == server {
			c.slots[i].CompareAndSwap(e, nil)
		}
	}
}

// longest returns the server that holds the longest of the prefixes, and how
// many blocks that is.
func (c *PrefixTable) longest(prefixes []uint64) (string, int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e := c.slots[prefixes[i]%cacheSlots].Load(); e != nil && e.prefix == prefixes[i] {
			return e.server, i + 1
		}
	}
	return "", 0
}
