package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// index is everything that Choose needs, precomputed; immutable.
type index struct {
	servers *board.Servers
	doc     *configuration.Document
	pools   map[poolKey]*pool
}

// poolKey names the servers that can run one version, or one plain service.
type poolKey struct {
	service, model, version string
}

// pool is the set of servers that may get work of one kind, sorted by region
// and data centre.
type pool struct {
	entries []entry
	// weights holds the running sum of the entries' weights.
	weights []int
	near    map[string]spans
	byName  map[string]int
	// firstToken is the least time to first token that its servers report.
	firstToken time.Duration
}

// entry is one server with what is needed to predict its time to first token.
type entry struct {
	server *board.Server
	// reported is the work that the server reported, base this instance's own
	// work there when the report came in.
	reported    int
	base        int
	concurrency int
}

// span is a range of entries.
type span struct{ from, to int }

// spans are the entries in one data centre and in its region.
type spans struct{ dataCentre, region span }

// newIndex builds the index. Reports' bases are kept from the index before,
// for servers with no newer report.
func newIndex(servers *board.Servers, doc *configuration.Document, before *index, load Load) *index {
	x := &index{servers: servers, doc: doc, pools: map[poolKey]*pool{}}
	bases := before.bases()
	for i := range servers.List {
		s := &servers.List[i]
		if s.State != board.ServerLive || doc.IsOut(s.DataCentre) {
			continue
		}
		e := newEntry(s, doc, bases, load)
		for _, key := range keysOf(s, doc) {
			p := x.pools[key]
			if p == nil {
				p = &pool{}
				x.pools[key] = p
			}
			p.entries = append(p.entries, e)
		}
	}
	for _, p := range x.pools {
		p.finish()
	}
	return x
}

// keysOf lists the pools to which a server belongs: the active versions that
// it has loaded, or its plain service.
func keysOf(s *board.Server, doc *configuration.Document) []poolKey {
	svc := doc.Service(s.Service)
	if svc == nil {
		return nil
	}
	if svc.Kind == configuration.ServicePlain {
		return []poolKey{{service: s.Service}}
	}
	var keys []poolKey
	for _, l := range s.Report.Loaded {
		m := doc.Model(l.Model)
		if m == nil || m.Service != s.Service {
			continue
		}
		if v := m.Version(l.Version); v != nil && v.State == configuration.VersionActive {
			keys = append(keys, poolKey{s.Service, l.Model, l.Version})
		}
	}
	return keys
}

type baseOf struct {
	receivedAt time.Time
	base       int
}

func (x *index) bases() map[string]baseOf {
	bases := map[string]baseOf{}
	if x == nil {
		return bases
	}
	for _, p := range x.pools {
		for i := range p.entries {
			e := &p.entries[i]
			bases[e.server.Name] = baseOf{e.server.Report.ReceivedAt, e.base}
		}
	}
	return bases
}

func newEntry(s *board.Server, doc *configuration.Document, bases map[string]baseOf, load Load) entry {
	e := entry{server: s, concurrency: s.Report.Concurrency}
	if svc := doc.Service(s.Service); e.concurrency <= 0 && svc != nil {
		e.concurrency = svc.Concurrency
	}
	e.concurrency = max(e.concurrency, 1)
	e.reported = max(s.Report.Running, 0) + max(s.Report.Waiting, 0)
	if b, ok := bases[s.Name]; ok && b.receivedAt.Equal(s.Report.ReceivedAt) {
		e.base = b.base
	} else {
		e.base = load.InFlight(s.Name)
	}
	return e
}

// weight is how often a server is sampled: what it bears.
func (e *entry) weight() int {
	if e.server.Report.Cold {
		return max(e.server.Report.ColdConcurrency, 1)
	}
	return e.concurrency
}

func (p *pool) finish() {
	slices.SortFunc(p.entries, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(a.server.Region, b.server.Region),
			cmp.Compare(a.server.DataCentre, b.server.DataCentre),
			cmp.Compare(a.server.Name, b.server.Name))
	})
	p.weights = make([]int, len(p.entries)+1)
	p.byName = make(map[string]int, len(p.entries))
	p.near = map[string]spans{}
	for i := range p.entries {
		e := &p.entries[i]
		p.weights[i+1] = p.weights[i] + e.weight()
		p.byName[e.server.Name] = i
		ft := e.server.Report.FirstToken
		if ft > 0 && !e.server.Report.Cold && (p.firstToken == 0 || ft < p.firstToken) {
			p.firstToken = ft
		}
	}
	p.markSpans()
}

func (p *pool) markSpans() {
	regions := map[string]span{}
	for i := range p.entries {
		s := p.entries[i].server
		r, ok := regions[s.Region]
		if !ok {
			r.from = i
		}
		r.to = i + 1
		regions[s.Region] = r
		n, ok := p.near[s.DataCentre]
		if !ok {
			n.dataCentre.from = i
		}
		n.dataCentre.to = i + 1
		p.near[s.DataCentre] = n
	}
	for name, n := range p.near {
		n.region = regions[p.entries[n.dataCentre.from].server.Region]
		p.near[name] = n
	}
}

// sample returns a random entry of the span, by weight.
func (p *pool) sample(s span, rnd Rand) int {
	low, high := p.weights[s.from], p.weights[s.to]
	x := low + int(rnd.Uint64()%uint64(high-low))
	i, j := s.from, s.to
	for i < j {
		mid := int(uint(i+j) >> 1)
		if p.weights[mid+1] <= x {
			i = mid + 1
		} else {
			j = mid
		}
	}
	return i
}
