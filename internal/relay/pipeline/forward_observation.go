package pipeline

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// paceGaps is the number of pauses between events from which the pace of a stream is
// known. Their median ignores a single long pause.
const paceGaps = 3

// answerObserver reports how a server answers an attempt, once and as soon as that can be
// told: a slow version is found by the answers that have yet to begin, or to end. Its
// methods may be called from different goroutines.
type answerObserver struct {
	fleet Fleet
	clock clockwork.Clock
	timer clockwork.Timer

	lateAfter time.Duration

	mu          sync.Mutex
	observation AnswerObservation
	reported    bool
	sentAt      time.Time
	begun       bool
	gaps        []time.Duration
	lastEventAt time.Time
}

// newAnswerObserver returns an observer of an attempt. The caller must call ended.
func newAnswerObserver(f *Forwarder, o AnswerObservation, predictedWait time.Duration) *answerObserver {
	return &answerObserver{fleet: f.fleet, clock: f.clock, observation: o, lateAfter: f.fleet.LateAfter(o, predictedWait)}
}

// sent must be called when the request is about to be sent: opening a connection is no part
// of the answer's time.
func (a *answerObserver) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = a.clock.Now()
	a.timer = a.clock.AfterFunc(a.lateAfter, a.late)
}

// late reports an answer that hasn't begun in time, or without events hasn't ended.
func (a *answerObserver) late() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.begun {
		a.observation.Late, a.observation.Took = true, a.lateAfter
		a.report()
	}
}

// event records an event of the answer.
func (a *answerObserver) event() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	switch {
	case !a.begun:
		a.begun = true
		a.timer.Stop()
		a.observation.Took = now.Sub(a.sentAt)
	case len(a.gaps) < paceGaps:
		a.gaps = append(a.gaps, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	if len(a.gaps) == paceGaps && !a.reported {
		slices.Sort(a.gaps)
		a.observation.Pace = a.gaps[paceGaps/2]
		a.report()
	}
}

// ended reports the attempt at its end, unless it was reported before. answered is set if
// the server answered, failed if it did so with an error status of its own, whole if the
// answer was a success.
func (a *answerObserver) ended(answered, failed, whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.observation.Failed = failed
	if took := a.clock.Since(a.sentAt); whole && !a.begun {
		a.observation.Late, a.observation.Took = took > a.lateAfter, took
	}
	if answered || failed {
		a.report()
	}
}

// reportedBad reports whether the attempt was reported as failed or late.
func (a *answerObserver) reportedBad() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reported && (a.observation.Failed || a.observation.Late)
}

// report reports the observation once. The caller holds mu.
func (a *answerObserver) report() {
	if !a.reported {
		a.reported = true
		a.fleet.ObserveAnswer(a.observation)
	}
}
