package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	standinstore "github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// Times of a measurement.
const (
	observeInterval = 2 * time.Millisecond
	joinTimeout     = 60 * time.Second
	sampleInterval  = time.Second
)

// Measure runs one fleet and returns what it costs.
func Measure(ctx context.Context, settings Settings) (Result, error) {
	result := Result{Instances: settings.Instances}
	f, err := newFleet(settings)
	if err != nil {
		return result, err
	}
	defer f.close()
	before := memory()
	if err := f.measureStart(ctx, &result); err != nil {
		return result, err
	}
	f.measureIdle(ctx, &result)
	result.MemoryBytes = (memory() - before) / float64(settings.Instances)
	err = f.measureChanges(ctx, &result)
	return result, err
}

// memory returns the live heap and stacks in bytes.
func memory() float64 {
	// The second collection empties the pools.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measureStart starts all instances at once, samples the store's calls in each
// second, and waits until all instances see each other.
func (f *fleet) measureStart(ctx context.Context, result *Result) error {
	last := f.store.Counts()
	if err := f.startAll(); err != nil {
		return err
	}
	deadline := time.Now().Add(joinTimeout)
	settled := time.Now().Add(f.settings.Settle)
	for time.Now().Before(settled) || f.joined() < f.settings.Instances {
		if time.Now().After(deadline) {
			return fmt.Errorf("%v: an instance sees %d members after %v", f.settings, f.joined(), joinTimeout)
		}
		sleep(ctx, sampleInterval)
		now := f.store.Counts()
		result.StartReads = max(result.StartReads, int(now.Range+now.Watch-last.Range-last.Watch))
		result.StartWrites = max(result.StartWrites, int(writes(now)-writes(last)))
		last = now
	}
	result.JoinedMembers = f.joined()
	return ctx.Err()
}

func writes(c standinstore.Counts) int64 {
	return c.Txn + c.Put + c.DeleteRange + c.LeaseGrant + c.KeepAlive + c.Revoke
}

// joined returns the least number of ready members that an instance sees, 0 if
// an instance is not ready.
func (f *fleet) joined() int {
	least := len(f.instances)
	for _, in := range f.instances {
		members := in.board.Members.Get()
		if members == nil || !in.board.Confirmation.Get().AllowsNewWork(time.Now()) {
			return 0
		}
		least = min(least, len(members.List))
	}
	return least
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// usage is what was used up to a moment.
type usage struct {
	at        time.Time
	cpu       time.Duration
	peerBytes int64
	peerCalls int64
	listBytes int64
	loadBytes int64
	store     standinstore.Counts
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:        time.Now(),
		cpu:       time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		peerBytes: f.peerTraffic.bytes.Load(),
		peerCalls: f.peerTraffic.calls.Load(),
		listBytes: f.listTraffic.bytes.Load(),
		loadBytes: f.loadBytes.Load(),
		store:     f.store.Counts(),
	}
}

// measureIdle measures while nothing changes.
func (f *fleet) measureIdle(ctx context.Context, result *Result) {
	goroutines := runtime.NumGoroutine()
	first := f.usage()
	sleep(ctx, f.settings.Window)
	last := f.usage()
	seconds := last.at.Sub(first.at).Seconds()
	n := float64(f.settings.Instances)
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	result.CoreShare = (last.cpu - first.cpu).Seconds() / seconds / n
	// Both ends of a connection between instances are instances.
	const ends = 2
	result.PeerBytes = ends * rate(first.peerBytes, last.peerBytes) / n
	result.PeerCalls = ends * rate(first.peerCalls, last.peerCalls) / n
	result.LoadBytes = rate(first.loadBytes, last.loadBytes) / n
	result.ListBytes = rate(first.listBytes, last.listBytes)/n - result.LoadBytes
	result.StoreReads = rate(first.store.Range+first.store.Watch, last.store.Range+last.store.Watch)
	result.StoreWrites = rate(writes(first.store), writes(last.store))
	result.StoreWatches = int(last.store.Watching)
	result.Goroutines = float64(goroutines) / n
}

// measureChanges makes changes and times them until every instance that ran
// throughout has them in force.
func (f *fleet) measureChanges(ctx context.Context, result *Result) error {
	rng := rand.New(rand.NewPCG(7, 7))
	for id := range f.settings.Changes {
		restarted := f.chooseRestarts(rng)
		revision, accepted, err := f.change(ctx, id, rng)
		if err != nil {
			return err
		}
		var old []*instance
		for i, in := range f.instances {
			if !slices.Contains(restarted, i) {
				old = append(old, in)
			}
		}
		done := make(chan error, 1)
		go func() {
			for _, i := range restarted {
				if err := f.restart(i); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
		f.observe(ctx, old, revision, accepted, result)
		if err := <-done; err != nil {
			return err
		}
		sleep(ctx, sampleInterval)
	}
	slices.Sort(result.InForce)
	return ctx.Err()
}

// chooseRestarts draws which instances restart during a change.
func (f *fleet) chooseRestarts(rng *rand.Rand) []int {
	n := int(f.settings.RestartShare * float64(len(f.instances)))
	if f.settings.RestartShare > 0 {
		n = max(n, 1)
	}
	return rng.Perm(len(f.instances))[:n]
}

// change edits the configuration through some instance.
func (f *fleet) change(ctx context.Context, id int, rng *rand.Rand) (revision int64, accepted time.Time, err error) {
	preset := []string{"Peak", "Ordinary"}[id%2]
	for range f.settings.Instances {
		in := f.instances[rng.IntN(len(f.instances))]
		edit := distribution.Edit{ID: fmt.Sprint("change-", id), Operator: "measure", Summary: preset}
		revision, err = in.editor.Change(ctx, edit, func(d *configuration.Document) error {
			d.Preset = preset
			return nil
		})
		if err == nil {
			return revision, time.Now(), nil
		}
	}
	return 0, time.Time{}, fmt.Errorf("change %d: %w", id, err)
}

// observe waits until all instances have a revision, or the bound has passed.
func (f *fleet) observe(ctx context.Context, instances []*instance, revision int64, accepted time.Time, result *Result) {
	highest := make(map[*instance]int64, len(instances))
	for {
		missing := 0
		for _, in := range instances {
			has := in.board.Configuration.Get().Revision
			if has < highest[in] {
				result.Reverts++
			}
			highest[in] = has
			if has < revision {
				missing++
			}
		}
		took := time.Since(accepted)
		if missing == 0 || took > distribution.MaxApplyDelay || ctx.Err() != nil {
			result.Late += missing
			result.InForce = append(result.InForce, took)
			return
		}
		sleep(ctx, observeInterval)
	}
}
