package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota divides limit, the number of requests that a server can take in some time, among
// the members and returns the share of self. The division is
// deterministic, so instances that know the same members stay within the limit
// together without exchanging messages. More members give no instance a larger share, so
// that those that know different members do so too if each knows all that use a share. If
// the limit is below the number of members, some get no share, and an instance that is not a
// member gets none. If there are no members, the result is limit.
func Quota(server, self string, members []string, limit int) int {
	n := len(members)
	if n == 0 {
		return limit
	}
	if !slices.Contains(members, self) {
		return 0
	}
	quota := limit / n
	if rank(server, self, members) < limit%n {
		quota++
	}
	return quota
}

// rank returns the position of self among the members, from 0, in an order that differs by
// server.
func rank(server, self string, members []string) int {
	weight := func(member string) uint64 { return xxhash.Sum64String(server + "\x00" + member) }
	own, before := weight(self), 0
	for _, m := range members {
		if cmp.Or(cmp.Compare(weight(m), own), cmp.Compare(m, self)) < 0 {
			before++
		}
	}
	return before
}

// coldWindow is the time over which requests to a cold server are counted: one
// second, plus the amount by which the delays of two requests can differ on the way.
const coldWindow = 1150 * time.Millisecond

// sendLog holds the times of this instance's latest requests to a server.
type sendLog struct {
	times []time.Time
	last  time.Time
	// planned counts the requests that were placed and haven't been sent. Opening a
	// connection may take as long as a window.
	planned int
}

func (s *sendLog) add(now time.Time) {
	s.trim(now)
	s.times, s.last = append(s.times, now), now
}

// trim drops the times before the longest window, which is limitWindow.
func (s *sendLog) trim(now time.Time) {
	i := 0
	for i < len(s.times) && now.Sub(s.times[i]) >= limitWindow {
		i++
	}
	s.times = s.times[i:]
}

// recent returns the number of requests within a window of at most limitWindow, and of those
// that are yet to be sent.
func (s *sendLog) recent(now time.Time, window time.Duration) int {
	s.trim(now)
	n := 0
	for n < len(s.times) && now.Sub(s.times[len(s.times)-1-n]) < window {
		n++
	}
	return n + s.planned
}
