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

// RuleOutReason is the reason why a server cannot take an attempt. The empty string
// means that it can.
type RuleOutReason string

// Reasons for ruling out a server.
const (
	RuleOutExcluded      RuleOutReason = "Excluded"      // excluded by the query, such as after a failed attempt
	RuleOutEjected       RuleOutReason = "Ejected"       // ejected as an outlier, after failures
	RuleOutLimited       RuleOutReason = "Limited"       // cannot take another request now
	RuleOutUnknown       RuleOutReason = "Unknown"       // not in the instance list
	RuleOutLeaving       RuleOutReason = "Leaving"       // server is leaving
	RuleOutDataCentreOut RuleOutReason = "DataCentreOut" // data centre taken out of service by an operator
	RuleOutNotActive     RuleOutReason = "NotActive"     // version not active, such as after a withdrawal
	RuleOutNotLoaded     RuleOutReason = "NotLoaded"     // version not loaded on the server
	RuleOutOtherService  RuleOutReason = "OtherService"  // belongs to another service
	RuleOutNotReady      RuleOutReason = "NotReady"      // this instance's configuration is missing or too old
)

// Candidate is the explanation for one server.
type Candidate struct {
	Server     string
	DataCentre string
	// RuledOut is empty for a server that Choose could return.
	RuledOut  RuleOutReason
	Predicted time.Duration
}

// Explain lists the servers of the query's service, each with the reason why Choose
// would rule it out now, if any. It returns nil until servers and configuration are
// known.
func (p *Placer) Explain(q *Query) []Candidate {
	servers, doc := p.board.Servers.Get(), p.board.Configuration.Get()
	if servers == nil || doc == nil {
		return nil
	}
	s := search{placer: p, query: q, now: p.clock.Now()}
	if x := p.index.Load(); x != nil {
		s.pool, s.ownLoadWeight = x.pools[q.key()], x.ownLoadWeight
	}
	if p.prefixTable != nil {
		s.prefixServer, s.prefixBlocks = p.prefixTable.longestMatch(q.Prefix)
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

// explain returns the explanation for one server of the service.
func (s *search) explain(server *board.Server, doc *configuration.Document) Candidate {
	c := Candidate{Server: server.Name, DataCentre: server.DataCentre, RuledOut: stateRuleOut(s.query, server, doc)}
	if c.RuledOut != "" || s.pool == nil {
		return c
	}
	i, ok := s.pool.byName[server.Name]
	if !ok {
		return c
	}
	e := &s.pool.entries[i]
	c.RuledOut = s.ruleOut(e)
	c.Predicted, _ = s.predict(e)
	return c
}

// stateRuleOut returns why the state of the server or the configuration keeps the
// server from running the query whatever its load, or "".
func stateRuleOut(q *Query, server *board.Server, doc *configuration.Document) RuleOutReason {
	switch {
	case server.Service != q.Service:
		return RuleOutOtherService
	case server.State != board.ServerLive:
		return RuleOutLeaving
	case doc.IsOutOfService(server.DataCentre):
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

// isActive reports whether the configuration has the version as active.
func isActive(doc *configuration.Document, model, version string) bool {
	m := doc.Model(model)
	if m == nil {
		return false
	}
	v := m.Version(version)
	return v != nil && v.State == configuration.VersionActive
}

// RuledOutError reports that a chosen server can no longer take the attempt.
type RuledOutError struct {
	Server string
	Reason RuleOutReason
}

func (e *RuledOutError) Error() string {
	return fmt.Sprintf("server %s is ruled out: %s", e.Server, e.Reason)
}

// Refusal returns the reason that the caller gets if no other server can take the
// request.
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

// Recheck checks the server against the newest snapshots right before the first byte
// is sent, since the attempt may have waited after Choose. The error is a
// *RuledOutError.
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
		// The list should be sorted by name. If it is not, a linear search finds
		// the server.
		i = slices.IndexFunc(servers.List, func(s board.Server) bool { return s.Name == server })
	}
	if i < 0 {
		return RuleOutUnknown
	}
	return stateRuleOut(q, &servers.List[i], doc)
}
