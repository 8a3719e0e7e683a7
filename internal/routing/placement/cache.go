package placement

import "sync/atomic"

// prefixSlots is the number of prompt prefixes that a PrefixTable can hold.
const prefixSlots = 1 << 14

// PrefixTable records which server lately had a prompt prefix in its KV cache. The
// entries are hints: cache events come late and with gaps, so a wrong entry costs time
// but is otherwise harmless. It is safe for concurrent use and takes no lock.
type PrefixTable struct {
	slots [prefixSlots]atomic.Pointer[prefixEntry]
}

type prefixEntry struct {
	prefix uint64
	server string
}

// Stored records that the server has the prefix cached. It replaces an entry that
// shares the slot.
func (t *PrefixTable) Stored(server string, prefix uint64) {
	t.slots[prefix%prefixSlots].Store(&prefixEntry{prefix, server})
}

// Evicted records that the server no longer has the prefix cached.
func (t *PrefixTable) Evicted(server string, prefix uint64) {
	slot := &t.slots[prefix%prefixSlots]
	if e := slot.Load(); e != nil && e.prefix == prefix && e.server == server {
		slot.CompareAndSwap(e, nil)
	}
}

// ForgetServer removes all entries of the server. The caller uses it after a gap in
// the server's cache events or a restart.
func (t *PrefixTable) ForgetServer(server string) {
	counters.Add("CacheGap", 1)
	for i := range t.slots {
		if e := t.slots[i].Load(); e != nil && e.server == server {
			t.slots[i].CompareAndSwap(e, nil)
		}
	}
}

// longestMatch returns the server that has the longest of the prefixes cached, and the
// number of blocks in it. It returns "" and 0 if there is none.
func (t *PrefixTable) longestMatch(prefixes []uint64) (string, int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e := t.slots[prefixes[i]%prefixSlots].Load(); e != nil && e.prefix == prefixes[i] {
			return e.server, i + 1
		}
	}
	return "", 0
}
