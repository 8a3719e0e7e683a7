package keeper

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Timing bounds how long instances may disagree on who the keeper is.
type Timing struct {
	// ListFresh is how long a keeper relies on one answer of the platform's
	// instance list.
	ListFresh time.Duration
	// ListLag is how far the list may be behind the truth.
	ListLag time.Duration
	// CreditValid is the longest validity of what a keeper hands out.
	CreditValid time.Duration
	// Margin covers the difference between clock rates.
	Margin time.Duration
	// MaxGap is the longest time between two looks at the clock after which
	// the instance counts as paused.
	MaxGap time.Duration
}

// DefaultTiming returns the timing that instances use.
func DefaultTiming() Timing {
	return Timing{
		ListFresh:   3 * time.Second,
		ListLag:     3 * time.Second,
		CreditValid: 2 * time.Second,
		Margin:      500 * time.Millisecond,
		MaxGap:      1500 * time.Millisecond,
	}
}

// Wait is how long a new keeper hands out nothing: until every predecessor
// has learnt of the change and its last credit has expired.
func (t Timing) Wait() time.Duration {
	return t.ListFresh + t.ListLag + t.CreditValid + t.Margin
}

// NotKeeperError says why this instance may hand out nothing for a key.
type NotKeeperError struct {
	Key    string
	Reason OfficeReason
	// Keeper is the present keeper, if another one is known.
	Keeper string
	// From is when this instance may start, for ReasonWaiting.
	From time.Time
}

func (e *NotKeeperError) Error() string {
	return fmt.Sprintf("not in office for %s: %s", e.Key, e.Reason)
}

// OfficeReason names why an instance is not in office.
type OfficeReason string

// The reasons for not being in office.
const (
	ReasonOther   OfficeReason = "OtherKeeper"
	ReasonStale   OfficeReason = "ListStale"
	ReasonWaiting OfficeReason = "Waiting"
)

// Term is the time during which this instance keeps one key without a break.
type Term struct {
	Epoch uint64
	Since time.Time
	// From is when the term allows to hand out credits.
	From time.Time
}

// Office tracks for which keys this instance is keeper, and since when. A
// pause of the process, a stale list or a change of keeper ends all terms
// concerned; they begin anew with the full wait.
type Office struct {
	timing Timing

	mu       sync.Mutex
	members  *board.Members
	ring     *Ring
	terms    map[string]*Term
	lastLook time.Time
}

// NewOffice returns an office with no term.
func NewOffice(timing Timing) *Office {
	return &Office{timing: timing, terms: map[string]*Term{}}
}

// Timing returns the bounds that the office keeps to.
func (o *Office) Timing() Timing { return o.timing }

// Update applies the latest membership. Call it at every change and at least
// twice in MaxGap.
func (o *Office) Update(members *board.Members, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.look(now)
	if members == nil || members == o.members {
		return
	}
	o.members = members
	o.ring = NewRing(members.List, WithSuspects())
	for key := range o.terms {
		if !o.keeps(key) {
			delete(o.terms, key)
		}
	}
	o.look(now)
}

// Term returns the running term for the key, opening one if this instance is
// its keeper. The error is a *NotKeeperError if nothing may be handed out now.
func (o *Office) Term(key string, now time.Time) (Term, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.look(now)
	if !o.fresh(now) {
		return Term{}, &NotKeeperError{Key: key, Reason: ReasonStale}
	}
	if !o.keeps(key) {
		delete(o.terms, key)
		m, _ := o.ring.Of(key)
		return Term{}, &NotKeeperError{Key: key, Reason: ReasonOther, Keeper: m.Name}
	}
	t := o.terms[key]
	if t == nil {
		t = &Term{Epoch: uint64(now.UnixMilli()), Since: now, From: now.Add(o.timing.Wait())}
		o.terms[key] = t
	}
	if now.Before(t.From) {
		return *t, &NotKeeperError{Key: key, Reason: ReasonWaiting, From: t.From}
	}
	return *t, nil
}

// Keeps reports whether this instance is the key's keeper by the latest list,
// whether or not it may hand out anything yet.
func (o *Office) Keeps(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ring != nil && o.keeps(key)
}

// Forget ends the terms of all keys but those in use.
func (o *Office) Forget(inUse func(key string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.terms, func(key string, _ *Term) bool { return !inUse(key) })
}

// Raise lifts the epoch of the running term above seen, an epoch that a
// member has had from another keeper.
func (o *Office) Raise(key string, seen uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.terms[key]; t != nil && t.Epoch < seen {
		t.Epoch = seen + 1
	}
}

// Resign ends all terms, for a planned stop.
func (o *Office) Resign() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.terms)
}

// look voids all terms after a pause or while the list is stale. The pause is
// measured on the wall clock as well, since a suspended machine's monotonic
// clock stands still.
func (o *Office) look(now time.Time) {
	if !o.lastLook.IsZero() {
		gap := max(now.Sub(o.lastLook), now.Round(0).Sub(o.lastLook.Round(0)))
		if gap > o.timing.MaxGap {
			clear(o.terms)
		}
	}
	o.lastLook = now
	if !o.fresh(now) {
		clear(o.terms)
	}
}

func (o *Office) fresh(now time.Time) bool {
	return o.members != nil && !o.members.ListedAt.IsZero() && now.Sub(o.members.ListedAt) < o.timing.ListFresh
}

func (o *Office) keeps(key string) bool {
	m, ok := o.ring.Of(key)
	return ok && m.Name == o.members.Self
}
