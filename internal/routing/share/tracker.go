package share

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/sums"
)

const (
	// useWindow is the time constant of a customer's present use, usualWindow that of its
	// usual one.
	useWindow   = 2 * time.Second
	usualWindow = time.Minute
	// minLearning is the time after which the usual use is known. Until then nobody exceeds
	// a share.
	minLearning = 5 * time.Second
	// reportTTL is how long a report counts. Reports come about once a second.
	reportTTL = 3 * time.Second
	// forgetBelow is the use in milliseconds per second below which it is forgotten, and
	// forgetFraction the usual fraction below which that is.
	forgetBelow    = 0.5
	forgetFraction = 0.0001
	// decayInterval is the time between updates of all own uses.
	decayInterval = 50 * time.Millisecond
	// maxUse is the largest use that is believed of a report, in milliseconds per second.
	maxUse = 1e9
	// maxOwn bounds the uses that an instance keeps of its own requests.
	maxOwn = 4096
)

// Tracker follows the uses of all customers. It is safe for concurrent use.
type Tracker struct {
	others *sums.Sources[Uses]

	mu sync.Mutex
	// own holds this instance's uses, as of ownAt.
	own   map[string]float64
	ownAt time.Time
	// usual holds the usual fractions, as of usualAt, learnt from learningSince on.
	usual                  map[string]float64
	usualAt, learningSince time.Time

	over atomic.Pointer[state]
}

// state is who exceeds a share.
type state struct {
	customers map[string]bool
	services  map[string]bool
}

// NewTracker returns a Tracker that knows of no use.
func NewTracker() *Tracker {
	t := &Tracker{others: sums.New[Uses](reportTTL), own: map[string]float64{}, usual: map[string]float64{}}
	t.over.Store(&state{})
	return t
}

// Observe takes in a request of a customer that needs the given work.
func (t *Tracker) Observe(service, customer string, work time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	key := Key(service, customer)
	if _, known := t.own[key]; known || len(t.own) < maxOwn {
		t.own[key] += float64(work.Milliseconds()) / useWindow.Seconds()
	}
}

// decay brings the own uses up to date. The caller holds mu.
func (t *Tracker) decay(now time.Time) {
	elapsed := now.Sub(t.ownAt)
	if elapsed < decayInterval {
		return
	}
	t.ownAt = now
	factor := math.Exp(-elapsed.Seconds() / useWindow.Seconds())
	for key := range t.own {
		if t.own[key] *= factor; t.own[key] < forgetBelow {
			delete(t.own, key)
		}
	}
}

// Own returns this instance's heaviest uses.
func (t *Tracker) Own(now time.Time) Uses {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownUses(now)
}

func (t *Tracker) ownUses(now time.Time) Uses {
	t.decay(now)
	uses := make(Uses, len(t.own))
	for key, use := range t.own {
		if n := int64(math.Round(use)); n > 0 {
			uses[key] = n
		}
	}
	return uses.Heaviest()
}

// UpdateSource stores a report, unless the stored one of that source is as new or newer.
func (t *Tracker) UpdateSource(name string, run, sequence int64, uses Uses, now time.Time) {
	t.others.Update(name, run, sequence, valid(uses), now)
}

// UpdateTotal stores the report of a source that has added up the uses of all other
// instances, unless a report of the same source is as new or newer.
func (t *Tracker) UpdateTotal(name string, run, sequence int64, uses Uses, now time.Time) {
	t.others.UpdateTotal(name, run, sequence, valid(uses), now)
}

// valid returns the uses without those that no instance of this version reports.
func valid(uses Uses) Uses {
	maps.DeleteFunc(uses, func(key string, use int64) bool { return use < 0 || use > maxUse || len(key) != 2*serviceKeyLength })
	return uses.Heaviest()
}

// Sum returns the heaviest uses of the named sources and of more.
func (t *Tracker) Sum(names []string, more Uses, now time.Time) Uses {
	sum := maps.Clone(more)
	t.others.AddNamed(sum, names, now)
	return sum.Heaviest()
}

// Refresh drops expired reports, and finds out who exceeds a share. It is called about once
// a second.
func (t *Tracker) Refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := maps.Clone(t.ownUses(now))
	t.others.AddAll(uses, now)
	fractions := uses.Fractions()
	t.learn(fractions, now)
	next := &state{services: map[string]bool{}}
	if !t.learningSince.IsZero() && now.Sub(t.learningSince) >= minLearning {
		next.customers = Excess(fractions, t.usual)
	}
	for key := range next.customers {
		next.services[key[:serviceKeyLength]] = true
	}
	t.over.Store(next)
}

// learn takes the present fractions into the usual ones, which are averages over usualWindow
// or, before it has passed, over the time so far. The fraction of a customer that exceeds its
// share is learnt slowly also then. The caller holds mu.
func (t *Tracker) learn(fractions map[string]float64, now time.Time) {
	if len(fractions) == 0 {
		return
	}
	if t.learningSince.IsZero() {
		t.learningSince, t.usualAt = now, now
	}
	elapsed := max(0, now.Sub(t.usualAt))
	weight := 1.0
	if window := min(usualWindow, now.Sub(t.learningSince)); window > 0 {
		weight = min(1, float64(elapsed)/float64(window))
	}
	t.usualAt = now
	exceeding := t.over.Load().customers
	for key, usual := range t.usual {
		weight := weight
		if exceeding[key] {
			weight = min(weight, float64(elapsed)/float64(usualWindow))
		}
		if t.usual[key] += weight * (fractions[key] - usual); t.usual[key] < forgetFraction {
			delete(t.usual, key)
		}
	}
	for key, fraction := range fractions {
		if _, known := t.usual[key]; !known {
			t.usual[key] = weight * fraction
		}
	}
}

// Exceeds reports whether the customer exceeds its share of a service, and whether any
// customer does.
func (t *Tracker) Exceeds(service, customer string) (this, anyone bool) {
	s := t.over.Load()
	if len(s.services) == 0 {
		return false, false
	}
	return s.customers[Key(service, customer)], s.services[serviceKey(service)]
}

// Exceeding returns the number of customers that exceed their share of a service.
func (t *Tracker) Exceeding() int { return len(t.over.Load().customers) }
