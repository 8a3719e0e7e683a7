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

// editResult is the answer that an operator got to one edit.
type editResult struct {
	Edit
	revision int64
	err      error
}

// scheduleRun is one run with a seeded schedule of edits and faults, and the
// violations found in it.
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

// runOperator makes one edit through a random instance. Between its read and its
// write, a second operator may commit an edit first; depth 1 is that operator.
func (s *scheduleRun) runOperator(depth int) {
	in := s.instances[s.rng.IntN(len(s.instances))]
	doc := in.board.Configuration.Get()
	if !in.isUp() || doc == nil {
		return
	}
	s.edits++
	edit := Edit{ID: fmt.Sprintf("c%d", s.edits), Operator: "op", Summary: "preset"}
	if s.rng.IntN(2) == 0 {
		edit.Expected = doc.Revision
	}
	next := doc.Presets[s.rng.IntN(len(doc.Presets))].Name
	raced := false
	revision, err := in.editor.Change(context.Background(), edit, func(d *configuration.Document) error {
		if depth == 0 && !raced && s.rng.IntN(2) == 0 {
			raced = true
			s.runOperator(1)
		}
		d.Preset = next
		return nil
	})
	s.results = append(s.results, editResult{edit, revision, err})
}

// injectFault starts or ends a random fault, or makes an edit.
func (s *scheduleRun) injectFault() {
	now := s.clock.Now()
	in := s.instances[s.rng.IntN(len(s.instances))]
	dataCentre := s.instances[s.rng.IntN(len(s.instances))].dataCentre
	switch s.rng.IntN(10) {
	case 0:
		in.start()
		in.downUntil = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
	case 1:
		in.pausedUntil = now.Add(time.Duration(s.rng.IntN(8)) * time.Second)
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
		for _, other := range s.instances {
			other.isolated = false
		}
		s.resetStableSince()
	case 6:
		s.pushInvalidDocuments(in)
	case 7:
		in.isolated = !in.isolated
		s.resetStableSince()
	default:
		s.runOperator(0)
	}
}

// resetStableSince restarts the period within which every instance must apply the
// newest document.
func (s *scheduleRun) resetStableSince() {
	for _, in := range s.instances {
		in.stableSince = s.clock.Now()
	}
}

// pushInvalidDocuments pushes an old document, a corrupted one and an invalid one
// to an instance.
func (s *scheduleRun) pushInvalidDocuments(in *instance) {
	old := s.history[s.rng.IntN(len(s.history))]
	for _, offered := range [][]byte{old.value, []byte("{"), []byte(`{"FormatVersion":1,"Preset":""}`)} {
		_, _ = in.controller.Configuration(context.Background(), &peer.ConfigurationRequest{Document: offered, DocumentRevision: old.mod})
	}
}

// isConnected reports whether changes can reach an instance: it or an instance that
// it reaches must reach the store.
func (s *scheduleRun) isConnected(in *instance) bool {
	for _, other := range s.instances {
		if in.reaches(other) && other.reachesStore() {
			return true
		}
	}
	return false
}

// checkInstances checks every running instance after a step.
func (s *scheduleRun) checkInstances() {
	now := s.clock.Now()
	for _, in := range s.instances {
		doc := in.board.Configuration.Get()
		if !in.isUp() || doc == nil {
			continue
		}
		if doc.Revision < in.highestRevision {
			s.violationf("%s returned from revision %d to %d", in.name, in.highestRevision, doc.Revision)
		}
		in.highestRevision = doc.Revision
		if known, ok := s.presetByRevision[doc.Revision]; ok && known != doc.Preset {
			s.violationf("revision %d has presets %s and %s", doc.Revision, known, doc.Preset)
		}
		s.presetByRevision[doc.Revision] = doc.Preset
		s.checkReady(in, now)
		s.checkApplied(in, doc, now)
	}
}

// checkReady checks that an instance that can reach neither the store nor a peer
// stops taking new work within MaxApplyDelay, and that an instance without recent
// faults takes new work.
func (s *scheduleRun) checkReady(in *instance, now time.Time) {
	allowed := in.board.Confirmation.Get().AllowsNewWork(now)
	unreached := !in.reachesStore()
	for _, other := range s.instances {
		unreached = unreached && (other == in || !in.reaches(other))
	}
	if !unreached {
		in.reachedAt = now
	}
	if allowed && now.Sub(in.reachedAt) > MaxApplyDelay {
		s.violationf("%s takes new work %v after it could last reach the store or a peer", in.name, now.Sub(in.reachedAt))
	}
	stable := len(s.partitioned) == 0 && now.Sub(in.stableSince) > 2*MaxApplyDelay && now.Sub(in.pausedUntil) > 2*MaxApplyDelay && now.Sub(in.downUntil) > 2*MaxApplyDelay
	if stable && !allowed && s.isConnected(in) {
		s.violationf("%s takes no new work: %s", in.name, in.board.Confirmation.Get().Reason)
	}
}

// checkApplied checks that an instance applies the newest accepted document within
// MaxApplyDelay.
func (s *scheduleRun) checkApplied(in *instance, doc *configuration.Document, now time.Time) {
	since := s.current.at
	for _, t := range []time.Time{in.stableSince, in.pausedUntil, in.downUntil} {
		if t.After(since) {
			since = t
		}
	}
	if !s.isConnected(in) {
		in.stableSince = now
		return
	}
	key := fmt.Sprintf("%s/%d", in.name, s.current.mod)
	if doc.StoreRevision() >= s.current.mod {
		if !s.applied[key] && since.Equal(s.current.at) {
			s.maxDelay = max(s.maxDelay, now.Sub(since))
		}
		s.applied[key] = true
		return
	}
	if now.Sub(since) > MaxApplyDelay {
		s.violationf("%s has revision %d, %v after modification revision %d was accepted", in.name, doc.Revision, now.Sub(since), s.current.mod)
	}
}

// checkResults compares the answers that operators got with the changes in the
// store's history.
func (s *scheduleRun) checkResults() {
	stored := map[string]configuration.Change{}
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
		if _, duplicate := stored[change.ID]; duplicate {
			s.violationf("%s took effect twice", change.ID)
		}
		stored[change.ID] = change
	}
	for _, v := range s.results {
		var conflict *configuration.ConflictError
		var unknown *UnknownOutcomeError
		var unavailable *store.UnavailableError
		change, isStored := stored[v.ID]
		switch {
		case v.err == nil && isStored && v.Expected != 0 && change.Parent != v.Expected:
			s.violationf("%s was based on revision %d and accepted on revision %d", v.ID, v.Expected, change.Parent)
		case errors.As(v.err, &conflict) && isStored:
			s.violationf("%s was answered with a conflict but took effect", v.ID)
		case errors.As(v.err, &unknown):
		case errors.As(v.err, &unavailable) && unavailable.MayHaveTakenEffect:
			s.violationf("%s returned no UnknownOutcomeError although it may have taken effect", v.ID)
		case errors.As(v.err, &conflict), errors.As(v.err, &unavailable), errors.Is(v.err, errLostRace):
		case v.err != nil && isStored:
			s.violationf("%s was refused (%v) but took effect", v.ID, v.err)
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
	for tickNumber := range scheduleTicks {
		if tickNumber > 20 && s.rng.IntN(20) == 0 {
			s.injectFault()
		}
		s.step(tickNumber)
		s.checkInstances()
	}
	s.checkResults()
	return s
}

// TestFaultSchedules runs seeded schedules of racing edits, lost and late answers,
// partitions, pauses, restarts, store outages and pushes of invalid documents, and
// checks the instances after every step.
func TestFaultSchedules(t *testing.T) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var maxDelay time.Duration
	edits, writes, failed := 0, 0, 0
	for worker := range workers {
		wg.Go(func() {
			for seed := worker; seed < scheduleCount; seed += workers {
				s := runSchedule(uint64(seed))
				mu.Lock()
				edits += s.edits
				writes += len(s.history) - 1
				maxDelay = max(maxDelay, s.maxDelay)
				if len(s.violations) > 0 {
					failed++
					if failed < 6 {
						t.Errorf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d edits, %d accepted, longest apply delay %v, %d with violations", scheduleCount, edits, writes, maxDelay, failed)
}
