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

// readBound reads one line of testdata/bounds.txt.
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

// faultyFleet is a fleet of which a tenth is down at any time, with a slow store and
// messages that get lost.
type faultyFleet struct {
	*fleet
	delays      []time.Duration
	pending     map[*instance]time.Time
	overdue     int
	regressions int
}

func newFaultyFleet(seed uint64, instances, dataCentres int) *faultyFleet {
	s := &faultyFleet{fleet: newFleet(seed, instances, dataCentres), pending: map[*instance]time.Time{}}
	s.run(10 * time.Second)
	s.messageLoss, s.storeDelay = 0.05, 500*time.Millisecond
	return s
}

// injectRestart keeps about a tenth of the instances down.
func (s *faultyFleet) injectRestart() {
	const meanDown = 3.5 // seconds
	chance := 0.1 * float64(len(s.instances)) / meanDown * tick.Seconds()
	if s.rng.Float64() > chance {
		return
	}
	n := s.instances[s.rng.IntN(len(s.instances))]
	if !n.isUp() {
		return
	}
	n.start()
	n.downUntil = s.clock.Now().Add(2*time.Second + time.Duration(s.rng.IntN(3000))*time.Millisecond)
	delete(s.pending, n)
}

// commitChange makes one accepted edit and expects it everywhere. Every second time
// the instance that made it stops at once.
func (s *faultyFleet) commitChange(id int) {
	for {
		n := s.instances[s.rng.IntN(len(s.instances))]
		doc := n.board.Configuration.Get()
		if !n.isUp() || doc == nil {
			continue
		}
		preset := doc.Presets[(id+1)%len(doc.Presets)].Name
		if _, err := n.editor.Change(context.Background(), Edit{ID: fmt.Sprint("c", id)}, setPreset(preset)); err != nil {
			continue
		}
		if id%2 == 1 {
			// The instance stops before it has told anybody.
			n.start()
			n.downUntil = s.clock.Now().Add(3 * time.Second)
		}
		break
	}
	for _, n := range s.instances {
		if n.isUp() && n.board.Configuration.Get() != nil {
			s.pending[n] = s.current.at
		}
	}
}

// recordDelays notes which instances have the newest document by now.
func (s *faultyFleet) recordDelays(limit time.Duration) {
	now := s.clock.Now()
	for _, n := range s.instances {
		doc := n.board.Configuration.Get()
		if doc == nil {
			continue
		}
		if doc.Revision < n.highestRevision {
			s.regressions++
		}
		n.highestRevision = doc.Revision
		since, waiting := s.pending[n]
		switch {
		case !waiting:
		case doc.StoreRevision() >= s.current.mod:
			s.delays = append(s.delays, now.Sub(since))
			delete(s.pending, n)
		case now.Sub(since) > limit:
			s.overdue++
			delete(s.pending, n)
		}
	}
}

// measureApplyDelay makes changes in a storm and returns how long they took.
func measureApplyDelay(seed uint64, instances, dataCentres, changes int, limit time.Duration) *faultyFleet {
	s := newFaultyFleet(seed, instances, dataCentres)
	for id := range changes {
		s.commitChange(id)
		for range int(5 * time.Second / tick) {
			s.injectRestart()
			s.run(tick)
			s.recordDelays(limit)
		}
	}
	slices.Sort(s.delays)
	return s
}

func (s *faultyFleet) quantile(q float64) time.Duration {
	return s.delays[int(q*float64(len(s.delays)-1))]
}

var fleetSizes = []struct{ instances, dataCentres, changes int }{{9, 3, 100}, {72, 16, 20}}

// TestApplyDelay expects an accepted change on every instance that stays up
// within the bound, with 5% of messages lost, a tenth of the instances
// restarting and a store that answers half a second late.
func TestApplyDelay(t *testing.T) {
	limit := readBound(t, "InForceSeconds")
	for _, size := range fleetSizes {
		is := is.New(t)
		s := measureApplyDelay(7, size.instances, size.dataCentres, size.changes, limit)
		t.Logf("%d instances: %d times, median %v, 99%% %v, longest %v, late %d, reverts %d",
			size.instances, len(s.delays), s.quantile(0.5), s.quantile(0.99), s.quantile(1), s.overdue, s.regressions)
		is.Equal(s.overdue, 0)
		is.Equal(s.regressions, 0)
		is.True(len(s.delays) > size.changes*size.instances/2)
	}
}

// BenchmarkApplyDelay reports the same figures, and the reads of the store beside
// those of a fleet in which every instance asks the store each second.
func BenchmarkApplyDelay(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(strconv.Itoa(size.instances), func(b *testing.B) {
			for range b.N {
				s := measureApplyDelay(7, size.instances, size.dataCentres, size.changes, MaxApplyDelay)
				seconds := s.clock.Now().Sub(s.history[0].at).Seconds()
				b.ReportMetric(s.quantile(0.5).Seconds(), "s/median")
				b.ReportMetric(s.quantile(1).Seconds(), "s/longest")
				b.ReportMetric(float64(s.overdue), "late")
				b.ReportMetric(float64(s.reads)/seconds, "reads/s")
				b.ReportMetric(float64(size.instances), "reads/s-if-all-poll")
			}
		})
	}
}

// TestStoreOutage keeps the store down for an hour, in which instances restart, and
// expects all to go on, edits to be refused as not done, and an edit made on
// the store's return everywhere within the bound.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	limit := readBound(t, "ConvergenceSeconds")
	w := newFleet(3, 9, 3)
	w.run(10 * time.Second)
	w.storeDown = true
	w.run(5 * time.Second)
	for minute := range 60 {
		if minute%10 == 5 {
			w.instances[minute%9].start()
		}
		w.run(time.Minute)
		for _, n := range w.instances {
			is.True(n.board.Confirmation.Get().AllowsNewWork(w.clock.Now()))
		}
	}
	_, err := w.instances[0].editor.Change(context.Background(), Edit{ID: "x"}, setPreset("Peak"))
	is.True(err != nil)
	is.Equal(w.current.mod, int64(1))

	w.storeDown = false
	w.edit(is, "a", "Maintenance")
	w.run(limit)
	for _, n := range w.instances {
		is.Equal(n.board.Configuration.Get().Preset, "Maintenance")
		is.True(w.clock.Now().Sub(n.board.Confirmation.Get().StoreConfirmedAt) < 2*limit)
	}
}

// TestUnreadableDocuments lets a newer program write: instances that cannot read it
// keep what they have and take no more work. A corrupted document changes
// nothing.
func TestUnreadableDocuments(t *testing.T) {
	is := is.New(t)
	w := newFleet(1, 3, 3)
	w.run(3 * time.Second)
	w.write(w.current.mod, []byte("{broken"))
	w.run(10 * time.Second)
	for _, n := range w.instances {
		is.Equal(n.controller.revision(), int64(1))
		is.True(n.board.Confirmation.Get().AllowsNewWork(w.clock.Now()))
	}
	doc := &configuration.Document{FormatVersion: configuration.FormatVersion + 1}
	value, err := doc.Encode()
	is.NoErr(err)
	w.write(w.current.mod, value)
	w.run(3 * time.Second)
	n := w.instances[0]
	is.Equal(n.controller.revision(), int64(1))
	is.Equal(n.board.Confirmation.Get().Reason, reasonNewerFormat)
	restored, err := n.editor.Restore(context.Background(), Edit{ID: "r"})
	is.NoErr(err)
	w.run(3 * time.Second)
	is.Equal(n.controller.revision(), restored)
	is.True(n.board.Confirmation.Get().AllowsNewWork(w.clock.Now()))
}
