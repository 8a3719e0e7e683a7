package placement_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
)

// fakeLoad is a Load without requests, with the given servers limited or ejected.
type fakeLoad struct {
	limited, ejected map[string]bool
}

func (fakeLoad) InFlight(string) int                       { return 0 }
func (l fakeLoad) Startable(name string, _ time.Time) bool { return !l.limited[name] }
func (l fakeLoad) Ejected(name string, _ time.Time) bool   { return l.ejected[name] }
func newRand(seed uint64) *rand.Rand                       { return rand.New(rand.NewPCG(seed, 1)) }
func publish(b *board.Board, s []board.Server, at time.Time) {
	b.Servers.Publish(&board.Servers{List: s, At: at})
}
func query(dataCentre string) *placement.Query {
	return &placement.Query{Service: "llm", Model: "m", Version: "v1", DataCentre: dataCentre}
}

func smallBoard(at time.Time) (*board.Board, []board.Server) {
	doc := &configuration.Document{
		Models:      []configuration.Model{{Name: "m", Service: "llm", Versions: []configuration.Version{{Name: "v1", State: configuration.VersionActive}}}},
		Services:    []configuration.Service{{Name: "llm", Kind: configuration.ServiceModel, Concurrency: 8, ColdConcurrency: 2}},
		DataCentres: []configuration.DataCentre{{Name: "north", Region: "r"}, {Name: "south", Region: "r"}, {Name: "out", Region: "r", Out: true}},
	}
	loaded := []board.LoadedVersion{{Model: "m", Version: "v1"}}
	server := func(name, dc string, state board.ServerState, l []board.LoadedVersion) board.Server {
		return board.Server{Name: name, Service: "llm", DataCentre: dc, Region: "r", State: state,
			Report: board.LoadReport{ReceivedAt: at, ReportedAt: at, Concurrency: 8, TimeToFirstToken: 100 * time.Millisecond, Loaded: l}}
	}
	servers := []board.Server{
		server("a", "north", board.ServerLive, loaded),
		server("b", "north", board.ServerLeaving, loaded),
		server("c", "north", board.ServerLive, nil),
		server("d", "out", board.ServerLive, loaded),
		server("e", "south", board.ServerLive, loaded),
	}
	b := new(board.Board)
	b.Configuration.Publish(doc)
	publish(b, servers, at)
	return b, servers
}

func TestChooseRulesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		load  fakeLoad
		query func(*placement.Query)
		want  string
	}{
		"near first":                {want: "a"},
		"limited":                   {load: fakeLoad{limited: map[string]bool{"a": true}}, want: "e"},
		"ejected":                   {load: fakeLoad{ejected: map[string]bool{"a": true}}, want: "e"},
		"excluded":                  {query: func(q *placement.Query) { q.ExcludeServers = []string{"a"} }, want: "e"},
		"avoided data centre":       {query: func(q *placement.Query) { q.AvoidDataCentres = []string{"north"} }, want: "e"},
		"avoided, but nothing else": {query: func(q *placement.Query) { q.AvoidDataCentres = []string{"north", "south"} }, want: "a"},
		"nothing left":              {query: func(q *placement.Query) { q.ExcludeServers = []string{"a", "e"} }},
		"version not loaded":        {query: func(q *placement.Query) { q.Version = "v2" }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, _ := smallBoard(now)
			p := placement.New(b, c.load, placement.WithClock(clockwork.NewFakeClockAt(now)))
			p.Rebuild()
			q := query("north")
			if c.query != nil {
				c.query(q)
			}
			rnd := newRand(1)
			for range 100 {
				choice, err := p.Choose(q, rnd)
				var none *placement.NoServerError
				if c.want == "" {
					is.True(errors.As(err, &none))
					continue
				}
				is.NoErr(err)
				is.Equal(choice.Server.Name, c.want)
			}
		})
	}
}

func TestExplainAndRecheckNameTheReason(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b, servers := smallBoard(now)
	p := placement.New(b, fakeLoad{}, placement.WithClock(clockwork.NewFakeClockAt(now)))
	p.Rebuild()
	want := []placement.RuleOutReason{"", placement.RuleOutLeaving, placement.RuleOutNotLoaded, placement.RuleOutDataCentreOut, ""}
	for i, c := range p.Explain(query("north")) {
		is.Equal(c.RuledOut, want[i])
		var out *placement.RuledOutError
		if err := p.Recheck(query("north"), c.Server); errors.As(err, &out) {
			is.Equal(out.Reason, want[i])
		} else {
			is.Equal(want[i], placement.RuleOutReason(""))
		}
	}
	publish(b, servers[1:], now)
	is.True(p.Recheck(query("north"), "a") != nil) // no longer listed
	b.Confirmation.Publish(&board.Confirmation{})
	is.True(p.Recheck(query("north"), "e") != nil) // configuration not confirmed
}
