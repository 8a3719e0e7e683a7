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
	targetRequests = 3900 // per second
	// claimShare means that one in claimShare requests makes a claim.
	claimShare = 20
)

// loadResult holds the measurements of one run at the target load.
type loadResult struct {
	writesPerSecond, kilobytesPerSecond, messagesPerSecond float64
	claimP95, billP95, openMax                             time.Duration
	failed                                                 int
}

// runLoad applies the target load to the given number of instances for a period
// of virtual time.
func runLoad(t testing.TB, instances int, period time.Duration) (res loadResult) {
	synctest.Test(t.(*testing.T), func(*testing.T) {
		fl := newFleet(uint64(instances), instances)
		var mu sync.Mutex
		var claimed, billed []time.Duration
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(uint64(instances), 3))
		const tick = 10 * time.Millisecond
		perTick := targetRequests * int(tick) / int(time.Second)
		for range int(period / tick) {
			time.Sleep(tick)
			for range perTick {
				inst, execution, claims := fl.instances[rng.IntN(instances)], time.Duration(rng.Int64N(int64(2*time.Second))), rng.IntN(claimShare) == 0
				wg.Go(func() {
					bill := Bill{ID: uuid.Must(uuid.NewV7()).String(), Customer: "c", Model: "small", Version: "v1"}
					if claims {
						start := time.Now()
						result, err := inst.ledger.Claim(fl.ctx, bill.ID, "c", 1)
						took := time.Since(start)
						mu.Lock()
						claimed = append(claimed, took)
						if err != nil {
							res.failed++
						}
						mu.Unlock()
						defer inst.ledger.Finish(result.Ticket, call.Ran, nil)
					}
					start := time.Now()
					inst.ledger.Open(bill)
					opened := time.Since(start)
					time.Sleep(execution)
					start = time.Now()
					_, err := inst.ledger.Close(fl.ctx, bill)
					took := time.Since(start)
					mu.Lock()
					defer mu.Unlock()
					res.openMax = max(res.openMax, opened)
					billed = append(billed, took)
					if err != nil {
						res.failed++
					}
				})
			}
		}
		seconds := period.Seconds()
		commits, chunks := fl.store.written()
		res.writesPerSecond = float64(commits) / seconds
		bytes := 0
		for _, c := range chunks {
			bytes += len(c.Value)
		}
		res.kilobytesPerSecond = float64(bytes) / seconds / 1000
		res.messagesPerSecond = float64(fl.messages.Load()) / seconds
		wg.Wait()
		res.claimP95, res.billP95 = p95(claimed), p95(billed)
		fl.shutDown()
	})
	return res
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// TestLoadAtTargetRate measures the store writes, and the latency that the
// ledger adds to requests, at the target load with 9 to 360 instances.
func TestLoadAtTargetRate(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	var first, last loadResult
	for _, instances := range []int{9, 36, 120, 360} {
		res := runLoad(t, instances, loadDuration)
		t.Logf("Nodes=%d WritesPerSecond=%.1f KilobytesPerSecond=%.0f MessagesPerSecond=%.0f ClaimP95=%s BillP95=%s",
			instances, res.writesPerSecond, res.kilobytesPerSecond, res.messagesPerSecond, res.claimP95, res.billP95)
		is := is.New(t)
		is.Equal(res.failed, 0)
		is.True(res.writesPerSecond <= bounds["WritesPerSecond"])
		is.True(res.claimP95.Seconds()*1000 <= bounds["ClaimP95Milliseconds"])
		is.True(res.billP95.Seconds()*1000 <= bounds["BillP95Milliseconds"])
		is.True(res.openMax.Seconds()*1000 <= bounds["OpenMilliseconds"])
		if first.writesPerSecond == 0 {
			first = res
		}
		last = res
	}
	if last.writesPerSecond > first.writesPerSecond*(1+bounds["WritesGrowth"]) {
		t.Errorf("writes grow with the instances: %.1f a second at 9, %.1f at 360", first.writesPerSecond, last.writesPerSecond)
	}
}

// TestStoreSizeAfterOneDay bounds the size of the store after one day at the
// target load. Building a full log would take too long, so the test measures
// one shard at two request rates with retention periods of two and four hours
// and extrapolates linearly.
func TestStoreSizeAfterOneDay(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	const rates = 2 // requests per second
	retention := DefaultRetention()
	retention.Claims = 2 * time.Hour
	low, high := storedBytes(t, 1, retention), storedBytes(t, 1+rates, retention)
	retention.Claims = 4 * time.Hour
	longer := storedBytes(t, 1+rates, retention)
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

// storedBytes returns the bytes that a shard stores at the given rate of
// requests per second, of which one in claimShare makes a claim.
func storedBytes(t *testing.T, rate int, retention Retention) int {
	t.Helper()
	const step = time.Minute
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	l := &shardLog{state: newState(retention), storedBuckets: map[int64]bool{}, changedBuckets: map[int64]bool{}}
	stored := map[string]int{}
	now, number := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), 0
	for range int((retention.Claims + time.Hour) / step) {
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

// requestRecords returns the records of one request.
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

// TestRollingRestart replaces nine instances one after another under load. No
// request may fail, and every bill must be in the ledger exactly once.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	bounds := readBounds(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(11, 9)
		var cut, billed atomic.Int64
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(11, 3))
		stop := make(chan struct{})
		var live sync.Mutex // guards fl.instances and the start of requests
		active := map[*instance]*sync.WaitGroup{}
		for _, inst := range fl.instances {
			active[inst] = new(sync.WaitGroup)
		}
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				live.Lock()
				inst := fl.instances[rng.IntN(9)]
				for inst.member.State != board.MemberAlive {
					inst = fl.instances[rng.IntN(9)]
				}
				requests := active[inst]
				requests.Add(1)
				live.Unlock()
				wg.Go(func() {
					defer requests.Done()
					bill := Bill{ID: fmt.Sprint("r", i), Customer: "c"}
					if i%claimShare == 0 {
						if result, err := inst.ledger.Claim(fl.ctx, bill.ID, "c", 1); err != nil || result.State != ClaimGranted {
							cut.Add(1)
						}
					}
					inst.ledger.Open(bill)
					time.Sleep(2 * time.Second)
					if _, err := inst.ledger.Close(fl.ctx, bill); err != nil {
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
			old := fl.instances[i]
			old.member.State = board.MemberLeaving
			if i%2 == 0 { // otherwise the others learn of it only when the instance is gone
				fl.publishMembers()
			}
			live.Unlock()
			is.NoErr(old.keeper.Drain(fl.ctx))
			active[old].Wait()
			old.holder.HandOver()
			is.NoErr(old.ledger.Flush(fl.ctx))
			old.kill()
			live.Lock()
			fresh := fl.newInstance(i, 2)
			fl.instances[i] = fresh
			fl.add(fresh)
			active[fresh] = new(sync.WaitGroup)
			fl.publishMembers()
			fresh.start()
			live.Unlock()
		}
		close(stop)
		wg.Wait()
		time.Sleep(10 * time.Second)
		audit, err := ReadAudit(context.Background(), fl.store, testRetention())
		is.NoErr(err)
		is.Equal(len(audit.Totals), 1)
		lost := billed.Load() - int64(audit.Totals[0].Bills)
		t.Logf("Requests=%d Cut=%d Lost=%d", billed.Load(), cut.Load(), lost)
		is.True(billed.Load() > 1000)
		is.True(float64(cut.Load()) <= bounds["RestartCut"])
		is.Equal(float64(lost), bounds["RestartLost"])
		fl.shutDown()
	})
}

// TestRollUpUnderLoad checks that a shard is rolled up even if it is never
// idle.
func TestRollUpUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(12, 1)
		defer fl.shutDown()
		var wg sync.WaitGroup
		for range 6000 {
			time.Sleep(5 * time.Millisecond)
			bill := Bill{ID: sameShard("r"), Customer: "c" + strconv.Itoa(fl.rng.IntN(1<<30))}
			for ShardOf(bill.Customer, bill.ID) != 0 {
				bill.Customer = "c" + strconv.Itoa(fl.rng.IntN(1<<30))
			}
			wg.Go(func() { _, _ = fl.instances[0].ledger.Close(fl.ctx, bill) })
		}
		audit, err := ReadAudit(context.Background(), fl.store, testRetention())
		is.NoErr(err)
		is.True(audit.Shards[0].Last > 300)
		is.True(audit.Shards[0].Chunks < 200) // the rest is rolled up
		wg.Wait()
	})
}
