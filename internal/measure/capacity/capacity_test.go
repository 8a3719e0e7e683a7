package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMeasure runs a small fleet: every instance joins, gets the changes and
// calls the store within the shares that its clients keep. How fast it is is
// left to the benchmark.
func TestMeasure(t *testing.T) {
	const window = 3 * time.Second // three confirmations of each instance
	is := is.New(t)
	result, err := Measure(context.Background(), Settings{
		Instances: 3, DataCentres: 3, ServersPerInstance: 2, Window: window, Changes: 2, DocumentBytes: 2000,
	})
	is.NoErr(err)
	is.Equal(result.JoinedMembers, 3)
	is.Equal(len(result.InForce), 2)
	is.Equal(result.Reverts, 0)
	is.True(result.StoreReads > 0)
}

// sizes are the fleets that slopes are drawn through.
var sizes = []struct{ instances, dataCentres int }{{9, 3}, {18, 4}, {36, 8}, {72, 16}}

// BenchmarkIdle measures control while nothing changes.
//
//	go test -run NONE -bench Idle -benchtime 1x ./internal/measure/capacity
func BenchmarkIdle(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			for range b.N {
				r, err := Measure(context.Background(), Settings{
					Instances: size.instances, DataCentres: size.dataCentres, ServersPerInstance: 8,
					Settle: 20 * time.Second, Window: 20 * time.Second, DocumentBytes: 20000,
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(100*r.CoreShare, "%core")
				b.ReportMetric(r.MemoryBytes/1e6, "MB")
				b.ReportMetric(r.Goroutines, "goroutines")
				b.ReportMetric(r.PeerBytes/1e3, "peer-KB/s")
				b.ReportMetric(r.PeerCalls, "peer-calls/s")
				b.ReportMetric(r.ListBytes/1e3, "list-KB/s")
				b.ReportMetric(r.LoadBytes/1e3, "load-KB/s")
				b.ReportMetric(r.StoreReads, "store-reads/s")
				b.ReportMetric(r.StoreWrites, "store-writes/s")
				b.ReportMetric(float64(r.StoreWatches), "store-watches")
				b.ReportMetric(float64(r.StartReads), "start-reads/s")
			}
		})
	}
}

// BenchmarkInForce times changes with lost calls, a tenth of the instances
// restarting and a slow store.
//
//	go test -run NONE -bench InForce -benchtime 1x ./internal/measure/capacity
func BenchmarkInForce(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			for range b.N {
				r, err := Measure(context.Background(), Settings{
					Instances: size.instances, DataCentres: size.dataCentres, ServersPerInstance: 1,
					Settle: 5 * time.Second, Window: time.Second, DocumentBytes: 20000,
					Changes: 20, Loss: 0.05, StoreDelay: 200 * time.Millisecond, RestartShare: 0.1,
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(r.InForce[len(r.InForce)/2].Seconds()*1e3, "ms-median")
				b.ReportMetric(r.InForce[len(r.InForce)-1].Seconds()*1e3, "ms-longest")
				b.ReportMetric(float64(r.Late), "late")
				b.ReportMetric(float64(r.Reverts), "reverts")
			}
		})
	}
}
