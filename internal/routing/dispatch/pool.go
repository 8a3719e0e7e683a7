package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// roster holds what is derived from one listing of the servers. It is immutable, so that
// placements read it without a lock; the states that it refers to have locks of their own.
type roster struct {
	listing *backend.Listing
	pools   map[string]*pool
}

// pool holds the servers of one service.
type pool struct {
	entries []entry
	// groups divides the ready servers by data centre and version.
	groups []group
	// ring holds the points of the ready servers on a hash ring, and starts the index of
	// the first point in each of as many equal parts of the ring, a power of two.
	ring   []point
	starts []int32
	// byHash finds a ready server by its hash.
	byHash map[uint64]*entry
	// backlogs holds recent sums of the backlogs.
	backlogs atomic.Pointer[groupBacklogs]
}

// groupBacklogs holds the predicted work that waits at the servers of each group.
type groupBacklogs struct {
	at   time.Time
	sums []time.Duration
}

// groupBacklogsTTL is how long the sums are used. Other instances report about as often.
const groupBacklogsTTL = 100 * time.Millisecond

// entry is one server with this instance's state of it.
type entry struct {
	server *backend.Server
	state  *serverState
	// hash identifies the server in keys of the prefix cache.
	hash uint64
}

type group struct {
	dataCentre, version string
	entries             []*entry
}

// point is a position on the hash ring that belongs to a server.
type point struct {
	position uint64
	entry    *entry
}

// pointsPerServer is the number of a server's points on the ring. The shares of the
// servers differ by about its square root.
const pointsPerServer = 32

// newRoster derives a roster from a listing. state returns the state of a server.
func newRoster(l *backend.Listing, state func(s *backend.Server) *serverState) *roster {
	r := &roster{listing: l, pools: make(map[string]*pool, len(l.ByService))}
	for service, list := range l.ByService {
		p := &pool{entries: make([]entry, len(list)), byHash: make(map[uint64]*entry, len(list))}
		for i, s := range list {
			p.entries[i] = entry{server: s, state: state(s), hash: xxhash.Sum64String(s.ID)}
		}
		p.divide()
		r.pools[service] = p
	}
	return r
}

// divide sets the groups and the ring of the ready servers.
func (p *pool) divide() {
	type key struct{ dataCentre, version string }
	byKey := map[key][]*entry{}
	for i := range p.entries {
		e := &p.entries[i]
		if e.server.State != backend.Ready {
			continue
		}
		p.byHash[e.hash] = e
		k := key{e.server.DataCentre, e.server.Version}
		byKey[k] = append(byKey[k], e)
		position := e.hash
		for range pointsPerServer {
			position = mix(position)
			p.ring = append(p.ring, point{position, e})
		}
	}
	for k, entries := range byKey {
		p.groups = append(p.groups, group{k.dataCentre, k.version, entries})
	}
	slices.SortFunc(p.groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.version, b.version))
	})
	slices.SortFunc(p.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.entry.server.ID, b.entry.server.ID))
	})
	p.starts = make([]int32, 1<<bits.Len(uint(len(p.ring))))
	next := 0
	for part := range p.starts {
		for next < len(p.ring) && p.part(p.ring[next].position) < part {
			next++
		}
		p.starts[part] = int32(next)
	}
}

// part returns the part of the ring in which a position is.
func (p *pool) part(position uint64) int {
	return int(position >> (64 - bits.Len(uint(len(p.starts)-1))))
}

// after returns the index of the first point at or after a position; it is len(p.ring) if
// there is none.
func (p *pool) after(position uint64) int {
	i := int(p.starts[p.part(position)])
	for i < len(p.ring) && p.ring[i].position < position {
		i++
	}
	return i
}

// sumBacklogs returns recent sums of the backlogs of each group.
func (p *pool) sumBacklogs(others backlogView, now time.Time) []time.Duration {
	if b := p.backlogs.Load(); b != nil && now.Sub(b.at) < groupBacklogsTTL {
		return b.sums
	}
	b := &groupBacklogs{at: now, sums: make([]time.Duration, len(p.groups))}
	for i := range p.groups {
		for _, e := range p.groups[i].entries {
			work, _ := others.at(e.server.ID)
			b.sums[i] += work + e.state.backlog()
		}
	}
	p.backlogs.Store(b)
	return b.sums
}

// meanBacklog returns the mean backlog of the ready servers that a query allows.
func (p *pool) meanBacklog(q *Query, others backlogView, now time.Time) time.Duration {
	total, servers := time.Duration(0), 0
	for i, sum := range p.sumBacklogs(others, now) {
		if g := &p.groups[i]; q.allows(g.dataCentre, g.version) {
			total += sum
			servers += len(g.entries)
		}
	}
	return total / time.Duration(max(1, servers))
}

// mix returns a number that depends on all bits of x, as the finalizer of SplitMix64 does.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// allows reports whether a query may use the servers of a group.
func (q *Query) allows(dataCentre, version string) bool {
	return !q.ClosedDataCentres[dataCentre] && q.Versions.Allows(version)
}

// preferred returns the server that all instances prefer for a prompt, so that prompts
// with the same shared parts go to the same server's cache: the first that the query
// allows after the hash of the model and the last part that other prompts share, which
// is the last but one. It returns nil for a prompt without shared parts.
func (p *pool) preferred(q *Query, prompt *promptKeys) *entry {
	if len(q.PromptParts) < 2 || len(p.ring) == 0 {
		return nil
	}
	first := p.after(mix(prompt.keys[len(prompt.keys)-2]))
	for i := range min(len(p.ring), maxRingSteps) {
		if e := p.ring[(first+i)%len(p.ring)].entry; q.allows(e.server.DataCentre, e.server.Version) {
			return e
		}
	}
	return nil
}

// maxRingSteps bounds the search for a server that a query allows. If less than one point
// in so many belongs to one, the instances do without a preferred server.
const maxRingSteps = 1024
