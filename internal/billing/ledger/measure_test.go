package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func readBounds(t testing.TB) map[string]float64 {
	t.Helper()
	data, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	bounds := map[string]float64{}
	for line := range strings.Lines(string(data)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if !ok || strings.HasPrefix(key, "#") {
			continue
		}
		if bounds[key], err = strconv.ParseFloat(value, 64); err != nil {
			t.Fatal(err)
		}
	}
	return bounds
}

const (
	targetRequests = 3900 // a second
	// claimShare is the share of requests that are claimed, one in so many.
	claimShare = 20
)

// loadResult are what one run at the target's load gave.
type loadResult struct {
	writesPerSecond, kilobytesPerSecond, messagesPerSecond float64
	claimP95, billP95, openMax                             time.Duration
	failed                                                 int
}

// load runs the target's load on so many nodes for a while of virtual time.
func runLoad(t testing.TB, nodes int, lasts time.Duration) (f loadResult) {
	synctest.Test(t.(*testing.T), func(*testing.T) {
		w := newFleet(uint64(nodes), nodes)
		var mu sync.Mutex
		var claimed, billed []time.Duration
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(uint64(nodes), 3))
		const tick = 10 * time.Millisecond
		perTick := targetRequests * int(tick) / int(time.Second)
		for range int(lasts / tick) {
			time.Sleep(tick)
			for range perTick {
				n, works, claims := w.nodes[rng.IntN(nodes)], time.Duration(rng.Int64N(int64(2*time.Second))), rng.IntN(claimShare) == 0
				wg.Go(func() {
					bill := Bill{ID: uuid.Must(uuid.NewV7()).String(), Customer: "c", Model: "small", Version: "v1"}
					if claims {
						began := time.Now()
						result, err := n.ledger.Claim(w.ctx, bill.ID, "c", 1)
						took := time.Since(began)
						mu.Lock()
						claimed = append(claimed, took)
						if err != nil {
							f.failed++
						}
						mu.Unlock()
						defer n.ledger.Finish(result.Ticket, call.Ran, nil)
					}
					began := time.Now()
					n.ledger.Open(bill)
					opened := time.Since(began)
					time.Sleep(works)
					began = time.Now()
					_, err := n.ledger.Close(w.ctx, bill)
					took := time.Since(began)
					mu.Lock()
					defer mu.Unlock()
					f.openMax = max(f.openMax, opened)
					billed = append(billed, took)
					if err != nil {
						f.failed++
					}
				})
			}
		}
		seconds := lasts.Seconds()
		commits, chunks := w.store.written()
		f.writesPerSecond = float64(commits) / seconds
		bytes := 0
		for _, c := range chunks {
			bytes += len(c.Value)
		}
		f.kilobytesPerSecond = float64(bytes) / seconds / 1000
		f.messagesPerSecond = float64(w.messages.Load()) / seconds
		wg.Wait()
		f.claimP95, f.billP95 = p95(claimed), p95(billed)
		w.shutDown()
	})
	return f
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// TestLoadAtTargetRate measures the store's writes and what the ledger makes
// requests wait, at the target's load on 9 to 360 nodes.
func TestLoadAtTargetRate(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	var first, last loadResult
	for _, nodes := range []int{9, 36, 120, 360} {
		f := runLoad(t, nodes, loadDuration)
		t.Logf("Nodes=%d WritesPerSecond=%.1f KilobytesPerSecond=%.0f MessagesPerSecond=%.0f ClaimP95=%s BillP95=%s",
			nodes, f.writesPerSecond, f.kilobytesPerSecond, f.messagesPerSecond, f.claimP95, f.billP95)
		is := is.New(t)
		is.Equal(f.failed, 0)
		is.True(f.writesPerSecond <= bounds["WritesPerSecond"])
		is.True(f.claimP95.Seconds()*1000 <= bounds["ClaimP95Milliseconds"])
		is.True(f.billP95.Seconds()*1000 <= bounds["BillP95Milliseconds"])
		is.True(f.openMax.Seconds()*1000 <= bounds["OpenMilliseconds"])
		if first.writesPerSecond == 0 {
			first = f
		}
		last = f
	}
	if last.writesPerSecond > first.writesPerSecond*(1+bounds["WritesGrowth"]) {
		t.Errorf("writes grow with the nodes: %.1f a second at 9, %.1f at 360", first.writesPerSecond, last.writesPerSecond)
	}
}

// TestStoreSizeAfterOneDay folds the log of one shard until it is as large as it
// gets with a window of two hours, at two rates, and takes the store's size at
// the target with the full window from the slopes.
func TestStoreSizeAfterOneDay(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	const rates = 2 // requests a second
	w := DefaultRetention()
	w.Claims = 2 * time.Hour
	low, high := storedBytes(t, 1, w), storedBytes(t, 1+rates, w)
	w.Claims = 4 * time.Hour
	longer := storedBytes(t, 1+rates, w)
	perRate := float64(high-low) / rates
	perRateHour := float64(longer-high) / (1 + rates) / 2
	hours := DefaultRetention().Claims.Hours()
	atRate := perRate + perRateHour*(hours-2)
	megabytes := atRate * targetRequests / 1e6
	t.Logf("BytesPerRequestRate=%.0f BytesPerRequestRateHour=%.0f StoreMegabytes=%.0f", perRate, perRateHour, megabytes)
	if megabytes > bounds["StoreMegabytes"] {
		t.Errorf("the store holds %.0f MB after a day, bound %.0f", megabytes, bounds["StoreMegabytes"])
	}
}

// storedBytes returns the bytes that a shard keeps at a rate of requests a
// second, one in claimShare of them claimed.
func storedBytes(t *testing.T, rate int, w Retention) int {
	t.Helper()
	const step = time.Minute
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	l := &shardLog{state: newState(w), storedBuckets: map[int64]bool{}, changedBuckets: map[int64]bool{}}
	stored := map[string]int{}
	now, number := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), 0
	for range int((w.Claims + time.Hour) / step) {
		now = now.Add(step)
		c := Chunk{Sequence: l.state.nextSequence, At: now}
		for range rate * int(step/time.Second) {
			number++
			c.Records = append(c.Records, requestRecords(rng, number, now)...)
		}
		l.apply(&c, 0)
		r, err := l.prepareRollup(0, now)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range r.txn.Delete {
			for key := range stored {
				if key >= s.From && key < s.To {
					delete(stored, key)
				}
			}
		}
		for _, p := range r.txn.Put {
			stored[p.Key] = len(p.Key) + len(p.Value)
		}
		l.finishRollup(r, 1)
	}
	total := 0
	for _, n := range stored {
		total += n
	}
	return total
}

// requestRecords are the records of one request.
func requestRecords(rng *rand.Rand, number int, now time.Time) []Record {
	origin := Origin{"i" + strconv.Itoa(number%360), 1}
	id := fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	b := Bill{ID: id, Customer: "c" + strconv.Itoa(number%100), OpenedAt: now}
	closing := Record{Kind: KindClose, Origin: origin, Number: uint64(number/360 + 1), At: now, Bill: &b}
	if number%claimShare != 0 {
		return []Record{closing}
	}
	claim := Claim{ID: id, Customer: b.Customer, BodyHash: rng.Uint64(), Nonce: fmt.Sprintf("i1/1/%016x", rng.Uint64())}
	finish := Finish{ID: id, Customer: b.Customer, Nonce: claim.Nonce, Outcome: call.Ran}
	return []Record{
		{Kind: KindClaim, Origin: origin, At: now, Claim: &claim}, closing,
		{Kind: KindFinish, Origin: origin, At: now, Finish: &finish},
	}
}

// TestRollingRestart stops and replaces nine nodes one after another while
// requests go on. None is cut, and every bill is in the ledger once.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(11, 9)
		var cut, billed atomic.Int64
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(11, 3))
		stop := make(chan struct{})
		var live sync.Mutex // guards w.nodes and the arrivals at them
		active := map[*instance]*sync.WaitGroup{}
		for _, n := range w.nodes {
			active[n] = new(sync.WaitGroup)
		}
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				live.Lock()
				n := w.nodes[rng.IntN(9)]
				for n.member.State != board.MemberAlive {
					n = w.nodes[rng.IntN(9)]
				}
				requests := active[n]
				requests.Add(1)
				live.Unlock()
				wg.Go(func() {
					defer requests.Done()
					bill := Bill{ID: fmt.Sprint("r", i), Customer: "c"}
					if i%claimShare == 0 {
						if result, err := n.ledger.Claim(w.ctx, bill.ID, "c", 1); err != nil || result.State != ClaimGranted {
							cut.Add(1)
						}
					}
					n.ledger.Open(bill)
					time.Sleep(2 * time.Second)
					if _, err := n.ledger.Close(w.ctx, bill); err != nil {
						cut.Add(1)
						return
					}
					billed.Add(1)
				})
			}
		})
		for i := range 9 {
			time.Sleep(3 * time.Second)
			live.Lock()
			old := w.nodes[i]
			old.member.State = board.MemberLeaving
			if i%2 == 0 { // the others learn of it only when it is gone
				w.publishMembers()
			}
			live.Unlock()
			is.NoErr(old.keeper.Drain(w.ctx))
			active[old].Wait()
			old.holder.HandOver()
			is.NoErr(old.ledger.Flush(w.ctx))
			old.kill()
			live.Lock()
			fresh := w.newInstance(i, 2)
			w.nodes[i] = fresh
			w.add(fresh)
			active[fresh] = new(sync.WaitGroup)
			w.publishMembers()
			fresh.start()
			live.Unlock()
		}
		close(stop)
		wg.Wait()
		time.Sleep(10 * time.Second)
		audit, err := ReadAudit(context.Background(), w.store, testRetention())
		is.NoErr(err)
		is.Equal(len(audit.Totals), 1)
		lost := billed.Load() - int64(audit.Totals[0].Bills)
		t.Logf("Requests=%d Cut=%d Lost=%d", billed.Load(), cut.Load(), lost)
		is.True(billed.Load() > 1000)
		is.True(float64(cut.Load()) <= bounds["RestartCut"])
		is.Equal(float64(lost), bounds["RestartLost"])
		w.shutDown()
	})
}

// TestRollUpUnderLoad keeps one shard busy without a break; its chunks must be
// rolled up all the same.
func TestRollUpUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(12, 1)
		defer w.shutDown()
		var wg sync.WaitGroup
		for range 6000 {
			time.Sleep(5 * time.Millisecond)
			bill := Bill{ID: sameShard("r"), Customer: "c" + strconv.Itoa(w.rng.IntN(1<<30))}
			for ShardOf(bill.Customer, bill.ID) != 0 {
				bill.Customer = "c" + strconv.Itoa(w.rng.IntN(1<<30))
			}
			wg.Go(func() { _, _ = w.nodes[0].ledger.Close(w.ctx, bill) })
		}
		audit, err := ReadAudit(context.Background(), w.store, testRetention())
		is.NoErr(err)
		is.True(audit.Shards[0].Last > 300)
		is.True(audit.Shards[0].Chunks < 200) // the rest is rolled up
		wg.Wait()
	})
}
