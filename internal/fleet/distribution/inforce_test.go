package distribution

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// readBound returns the duration under key in testdata/bounds.txt, which is in
// seconds.
func readBound(t testing.TB, key string) time.Duration {
	t.Helper()
	text, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && name == key {
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(seconds * float64(time.Second))
		}
	}
	t.Fatal("no bound", key)
	return 0
}

// faultyFleet is a fleet with a slow store and lost messages, in which about a
// tenth of the instances is down at any time.
type faultyFleet struct {
	*fleet
	// delays are the times from the acceptance of a change until an instance
	// applied it.
	delays []time.Duration
	// pending holds, for each instance that lacks the newest change, when that
	// change was accepted.
	pending     map[*instance]time.Time
	overdue     int
	regressions int
}

func newFaultyFleet(seed uint64, instances, dataCentres int) *faultyFleet {
	f := &faultyFleet{fleet: newFleet(seed, instances, dataCentres), pending: map[*instance]time.Time{}}
	f.run(10 * time.Second)
	f.messageLoss, f.storeDelay = 0.05, 500*time.Millisecond
	return f
}

// injectRestart restarts an instance at random, at a rate that keeps about a tenth
// of the instances down.
func (f *faultyFleet) injectRestart() {
	const meanDown = 3.5 // seconds
	chance := 0.1 * float64(len(f.instances)) / meanDown * tick.Seconds()
	if f.rng.Float64() > chance {
		return
	}
	in := f.instances[f.rng.IntN(len(f.instances))]
	if !in.isUp() {
		return
	}
	in.start()
	in.downUntil = f.clock.Now().Add(2*time.Second + time.Duration(f.rng.IntN(3000))*time.Millisecond)
	delete(f.pending, in)
}

// commitChange makes one edit that is accepted, and marks it as pending on every
// running instance. After every other edit, the instance that made it stops at
// once.
func (f *faultyFleet) commitChange(id int) {
	for {
		in := f.instances[f.rng.IntN(len(f.instances))]
		doc := in.board.Configuration.Get()
		if !in.isUp() || doc == nil {
			continue
		}
		preset := doc.Presets[(id+1)%len(doc.Presets)].Name
		if _, err := in.editor.Change(context.Background(), Edit{ID: fmt.Sprint("c", id)}, setPreset(preset)); err != nil {
			continue
		}
		if id%2 == 1 {
			// The instance stops before it has pushed the document to a peer.
			in.start()
			in.downUntil = f.clock.Now().Add(3 * time.Second)
		}
		break
	}
	for _, in := range f.instances {
		if in.isUp() && in.board.Configuration.Get() != nil {
			f.pending[in] = f.current.at
		}
	}
}

// recordDelays records which pending instances have applied the newest document,
// which are overdue, and which have returned to a lower revision.
func (f *faultyFleet) recordDelays(limit time.Duration) {
	now := f.clock.Now()
	for _, in := range f.instances {
		doc := in.board.Configuration.Get()
		if doc == nil {
			continue
		}
		if doc.Revision < in.highestRevision {
			f.regressions++
		}
		in.highestRevision = doc.Revision
		since, waiting := f.pending[in]
		switch {
		case !waiting:
		case doc.StoreRevision() >= f.current.mod:
			f.delays = append(f.delays, now.Sub(since))
			delete(f.pending, in)
		case now.Sub(since) > limit:
			f.overdue++
			delete(f.pending, in)
		}
	}
}

// measureApplyDelay makes changes in a faulty fleet and returns the fleet with the
// measured delays in ascending order.
func measureApplyDelay(seed uint64, instances, dataCentres, changes int, limit time.Duration) *faultyFleet {
	f := newFaultyFleet(seed, instances, dataCentres)
	for id := range changes {
		f.commitChange(id)
		for range int(5 * time.Second / tick) {
			f.injectRestart()
			f.run(tick)
			f.recordDelays(limit)
		}
	}
	slices.Sort(f.delays)
	return f
}

func (f *faultyFleet) quantile(q float64) time.Duration {
	return f.delays[int(q*float64(len(f.delays)-1))]
}

var fleetSizes = []struct{ instances, dataCentres, changes int }{{9, 3, 100}, {72, 16, 20}}

// TestApplyDelay checks that every instance that stays up applies an accepted
// change within the limit, with 5% of messages lost, a tenth of the instances
// restarting and a store whose answers are half a second old.
func TestApplyDelay(t *testing.T) {
	limit := readBound(t, "InForceSeconds")
	for _, size := range fleetSizes {
		is := is.New(t)
		f := measureApplyDelay(7, size.instances, size.dataCentres, size.changes, limit)
		t.Logf("%d instances: %d times, median %v, 99%% %v, longest %v, late %d, reverts %d",
			size.instances, len(f.delays), f.quantile(0.5), f.quantile(0.99), f.quantile(1), f.overdue, f.regressions)
		is.Equal(f.overdue, 0)
		is.Equal(f.regressions, 0)
		is.True(len(f.delays) > size.changes*size.instances/2)
	}
}

// BenchmarkApplyDelay reports the delays of TestApplyDelay, and the rate of reads
// from the store next to the rate at which every instance polls once a second.
func BenchmarkApplyDelay(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size.instances), func(b *testing.B) {
			for range b.N {
				f := measureApplyDelay(7, size.instances, size.dataCentres, size.changes, MaxApplyDelay)
				seconds := f.clock.Now().Sub(f.history[0].at).Seconds()
				b.ReportMetric(f.quantile(0.5).Seconds(), "s/median")
				b.ReportMetric(f.quantile(1).Seconds(), "s/longest")
				b.ReportMetric(float64(f.overdue), "late")
				b.ReportMetric(float64(f.reads)/seconds, "reads/s")
				b.ReportMetric(float64(size.instances), "reads/s-if-all-poll")
			}
		})
	}
}

// TestStoreOutage keeps the store down for an hour while instances restart. All
// instances must keep taking work, edits must fail without effect, and an edit
// made after the outage must be applied everywhere within the limit.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	limit := readBound(t, "ConvergenceSeconds")
	f := newFleet(3, 9, 3)
	f.run(10 * time.Second)
	f.storeDown = true
	f.run(5 * time.Second)
	for minute := range 60 {
		if minute%10 == 5 {
			f.instances[minute%9].start()
		}
		f.run(time.Minute)
		for _, in := range f.instances {
			is.True(in.board.Confirmation.Get().AllowsNewWork(f.clock.Now()))
		}
	}
	_, err := f.instances[0].editor.Change(context.Background(), Edit{ID: "x"}, setPreset("Peak"))
	is.True(err != nil)
	is.Equal(f.current.mod, int64(1))

	f.storeDown = false
	f.edit(is, "a", "Maintenance")
	f.run(limit)
	for _, in := range f.instances {
		is.Equal(in.board.Configuration.Get().Preset, "Maintenance")
		is.True(f.clock.Now().Sub(in.board.Confirmation.Get().StoreConfirmedAt) < 2*limit)
	}
}

// TestUnreadableDocuments stores a corrupted document, which instances must ignore,
// and then one in a newer format, on which they must keep their document but take
// no new work until an operator restores it.
func TestUnreadableDocuments(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 3)
	f.run(3 * time.Second)
	f.write(f.current.mod, []byte("{broken"))
	f.run(10 * time.Second)
	for _, in := range f.instances {
		is.Equal(in.controller.revision(), int64(1))
		is.True(in.board.Confirmation.Get().AllowsNewWork(f.clock.Now()))
	}
	doc := &configuration.Document{FormatVersion: configuration.FormatVersion + 1}
	value, err := doc.Encode()
	is.NoErr(err)
	f.write(f.current.mod, value)
	f.run(3 * time.Second)
	in := f.instances[0]
	is.Equal(in.controller.revision(), int64(1))
	is.Equal(in.board.Confirmation.Get().Reason, reasonNewerFormat)
	restored, err := in.editor.Restore(context.Background(), Edit{ID: "r"})
	is.NoErr(err)
	f.run(3 * time.Second)
	is.Equal(in.controller.revision(), restored)
	is.True(in.board.Confirmation.Get().AllowsNewWork(f.clock.Now()))
}
