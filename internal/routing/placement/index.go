package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// index holds everything that Choose needs, precomputed from one pair of snapshots. It
// is immutable except for histories, which only newIndex reads and updates.
type index struct {
	servers   *board.Servers
	doc       *configuration.Document
	pools     map[poolKey]*pool
	histories map[string]*loadHistory
	// ownLoadWeight is the factor by which this instance's own requests count, to
	// allow for other instances that place alike between two reports.
	ownLoadWeight float64
}

// loadHistory is the recent number of this instance's requests at a server, and
// atReport, that number when the report received at reportAt was made.
type loadHistory struct {
	// samples is a ring buffer; next counts the samples recorded.
	samples  [historySize]loadSample
	next     int
	reportAt time.Time
	atReport int
}

// historySize is the number of samples that a loadHistory keeps.
const historySize = 16

type loadSample struct {
	at       time.Time
	inFlight int
}

// poolKey identifies the pool of servers that can run one version of a model, or one
// plain service.
type poolKey struct {
	service, model, version string
}

// pool holds the servers that can run what its key names, sorted by region, data
// centre and name.
type pool struct {
	entries []entry
	// weights holds the cumulative weights: weights[i] is the sum over the entries
	// before i.
	weights           []int
	spansByDataCentre map[string]localSpans
	byName            map[string]int
	// minFirstToken is the lowest time to first token that a server of the pool
	// reports outside cold start.
	minFirstToken time.Duration
}

// entry is a server with the inputs for predicting its time to first token.
type entry struct {
	server *board.Server
	// otherLoad is the number of requests in the server's report that are not this
	// instance's.
	otherLoad   int
	concurrency int
}

// span is the half-open range [from, to) of entries in a pool.
type span struct{ from, to int }

// localSpans holds the entries in a data centre and in its region.
type localSpans struct{ dataCentre, region span }

// newIndex builds the index from the newest snapshots. It carries over the load
// histories from the index before, which may be nil.
func (p *Placer) newIndex(servers *board.Servers, doc *configuration.Document, before *index) *index {
	x := &index{servers: servers, doc: doc, pools: map[poolKey]*pool{}, histories: make(map[string]*loadHistory, len(servers.List))}
	x.ownLoadWeight = ownLoadWeightOf(p.board.Members.Get())
	now := p.clock.Now()
	for i := range servers.List {
		s := &servers.List[i]
		own := before.history(s.Name)
		own.record(p.load.InFlight(s.Name), &s.Report, now)
		x.histories[s.Name] = own
		if s.State != board.ServerLive || doc.IsOutOfService(s.DataCentre) {
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
		q.buildLookups()
	}
	return x
}

// placementsPerInstance is the number of requests that each instance places on the
// same server, for each one of this instance, before a report shows them.
const placementsPerInstance = 1.5

// ownLoadWeightOf returns the number of requests that all members together place for
// each one of this instance.
func ownLoadWeightOf(members *board.Members) float64 {
	if members == nil {
		return 1
	}
	return max(1, placementsPerInstance*float64(len(members.List)))
}

// history returns the load history of a server, or a new one. x may be nil.
func (x *index) history(server string) *loadHistory {
	if x != nil {
		if h := x.histories[server]; h != nil {
			return h
		}
	}
	return &loadHistory{}
}

// record adds a sample of the requests in flight. If the report is new, it also sets
// atReport to the requests in flight when the report was made.
func (h *loadHistory) record(inFlight int, r *board.LoadReport, now time.Time) {
	h.samples[h.next%historySize] = loadSample{now, inFlight}
	h.next++
	if r.ReceivedAt.Equal(h.reportAt) {
		return
	}
	h.reportAt, h.atReport = r.ReceivedAt, inFlight
	for i := 1; i <= min(h.next, historySize); i++ {
		s := h.samples[(h.next-i)%historySize]
		h.atReport = s.inFlight
		if !s.at.After(r.ReportedAt) {
			return
		}
	}
}

// keysOf returns the keys of the pools to which a server belongs: one for each active
// version that it has loaded, or one for its plain service.
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

func newEntry(s *board.Server, doc *configuration.Document, own *loadHistory) entry {
	e := entry{server: s, concurrency: s.Report.Concurrency}
	if svc := doc.Service(s.Service); e.concurrency <= 0 && svc != nil {
		e.concurrency = svc.Concurrency
	}
	e.concurrency = max(e.concurrency, 1)
	e.otherLoad = max(0, max(s.Report.Running, 0)+max(s.Report.Waiting, 0)-own.atReport)
	return e
}

// weight returns the relative frequency with which a server is sampled, which is the
// number of concurrent requests that it can run.
func (e *entry) weight() int {
	if e.server.Report.Cold {
		return max(e.server.Report.ColdConcurrency, 1)
	}
	return e.concurrency
}

// buildLookups sorts the entries and computes the other fields from them.
func (p *pool) buildLookups() {
	slices.SortFunc(p.entries, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(a.server.Region, b.server.Region),
			cmp.Compare(a.server.DataCentre, b.server.DataCentre),
			cmp.Compare(a.server.Name, b.server.Name))
	})
	p.weights = make([]int, len(p.entries)+1)
	p.byName = make(map[string]int, len(p.entries))
	p.spansByDataCentre = map[string]localSpans{}
	for i := range p.entries {
		e := &p.entries[i]
		p.weights[i+1] = p.weights[i] + e.weight()
		p.byName[e.server.Name] = i
		ft := e.server.Report.TimeToFirstToken
		if ft > 0 && !e.server.Report.Cold && (p.minFirstToken == 0 || ft < p.minFirstToken) {
			p.minFirstToken = ft
		}
	}
	p.computeSpans()
}

// computeSpans computes spansByDataCentre from the sorted entries.
func (p *pool) computeSpans() {
	regions := map[string]span{}
	for i := range p.entries {
		s := p.entries[i].server
		r, ok := regions[s.Region]
		if !ok {
			r.from = i
		}
		r.to = i + 1
		regions[s.Region] = r
		n, ok := p.spansByDataCentre[s.DataCentre]
		if !ok {
			n.dataCentre.from = i
		}
		n.dataCentre.to = i + 1
		p.spansByDataCentre[s.DataCentre] = n
	}
	for name, n := range p.spansByDataCentre {
		n.region = regions[p.entries[n.dataCentre.from].server.Region]
		p.spansByDataCentre[name] = n
	}
}

// sample returns the index of a random entry in the span, chosen by weight.
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
