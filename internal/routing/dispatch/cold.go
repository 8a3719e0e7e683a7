package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdQuota deals out the requests that a cold server bears in one second to
// the instances, and returns this instance's share. All instances that know
// the same members deal alike, so that the sum stays within the limit without
// a message; where the limit is below the number of instances, some get none.
func ColdQuota(server, self string, members []string, limit int) int {
	n := len(members)
	if n == 0 {
		return limit
	}
	ranked := slices.Clone(members)
	weight := func(member string) uint64 { return xxhash.Sum64String(server + "\x00" + member) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	rank := slices.Index(ranked, self)
	if rank < 0 {
		return 0
	}
	quota := limit / n
	if rank < limit%n {
		quota++
	}
	return quota
}

// coldWindow is the span over which a cold server's requests are counted: a
// second, and what two sends of one instance can drift apart on the way.
const coldWindow = 1150 * time.Millisecond

// sends remembers when this instance last sent to a server.
type sends struct {
	at []time.Time
}

func (s *sends) add(now time.Time) {
	s.trim(now)
	s.at = append(s.at, now)
}

func (s *sends) trim(now time.Time) {
	i := 0
	for i < len(s.at) && now.Sub(s.at[i]) >= coldWindow {
		i++
	}
	s.at = s.at[i:]
}

// recent counts the sends within the window.
func (s *sends) recent(now time.Time) int {
	s.trim(now)
	return len(s.at)
}
