package dispatch

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// benchWorld returns a dispatcher with backlogs of other instances, a listing of n servers
// in six data centres and a query of the given number of members.
func benchWorld(servers, members int) (*Dispatcher, *backend.Listing, *Query) {
	dataCentres := []string{"gulberg", "johar", "dha", "shadman", "iqbal-town", "model-town"}
	l := listing(servers, func(i int, s *backend.Server) { s.DataCentre = dataCentres[i%len(dataCentres)] })
	d := New(testSettings("edge-1"))
	pending := Backlog{}
	for id := range l.ByID {
		pending[id] = int64(len(pending)%50) * 10
	}
	d.UpdateTotal("reader", 1, 1, pending, epoch)
	q := query(PromptPart{ID: "base", Tokens: 2500}, PromptPart{ID: "subject", Tokens: 3800}, PromptPart{ID: "own", Tokens: 900})
	q.Members = nil
	for i := range members {
		q.Members = append(q.Members, fmt.Sprintf("edge-%d", i))
	}
	return d, l, q
}

func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{12, 60, 256, 2900} {
		for _, members := range []int{9, 295} {
			b.Run(fmt.Sprintf("servers=%d/members=%d", servers, members), func(b *testing.B) {
				d, l, q := benchWorld(servers, members)
				b.ReportAllocs()
				for b.Loop() {
					a, err := d.Place(l, q, epoch)
					if err != nil {
						b.Fatal(err)
					}
					a.Done(Succeeded, epoch)
				}
			})
		}
	}
}

// A placement allocates nothing that grows with the number of servers or of instances.
func TestPlaceAllocatesNoMoreInLargeFleets(t *testing.T) {
	is := is.New(t)
	allocations := func(servers, members int) float64 {
		d, l, q := benchWorld(servers, members)
		return testing.AllocsPerRun(500, func() {
			a, err := d.Place(l, q, epoch)
			is.NoErr(err)
			a.Done(Succeeded, epoch)
		})
	}
	is.True(allocations(2900, 295) <= allocations(12, 9)+1)
}

// Placements wait for each other only where they use the same server: a lock on one
// server delays no placement on another.
func TestPlacementsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	d, l, q := benchWorld(256, 9)
	held := d.rosterOf(l).pools["assistant"].entries[0].state
	placed := make(chan error)
	held.mu.Lock()
	defer held.mu.Unlock()
	go func() {
		p, prompt := d.rosterOf(l).pools["assistant"], newPromptKeys(q)
		var others []*entry
		for i := range p.entries[1:] {
			others = append(others, &p.entries[1+i])
		}
		c := d.newChoice(p, q, &prompt, epoch)
		c.consider(others)
		placed <- nil
	}()
	select {
	case err := <-placed:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("a placement waited for a lock on a server that it doesn't use")
	}
}

// The mean backlog is that of all servers, whichever of them a choice considers.
func TestMeanBacklogIsThatOfAllServers(t *testing.T) {
	is := is.New(t)
	d, l, q := benchWorld(256, 9)
	total := time.Duration(0)
	for i := range 256 {
		total += time.Duration(i%50*10) * time.Millisecond
	}
	for range 20 {
		prediction, err := d.Predict(l, q, epoch)
		is.NoErr(err)
		is.Equal(prediction.MeanBacklog, total/256)
	}
	q.ClosedDataCentres = map[string]bool{"gulberg": true}
	open, err := d.Predict(l, q, epoch)
	is.NoErr(err)
	is.True(open.MeanBacklog != total/256) // without the servers that it may not use
}

// A prompt whose model isn't named can be placed, among few servers and among many.
func TestPromptWithoutModel(t *testing.T) {
	is := is.New(t)
	for _, servers := range []int{3, 256} {
		d, l, q := benchWorld(servers, 9)
		q.Model = ""
		_, err := d.Place(l, q, epoch)
		is.NoErr(err)
	}
}

// Concurrent placements together keep to an instance's share of a cold server.
func TestConcurrentPlacementsKeepTheQuota(t *testing.T) {
	is := is.New(t)
	for range 300 {
		d, l := New(testSettings("a")), listing(1, func(_ int, s *backend.Server) { s.ColdLeft = time.Minute })
		q := query()
		q.Members = []string{"a", "b", "c"}
		var placed atomic.Int64
		var group sync.WaitGroup
		start := make(chan struct{})
		for range 32 {
			group.Go(func() {
				<-start
				if _, err := d.Place(l, q, epoch); err == nil {
					placed.Add(1)
				}
			})
		}
		close(start)
		group.Wait()
		limit := int(coldQuotaShare * (q.ColdRate*1.5 + 5)) // testSettings' ColdOverrun and ColdSlack
		is.Equal(int(placed.Load()), Quota("s00", "a", q.Members, limit))
	}
}
