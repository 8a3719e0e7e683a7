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

// bound reads one line of testdata/bounds.txt.
func bound(t testing.TB, key string) time.Duration {
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

// storm is a fleet of which a tenth is down at any time, with a slow store and
// messages that get lost.
type storm struct {
	*world
	took    []time.Duration
	pending map[*node]time.Time
	late    int
	reverts int
}

func newStorm(seed uint64, instances, dataCentres int) *storm {
	s := &storm{world: newWorld(seed, instances, dataCentres), pending: map[*node]time.Time{}}
	s.run(10 * time.Second)
	s.loss, s.slow = 0.05, 500*time.Millisecond
	return s
}

// restartSome keeps about a tenth of the instances down.
func (s *storm) restartSome() {
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

// change makes one accepted edit and expects it everywhere. Every second time
// the instance that made it stops at once.
func (s *storm) change(id int) {
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

// observe notes which instances have the newest document by now.
func (s *storm) observe(limit time.Duration) {
	now := s.clock.Now()
	for _, n := range s.instances {
		doc := n.board.Configuration.Get()
		if doc == nil {
			continue
		}
		if doc.Revision < n.highest {
			s.reverts++
		}
		n.highest = doc.Revision
		since, waiting := s.pending[n]
		switch {
		case !waiting:
		case doc.StoreRevision() >= s.current.mod:
			s.took = append(s.took, now.Sub(since))
			delete(s.pending, n)
		case now.Sub(since) > limit:
			s.late++
			delete(s.pending, n)
		}
	}
}

// measureInForce makes changes in a storm and returns how long they took.
func measureInForce(seed uint64, instances, dataCentres, changes int, limit time.Duration) *storm {
	s := newStorm(seed, instances, dataCentres)
	for id := range changes {
		s.change(id)
		for range int(5 * time.Second / tick) {
			s.restartSome()
			s.run(tick)
			s.observe(limit)
		}
	}
	slices.Sort(s.took)
	return s
}

func (s *storm) quantile(q float64) time.Duration {
	return s.took[int(q*float64(len(s.took)-1))]
}

var stormSizes = []struct{ instances, dataCentres, changes int }{{9, 3, 100}, {72, 16, 20}}

// TestInForce expects an accepted change on every instance that stays up
// within the bound, with 5% of messages lost, a tenth of the instances
// restarting and a store that answers half a second late.
func TestInForce(t *testing.T) {
	limit := bound(t, "InForceSeconds")
	for _, size := range stormSizes {
		is := is.New(t)
		s := measureInForce(7, size.instances, size.dataCentres, size.changes, limit)
		t.Logf("%d instances: %d times, median %v, 99%% %v, longest %v, late %d, reverts %d",
			size.instances, len(s.took), s.quantile(0.5), s.quantile(0.99), s.quantile(1), s.late, s.reverts)
		is.Equal(s.late, 0)
		is.Equal(s.reverts, 0)
		is.True(len(s.took) > size.changes*size.instances/2)
	}
}

// BenchmarkInForce reports the same figures, and the reads of the store beside
// those of a fleet in which every instance asks the store each second.
func BenchmarkInForce(b *testing.B) {
	for _, size := range stormSizes {
		b.Run(strconv.Itoa(size.instances), func(b *testing.B) {
			for range b.N {
				s := measureInForce(7, size.instances, size.dataCentres, size.changes, MaxApplyDelay)
				seconds := s.clock.Now().Sub(s.history[0].at).Seconds()
				b.ReportMetric(s.quantile(0.5).Seconds(), "s/median")
				b.ReportMetric(s.quantile(1).Seconds(), "s/longest")
				b.ReportMetric(float64(s.late), "late")
				b.ReportMetric(float64(s.reads)/seconds, "reads/s")
				b.ReportMetric(float64(size.instances), "reads/s-if-all-poll")
			}
		})
	}
}

// TestOutage keeps the store down for an hour, in which instances restart, and
// expects all to go on, edits to be refused as not done, and an edit made on
// the store's return everywhere within the bound.
func TestOutage(t *testing.T) {
	is := is.New(t)
	limit := bound(t, "ConvergenceSeconds")
	w := newWorld(3, 9, 3)
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

// TestNewerFormat lets a newer program write: instances that cannot read it
// keep what they have and take no more work. A corrupted document changes
// nothing.
func TestNewerFormat(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 3)
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
	is.Equal(n.board.Confirmation.Get().Reason, reasonNewer)
	restored, err := n.editor.Restore(context.Background(), Edit{ID: "r"})
	is.NoErr(err)
	w.run(3 * time.Second)
	is.Equal(n.controller.revision(), restored)
	is.True(n.board.Confirmation.Get().AllowsNewWork(w.clock.Now()))
}
