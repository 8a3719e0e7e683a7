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
	own     map[string]*ownLoad
	// herd is how many instances decide like this one between two reports.
	herd float64
}

// ownLoad is the recent history of this instance's own work at a server.
type ownLoad struct {
	samples [ownSamples]ownSample
	next    int
	report  time.Time
	base    int
}

// ownSamples is how many changes of an ownLoad are kept.
const ownSamples = 16

type ownSample struct {
	at       time.Time
	inFlight int
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
	// others is the reported work that is not this instance's own.
	others      int
	concurrency int
}

// span is a range of entries.
type span struct{ from, to int }

// spans are the entries in one data centre and in its region.
type spans struct{ dataCentre, region span }

// newIndex builds the index from the newest snapshots. The history of own work
// goes on from the index before.
func (p *Placer) newIndex(servers *board.Servers, doc *configuration.Document, before *index) *index {
	x := &index{servers: servers, doc: doc, pools: map[poolKey]*pool{}, own: make(map[string]*ownLoad, len(servers.List))}
	x.herd = herd(p.board.Members.Get())
	now := p.clock.Now()
	for i := range servers.List {
		s := &servers.List[i]
		own := before.ownLoad(s.Name)
		own.sample(p.load.InFlight(s.Name), &s.Report, now)
		x.own[s.Name] = own
		if s.State != board.ServerLive || doc.IsOut(s.DataCentre) {
			continue
		}
		e := newEntry(s, doc, own)
		for _, key := range keysOf(s, doc) {
			q := x.pools[key]
			if q == nil {
				q = &pool{}
				x.pools[key] = q
			}
			q.entries = append(q.entries, e)
		}
	}
	for _, q := range x.pools {
		q.finish()
	}
	return x
}

// herdFactor is how many requests each instance places on the same server for
// each one of this instance, before a report shows them.
const herdFactor = 1.5

// herd is how many requests the instances place together for each one that
// this instance places.
func herd(members *board.Members) float64 {
	if members == nil {
		return 1
	}
	return max(1, herdFactor*float64(len(members.List)))
}

func (x *index) ownLoad(server string) *ownLoad {
	if x != nil {
		if o := x.own[server]; o != nil {
			return o
		}
	}
	return &ownLoad{}
}

// sample notes the own work now, and the own work when the newest report was
// made.
func (o *ownLoad) sample(inFlight int, r *board.LoadReport, now time.Time) {
	o.samples[o.next%ownSamples] = ownSample{now, inFlight}
	o.next++
	if r.ReceivedAt.Equal(o.report) {
		return
	}
	o.report, o.base = r.ReceivedAt, inFlight
	for i := 1; i <= min(o.next, ownSamples); i++ {
		s := o.samples[(o.next-i)%ownSamples]
		o.base = s.inFlight
		if !s.at.After(r.ReportedAt) {
			return
		}
	}
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

func newEntry(s *board.Server, doc *configuration.Document, own *ownLoad) entry {
	e := entry{server: s, concurrency: s.Report.Concurrency}
	if svc := doc.Service(s.Service); e.concurrency <= 0 && svc != nil {
		e.concurrency = svc.Concurrency
	}
	e.concurrency = max(e.concurrency, 1)
	e.others = max(0, max(s.Report.Running, 0)+max(s.Report.Waiting, 0)-own.base)
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
		ft := e.server.Report.TimeToFirstToken
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
