package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// RuleOutReason names why a server may not get an attempt.
type RuleOutReason string

// The reasons for ruling a server out.
const (
	RuleOutExcluded      RuleOutReason = "Excluded"      // tried already
	RuleOutEjected       RuleOutReason = "Ejected"       // failed too often
	RuleOutLimited       RuleOutReason = "Limited"       // bears no more now
	RuleOutUnknown       RuleOutReason = "Unknown"       // not in the instance list
	RuleOutLeaving       RuleOutReason = "Leaving"       // leaving
	RuleOutDataCentreOut RuleOutReason = "DataCentreOut" // taken out by operators
	RuleOutNotActive     RuleOutReason = "NotActive"     // version withdrawn or not active
	RuleOutNotLoaded     RuleOutReason = "NotLoaded"     // version not loaded there
	RuleOutOtherService  RuleOutReason = "OtherService"  // another service's server
	RuleOutNotReady      RuleOutReason = "NotReady"      // this instance's configuration is too old
)

// Candidate is one server in an explanation.
type Candidate struct {
	Server     string
	DataCentre string
	// RuledOut is empty for a server that could have been chosen.
	RuledOut  RuleOutReason
	Predicted time.Duration
}

// Explain lists the servers of the service with the reason why each was ruled
// out, as Choose would see them now.
func (p *Placer) Explain(q *Query) []Candidate {
	servers, doc := p.board.Servers.Get(), p.board.Configuration.Get()
	if servers == nil || doc == nil {
		return nil
	}
	s := search{placer: p, query: q, now: p.clock.Now()}
	if x := p.index.Load(); x != nil {
		s.pool, s.herd = x.pools[q.key()], x.herd
	}
	if p.cache != nil {
		s.hit, s.blocks = p.cache.longest(q.Prefix)
	}
	var list []Candidate
	for i := range servers.List {
		server := &servers.List[i]
		if server.Service != q.Service {
			continue
		}
		list = append(list, s.explain(server, doc))
	}
	return list
}

func (s *search) explain(server *board.Server, doc *configuration.Document) Candidate {
	c := Candidate{Server: server.Name, DataCentre: server.DataCentre, RuledOut: standing(s.query, server, doc)}
	if c.RuledOut != "" || s.pool == nil {
		return c
	}
	i, ok := s.pool.byName[server.Name]
	if !ok {
		return c
	}
	e := &s.pool.entries[i]
	c.RuledOut = s.rule(e)
	c.Predicted, _ = s.predict(e)
	return c
}

// standing returns why a server may not run the query whatever its load.
func standing(q *Query, server *board.Server, doc *configuration.Document) RuleOutReason {
	switch {
	case server.Service != q.Service:
		return RuleOutOtherService
	case server.State != board.ServerLive:
		return RuleOutLeaving
	case doc.IsOut(server.DataCentre):
		return RuleOutDataCentreOut
	case q.Plain:
		return ""
	case !isActive(doc, q.Model, q.Version):
		return RuleOutNotActive
	case !server.HasLoaded(q.Model, q.Version):
		return RuleOutNotLoaded
	}
	return ""
}

func isActive(doc *configuration.Document, model, version string) bool {
	m := doc.Model(model)
	if m == nil {
		return false
	}
	v := m.Version(version)
	return v != nil && v.State == configuration.VersionActive
}

// RuledOutError reports a server that must not get the attempt any more.
type RuledOutError struct {
	Server string
	Reason RuleOutReason
}

func (e *RuledOutError) Error() string {
	return fmt.Sprintf("server %s is ruled out: %s", e.Server, e.Reason)
}

// Refusal returns the reason that a caller sees if no other server will do.
func (e *RuledOutError) Refusal() call.Reason {
	switch e.Reason {
	case RuleOutDataCentreOut:
		return call.ReasonDataCentreOut
	case RuleOutNotActive:
		return call.ReasonVersionWithdrawn
	case RuleOutNotReady:
		return call.ReasonNotReady
	}
	return call.ReasonNoServer
}

// Recheck looks at the newest snapshot right before the first byte is sent,
// since the attempt may have waited. The error is a *RuledOutError.
func (p *Placer) Recheck(q *Query, server string) error {
	reason := p.recheck(q, server)
	if reason == "" {
		return nil
	}
	counters.Add("Recheck"+string(reason), 1)
	return &RuledOutError{Server: server, Reason: reason}
}

func (p *Placer) recheck(q *Query, server string) RuleOutReason {
	servers, doc := p.board.Servers.Get(), p.board.Configuration.Get()
	if c := p.board.Confirmation.Get(); doc == nil || c != nil && !c.AllowsNewWork(p.clock.Now()) {
		return RuleOutNotReady
	}
	if servers == nil {
		return RuleOutUnknown
	}
	i, ok := sort.Find(len(servers.List), func(i int) int {
		return strings.Compare(server, servers.List[i].Name)
	})
	if !ok {
		// The list is sorted by name; an unsorted one is searched in full.
		i = slices.IndexFunc(servers.List, func(s board.Server) bool { return s.Name == server })
	}
	if i < 0 {
		return RuleOutUnknown
	}
	return standing(q, &servers.List[i], doc)
}
