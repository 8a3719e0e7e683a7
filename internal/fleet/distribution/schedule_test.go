package distribution

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// verdict is what an operator was told of one edit.
type verdict struct {
	Edit
	revision int64
	err      error
}

// schedule is one seeded run with its findings.
type schedule struct {
	*world
	edits    int
	verdicts []verdict
	faults   []string
	slowest  time.Duration
	applied  map[string]bool
}

func (s *schedule) faultf(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// operate lets one operator make a change through some instance. While it is
// between its read and its write, a second operator may come first.
func (s *schedule) operate(depth int) {
	n := s.instances[s.rng.IntN(len(s.instances))]
	doc := n.board.Configuration.Get()
	if !n.isUp() || doc == nil {
		return
	}
	s.edits++
	edit := Edit{ID: fmt.Sprintf("c%d", s.edits), Operator: "op", Summary: "preset"}
	if s.rng.IntN(2) == 0 {
		edit.Expected = doc.Revision
	}
	next := doc.Presets[s.rng.IntN(len(doc.Presets))].Name
	raced := false
	revision, err := n.editor.Change(context.Background(), edit, func(d *configuration.Document) error {
		if depth == 0 && !raced && s.rng.IntN(2) == 0 {
			raced = true
			s.operate(1)
		}
		d.Preset = next
		return nil
	})
	s.verdicts = append(s.verdicts, verdict{edit, revision, err})
}

// disturb brings about one fault, or ends one.
func (s *schedule) disturb() {
	now := s.clock.Now()
	n := s.instances[s.rng.IntN(len(s.instances))]
	dataCentre := s.instances[s.rng.IntN(len(s.instances))].dataCentre
	switch s.rng.IntN(10) {
	case 0:
		n.start()
		n.downUntil = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	case 1:
		n.pausedTo = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	case 2:
		s.cut[dataCentre] = !s.cut[dataCentre]
		s.unsettle()
	case 3:
		s.storeCut[dataCentre] = !s.storeCut[dataCentre]
		s.unsettle()
	case 4:
		s.storeDown = !s.storeDown
		s.unsettle()
	case 5:
		clear(s.cut)
		clear(s.storeCut)
		s.storeDown = false
		for _, o := range s.instances {
			o.isolated = false
		}
		s.unsettle()
	case 6:
		s.replay(n)
	case 7:
		n.isolated = !n.isolated
		s.unsettle()
	default:
		s.operate(0)
	}
}

// unsettle restarts the time from which in-force is expected of everybody.
func (s *schedule) unsettle() {
	for _, n := range s.instances {
		n.stableSince = s.clock.Now()
	}
}

// replay pushes an old document, a corrupted one and one of a newer program.
func (s *schedule) replay(n *node) {
	old := s.history[s.rng.IntN(len(s.history))]
	for _, offered := range [][]byte{old.value, []byte("{"), []byte(`{"FormatVersion":1,"Preset":""}`)} {
		_, _ = n.controller.Configuration(context.Background(), &peer.ConfigurationRequest{Document: offered, DocumentRevision: old.mod})
	}
}

// isConnected reports whether an instance hears of changes: some instance that
// it reaches, itself included, reaches the store.
func (s *schedule) isConnected(n *node) bool {
	for _, o := range s.instances {
		if n.reaches(o) && o.reachesStore() {
			return true
		}
	}
	return false
}

// check looks at every instance after one step.
func (s *schedule) check() {
	now := s.clock.Now()
	for _, n := range s.instances {
		doc := n.board.Configuration.Get()
		if !n.isUp() || doc == nil {
			continue
		}
		if doc.Revision < n.highest {
			s.faultf("%s went back from %d to %d", n.name, n.highest, doc.Revision)
		}
		n.highest = doc.Revision
		if known, ok := s.byRev[doc.Revision]; ok && known != doc.Preset {
			s.faultf("revision %d has presets %s and %s", doc.Revision, known, doc.Preset)
		}
		s.byRev[doc.Revision] = doc.Preset
		s.checkReady(n, now)
		s.checkInForce(n, doc, now)
	}
}

// checkReady looks whether an instance that heard of nobody takes no new work,
// and whether one that is well takes it.
func (s *schedule) checkReady(n *node, now time.Time) {
	allowed := n.board.Confirmation.Get().AllowsNewWork(now)
	alone := !n.reachesStore()
	for _, o := range s.instances {
		alone = alone && (o == n || !n.reaches(o))
	}
	if !alone {
		n.reachedAt = now
	}
	if allowed && now.Sub(n.reachedAt) > MaxApplyDelay {
		s.faultf("%s takes work %v after it last reached anybody", n.name, now.Sub(n.reachedAt))
	}
	well := len(s.cut) == 0 && now.Sub(n.stableSince) > 2*MaxApplyDelay && now.Sub(n.pausedTo) > 2*MaxApplyDelay && now.Sub(n.downUntil) > 2*MaxApplyDelay
	if well && !allowed && s.isConnected(n) {
		s.faultf("%s takes no work: %s", n.name, n.board.Confirmation.Get().Reason)
	}
}

// checkInForce looks whether the newest accepted document is in force on an
// instance in time.
func (s *schedule) checkInForce(n *node, doc *configuration.Document, now time.Time) {
	since := s.current.at
	for _, t := range []time.Time{n.stableSince, n.pausedTo, n.downUntil} {
		if t.After(since) {
			since = t
		}
	}
	if !s.isConnected(n) {
		n.stableSince = now
		return
	}
	key := fmt.Sprintf("%s/%d", n.name, s.current.mod)
	if doc.StoreRevision() >= s.current.mod {
		if !s.applied[key] && since.Equal(s.current.at) {
			s.slowest = max(s.slowest, now.Sub(since))
		}
		s.applied[key] = true
		return
	}
	if now.Sub(since) > MaxApplyDelay {
		s.faultf("%s has revision %d at %v after %d was accepted", n.name, doc.Revision, now.Sub(since), s.current.mod)
	}
}

// checkVerdicts compares what operators were told with what the store holds.
func (s *schedule) checkVerdicts() {
	held := map[string]configuration.Change{}
	for _, v := range s.history {
		doc, err := configuration.ParseStored(v.value, v.mod)
		if err != nil {
			s.faultf("unreadable document accepted: %v", err)
			continue
		}
		last := doc.Changes
		if len(last) == 0 {
			continue
		}
		change := last[len(last)-1]
		if _, twice := held[change.ID]; twice {
			s.faultf("%s took effect twice", change.ID)
		}
		held[change.ID] = change
	}
	for _, v := range s.verdicts {
		var conflict *configuration.ConflictError
		var unsettled *UnknownOutcomeError
		var unavailable *store.UnavailableError
		change, isHeld := held[v.ID]
		switch {
		case v.err == nil && isHeld && v.Expected != 0 && change.Parent != v.Expected:
			s.faultf("%s was made on %d and accepted on %d", v.ID, v.Expected, change.Parent)
		case errors.As(v.err, &conflict) && isHeld:
			s.faultf("%s was told of a conflict, and took effect", v.ID)
		case errors.As(v.err, &unsettled):
		case errors.As(v.err, &unavailable) && unavailable.MayHaveTakenEffect:
			s.faultf("%s was left unsettled", v.ID)
		case errors.As(v.err, &conflict), errors.As(v.err, &unavailable), errors.Is(v.err, errRaced):
		case v.err != nil && isHeld:
			s.faultf("%s was refused (%v), and took effect", v.ID, v.err)
		}
	}
}

const (
	schedules      = 1000
	scheduleLength = 300
	workers        = 3
)

func runSchedule(seed uint64) *schedule {
	s := &schedule{world: newWorld(seed, 9, 3), applied: map[string]bool{}}
	s.loss, s.lose = 0.05, 0.1
	for number := range scheduleLength {
		if number > 20 && s.rng.IntN(20) == 0 {
			s.disturb()
		}
		s.step(number)
		s.check()
	}
	s.checkVerdicts()
	return s
}

// TestSchedules runs racing operators, lost and late answers, partitions,
// pauses, restarts, outages and replays in many seeded orders.
func TestSchedules(t *testing.T) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	edits, writes, failed := 0, 0, 0
	for worker := range workers {
		wg.Go(func() {
			for seed := worker; seed < schedules; seed += workers {
				s := runSchedule(uint64(seed))
				mu.Lock()
				edits += s.edits
				writes += len(s.history) - 1
				slowest = max(slowest, s.slowest)
				if len(s.faults) > 0 {
					failed++
					if failed < 6 {
						t.Errorf("seed %d: %d faults, first: %s", seed, len(s.faults), s.faults[0])
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d edits, %d accepted, slowest in force %v, %d with faults", schedules, edits, writes, slowest, failed)
}
