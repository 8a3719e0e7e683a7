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
	// MaxListAge is how long a keeper relies on one answer of the platform's
	// instance list.
	MaxListAge time.Duration
	// MaxListLag is how far the list may be behind the truth.
	MaxListLag time.Duration
	// CreditTTL is the longest validity of what a keeper hands out.
	CreditTTL time.Duration
	// ClockMargin covers the difference between clock rates.
	ClockMargin time.Duration
	// MaxUpdateGap is the longest time between two looks at the clock after which
	// the instance counts as paused.
	MaxUpdateGap time.Duration
}

// DefaultTiming returns the timing that instances use.
func DefaultTiming() Timing {
	return Timing{
		MaxListAge:   3 * time.Second,
		MaxListLag:   3 * time.Second,
		CreditTTL:    2 * time.Second,
		ClockMargin:  500 * time.Millisecond,
		MaxUpdateGap: 1500 * time.Millisecond,
	}
}

// TakeoverDelay is how long a new keeper hands out nothing: until every predecessor
// has learnt of the change and its last credit has expired.
func (t Timing) TakeoverDelay() time.Duration {
	return t.MaxListAge + t.MaxListLag + t.CreditTTL + t.ClockMargin
}

// NotKeeperError says why this instance may hand out nothing for a key.
type NotKeeperError struct {
	Key    string
	Reason TermReason
	// Keeper is the present keeper, if another one is known.
	Keeper string
	// GrantsFrom is when this instance may start, for ReasonWaiting.
	GrantsFrom time.Time
}

func (e *NotKeeperError) Error() string {
	return fmt.Sprintf("no term for %s: %s", e.Key, e.Reason)
}

// TermReason names why an instance has no term.
type TermReason string

// The reasons for having no term.
const (
	ReasonOtherKeeper TermReason = "OtherKeeper"
	ReasonListStale   TermReason = "ListStale"
	ReasonWaiting     TermReason = "Waiting"
)

// Term is the time during which this instance keeps one key without a break.
type Term struct {
	Epoch     uint64
	StartedAt time.Time
	// GrantsFrom is when the term allows to hand out credits.
	GrantsFrom time.Time
}

// Terms tracks for which keys this instance is keeper, and since when. A
// pause of the process, a stale list or a change of keeper ends all terms
// concerned; they begin anew with the full wait.
type Terms struct {
	timing Timing

	mu           sync.Mutex
	members      *board.Members
	ring         *Ring
	terms        map[string]*Term
	lastUpdateAt time.Time
}

// NewTerms returns terms with none running.
func NewTerms(timing Timing) *Terms {
	return &Terms{timing: timing, terms: map[string]*Term{}}
}

// Timing returns the bounds that the terms keep to.
func (ts *Terms) Timing() Timing { return ts.timing }

// Update applies the latest membership. Call it at every change and at least
// twice in MaxGap.
func (ts *Terms) Update(members *board.Members, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.expireStale(now)
	if members == nil || members == ts.members {
		return
	}
	ts.members = members
	ts.ring = NewRing(members.List, WithSuspects())
	for key := range ts.terms {
		if !ts.isKeeper(key) {
			delete(ts.terms, key)
		}
	}
	ts.expireStale(now)
}

// Term returns the running term for the key, opening one if this instance is
// its keeper. The error is a *NotKeeperError if nothing may be handed out now.
func (ts *Terms) Term(key string, now time.Time) (Term, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.expireStale(now)
	if !ts.isListFresh(now) {
		return Term{}, &NotKeeperError{Key: key, Reason: ReasonListStale}
	}
	if !ts.isKeeper(key) {
		delete(ts.terms, key)
		m, _ := ts.ring.Lookup(key)
		return Term{}, &NotKeeperError{Key: key, Reason: ReasonOtherKeeper, Keeper: m.Name}
	}
	t := ts.terms[key]
	if t == nil {
		t = &Term{Epoch: uint64(now.UnixMilli()), StartedAt: now, GrantsFrom: now.Add(ts.timing.TakeoverDelay())}
		ts.terms[key] = t
	}
	if now.Before(t.GrantsFrom) {
		return *t, &NotKeeperError{Key: key, Reason: ReasonWaiting, GrantsFrom: t.GrantsFrom}
	}
	return *t, nil
}

// IsKeeper reports whether this instance is the key's keeper by the latest list,
// whether or not it may hand out anything yet.
func (ts *Terms) IsKeeper(key string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.ring != nil && ts.isKeeper(key)
}

// Prune ends the terms of all keys but those in use.
func (ts *Terms) Prune(inUse func(key string) bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	maps.DeleteFunc(ts.terms, func(key string, _ *Term) bool { return !inUse(key) })
}

// RaiseEpoch lifts the epoch of the running term above seen, an epoch that a
// member has had from another keeper.
func (ts *Terms) RaiseEpoch(key string, seen uint64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t := ts.terms[key]; t != nil && t.Epoch < seen {
		t.Epoch = seen + 1
	}
}

// Resign ends all terms, for a planned stop.
func (ts *Terms) Resign() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	clear(ts.terms)
}

// expireStale voids all terms after a pause or while the list is stale. The pause is
// measured on the wall clock as well, since a suspended machine's monotonic
// clock stands still.
func (ts *Terms) expireStale(now time.Time) {
	if !ts.lastUpdateAt.IsZero() {
		gap := max(now.Sub(ts.lastUpdateAt), now.Round(0).Sub(ts.lastUpdateAt.Round(0)))
		if gap > ts.timing.MaxUpdateGap {
			clear(ts.terms)
		}
	}
	ts.lastUpdateAt = now
	if !ts.isListFresh(now) {
		clear(ts.terms)
	}
}

func (ts *Terms) isListFresh(now time.Time) bool {
	return ts.members != nil && !ts.members.ListedAt.IsZero() && now.Sub(ts.members.ListedAt) < ts.timing.MaxListAge
}

func (ts *Terms) isKeeper(key string) bool {
	m, ok := ts.ring.Lookup(key)
	return ok && m.Name == ts.members.Self
}
