package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
)

// newDecisionPlacer returns a placer for n servers in 16 data centres of 4 regions, as
// one of the given number of instances sees them, and a query.
func newDecisionPlacer(n, instances int) (*placement.Placer, *placement.Query) {
	names := make([]string, 16)
	for i := range names {
		names[i] = fmt.Sprintf("dc-%02d", i)
	}
	b := new(board.Board)
	doc := fleetDocument(20, names...)
	b.Configuration.Publish(doc)
	members := &board.Members{Self: "0", ListedAt: epoch}
	for i := range instances {
		members.List = append(members.List, board.Member{Name: fmt.Sprint(i), State: board.MemberAlive})
	}
	b.Members.Publish(members)
	servers := make([]board.Server, n)
	for i := range servers {
		e := &engine{sim: newSimulation(), started: epoch.Add(-time.Hour), run: 1, running: i % warmConcurrency}
		servers[i] = board.Server{
			Name: fmt.Sprintf("server-%04d", i), Service: "llm", DataCentre: names[i%16], Region: fmt.Sprint(i % 16 / 4),
			State: board.ServerLive, Report: e.report(),
		}
		servers[i].Report.ReceivedAt = epoch
	}
	publish(b, servers, epoch)
	clock := clockwork.NewFakeClockAt(epoch)
	controller := capacity.NewController(b, nil, clock, capacity.DefaultSettings())
	controller.Refresh()
	prefixes := new(placement.PrefixTable)
	prefixes.Stored("server-0003", 7)
	p := placement.New(b, limiterLoad{controller.Limiter()}, placement.WithClock(clock), placement.WithPrefixTable(prefixes))
	p.Rebuild()
	return p, &placement.Query{
		Service: "llm", Model: "m", Version: "v1", DataCentre: "dc-05", Prefix: []uint64{7, 8},
		ExcludeServers: []string{"server-0005"}, AvoidDataCentres: []string{"dc-06"},
	}
}

var decisionSizes = []int{12, 120, 2900}

func TestDecisionAllocatesNothing(t *testing.T) {
	for _, n := range decisionSizes {
		p, q := newDecisionPlacer(n, 360)
		rnd := newRand(1)
		allocs := testing.AllocsPerRun(1000, func() {
			choice, err := p.Choose(q, rnd)
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Recheck(q, choice.Server.Name); err != nil {
				t.Fatal(err)
			}
		})
		if allocs > bound(t, "DecisionAllocs") {
			t.Errorf("%d servers: %v allocations", n, allocs)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range decisionSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, q := newDecisionPlacer(n, 360)
			rnd := newRand(1)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = p.Choose(q, rnd)
			}
		})
	}
}
