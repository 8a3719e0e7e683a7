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

// editResult is what an operator was told of one edit.
type editResult struct {
	Edit
	revision int64
	err      error
}

// scheduleRun is one seeded run with its findings.
type scheduleRun struct {
	*fleet
	edits      int
	results    []editResult
	violations []string
	maxDelay   time.Duration
	applied    map[string]bool
}

func (s *scheduleRun) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// runOperator lets one operator make a change through some instance. While it is
// between its read and its write, a second operator may come first.
func (s *scheduleRun) runOperator(depth int) {
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
			s.runOperator(1)
		}
		d.Preset = next
		return nil
	})
	s.results = append(s.results, editResult{edit, revision, err})
}

// injectFault brings about one fault, or ends one.
func (s *scheduleRun) injectFault() {
	now := s.clock.Now()
	n := s.instances[s.rng.IntN(len(s.instances))]
	dataCentre := s.instances[s.rng.IntN(len(s.instances))].dataCentre
	switch s.rng.IntN(10) {
	case 0:
		n.start()
		n.downUntil = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	case 1:
		n.pausedUntil = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	case 2:
		s.partitioned[dataCentre] = !s.partitioned[dataCentre]
		s.resetStableSince()
	case 3:
		s.storeUnreachable[dataCentre] = !s.storeUnreachable[dataCentre]
		s.resetStableSince()
	case 4:
		s.storeDown = !s.storeDown
		s.resetStableSince()
	case 5:
		clear(s.partitioned)
		clear(s.storeUnreachable)
		s.storeDown = false
		for _, o := range s.instances {
			o.isolated = false
		}
		s.resetStableSince()
	case 6:
		s.pushInvalidDocuments(n)
	case 7:
		n.isolated = !n.isolated
		s.resetStableSince()
	default:
		s.runOperator(0)
	}
}

// resetStableSince restarts the time from which in-force is expected of everybody.
func (s *scheduleRun) resetStableSince() {
	for _, n := range s.instances {
		n.stableSince = s.clock.Now()
	}
}

// pushInvalidDocuments pushes an old document, a corrupted one and one of a newer program.
func (s *scheduleRun) pushInvalidDocuments(n *instance) {
	old := s.history[s.rng.IntN(len(s.history))]
	for _, offered := range [][]byte{old.value, []byte("{"), []byte(`{"FormatVersion":1,"Preset":""}`)} {
		_, _ = n.controller.Configuration(context.Background(), &peer.ConfigurationRequest{Document: offered, DocumentRevision: old.mod})
	}
}

// isConnected reports whether an instance hears of changes: some instance that
// it reaches, itself included, reaches the store.
func (s *scheduleRun) isConnected(n *instance) bool {
	for _, o := range s.instances {
		if n.reaches(o) && o.reachesStore() {
			return true
		}
	}
	return false
}

// checkInstances looks at every instance after one step.
func (s *scheduleRun) checkInstances() {
	now := s.clock.Now()
	for _, n := range s.instances {
		doc := n.board.Configuration.Get()
		if !n.isUp() || doc == nil {
			continue
		}
		if doc.Revision < n.highestRevision {
			s.violationf("%s went back from %d to %d", n.name, n.highestRevision, doc.Revision)
		}
		n.highestRevision = doc.Revision
		if known, ok := s.presetByRevision[doc.Revision]; ok && known != doc.Preset {
			s.violationf("revision %d has presets %s and %s", doc.Revision, known, doc.Preset)
		}
		s.presetByRevision[doc.Revision] = doc.Preset
		s.checkReady(n, now)
		s.checkApplied(n, doc, now)
	}
}

// checkReady looks whether an instance that heard of nobody takes no new work,
// and whether one that is well takes it.
func (s *scheduleRun) checkReady(n *instance, now time.Time) {
	allowed := n.board.Confirmation.Get().AllowsNewWork(now)
	alone := !n.reachesStore()
	for _, o := range s.instances {
		alone = alone && (o == n || !n.reaches(o))
	}
	if !alone {
		n.reachedAt = now
	}
	if allowed && now.Sub(n.reachedAt) > MaxApplyDelay {
		s.violationf("%s takes work %v after it last reached anybody", n.name, now.Sub(n.reachedAt))
	}
	well := len(s.partitioned) == 0 && now.Sub(n.stableSince) > 2*MaxApplyDelay && now.Sub(n.pausedUntil) > 2*MaxApplyDelay && now.Sub(n.downUntil) > 2*MaxApplyDelay
	if well && !allowed && s.isConnected(n) {
		s.violationf("%s takes no work: %s", n.name, n.board.Confirmation.Get().Reason)
	}
}

// checkApplied looks whether the newest accepted document is in force on an
// instance in time.
func (s *scheduleRun) checkApplied(n *instance, doc *configuration.Document, now time.Time) {
	since := s.current.at
	for _, t := range []time.Time{n.stableSince, n.pausedUntil, n.downUntil} {
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
			s.maxDelay = max(s.maxDelay, now.Sub(since))
		}
		s.applied[key] = true
		return
	}
	if now.Sub(since) > MaxApplyDelay {
		s.violationf("%s has revision %d at %v after %d was accepted", n.name, doc.Revision, now.Sub(since), s.current.mod)
	}
}

// checkResults compares what operators were told with what the store holds.
func (s *scheduleRun) checkResults() {
	held := map[string]configuration.Change{}
	for _, v := range s.history {
		doc, err := configuration.ParseStored(v.value, v.mod)
		if err != nil {
			s.violationf("unreadable document accepted: %v", err)
			continue
		}
		last := doc.Changes
		if len(last) == 0 {
			continue
		}
		change := last[len(last)-1]
		if _, twice := held[change.ID]; twice {
			s.violationf("%s took effect twice", change.ID)
		}
		held[change.ID] = change
	}
	for _, v := range s.results {
		var conflict *configuration.ConflictError
		var unsettled *UnknownOutcomeError
		var unavailable *store.UnavailableError
		change, isHeld := held[v.ID]
		switch {
		case v.err == nil && isHeld && v.Expected != 0 && change.Parent != v.Expected:
			s.violationf("%s was made on %d and accepted on %d", v.ID, v.Expected, change.Parent)
		case errors.As(v.err, &conflict) && isHeld:
			s.violationf("%s was told of a conflict, and took effect", v.ID)
		case errors.As(v.err, &unsettled):
		case errors.As(v.err, &unavailable) && unavailable.MayHaveTakenEffect:
			s.violationf("%s was left unsettled", v.ID)
		case errors.As(v.err, &conflict), errors.As(v.err, &unavailable), errors.Is(v.err, errLostRace):
		case v.err != nil && isHeld:
			s.violationf("%s was refused (%v), and took effect", v.ID, v.err)
		}
	}
}

const (
	scheduleCount = 1000
	scheduleTicks = 300
	workers       = 3
)

func runSchedule(seed uint64) *scheduleRun {
	s := &scheduleRun{fleet: newFleet(seed, 9, 3), applied: map[string]bool{}}
	s.messageLoss, s.writeLoss = 0.05, 0.1
	for number := range scheduleTicks {
		if number > 20 && s.rng.IntN(20) == 0 {
			s.injectFault()
		}
		s.step(number)
		s.checkInstances()
	}
	s.checkResults()
	return s
}

// TestFaultSchedules runs racing operators, lost and late answers, partitions,
// pauses, restarts, outages and replays in many seeded orders.
func TestFaultSchedules(t *testing.T) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	edits, writes, failed := 0, 0, 0
	for worker := range workers {
		wg.Go(func() {
			for seed := worker; seed < scheduleCount; seed += workers {
				s := runSchedule(uint64(seed))
				mu.Lock()
				edits += s.edits
				writes += len(s.history) - 1
				slowest = max(slowest, s.maxDelay)
				if len(s.violations) > 0 {
					failed++
					if failed < 6 {
						t.Errorf("seed %d: %d faults, first: %s", seed, len(s.violations), s.violations[0])
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d edits, %d accepted, slowest in force %v, %d with faults", scheduleCount, edits, writes, slowest, failed)
}
