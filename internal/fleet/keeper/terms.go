package keeper

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Timing holds the limits that determine how long instances may disagree on a
// key's keeper.
type Timing struct {
	// MaxListAge is how long a keeper relies on an instance list from the
	// platform, counted from Members.ListedAt.
	MaxListAge time.Duration
	// MaxListLag is how far the platform's list may be behind the actual set of
	// instances.
	MaxListLag time.Duration
	// CreditTTL is the longest validity of a credit that a keeper grants.
	CreditTTL time.Duration
	// ClockMargin allows for clocks that run at different rates.
	ClockMargin time.Duration
	// MaxUpdateGap is the longest time between two calls of Terms.Update or
	// Terms.Term. After a longer gap the process counts as paused.
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

// TakeoverDelay returns how long a new keeper grants no credits: until every
// previous keeper has learnt of the change and its last credit has expired.
func (t Timing) TakeoverDelay() time.Duration {
	return t.MaxListAge + t.MaxListLag + t.CreditTTL + t.ClockMargin
}

// NotKeeperError reports why this instance may not grant credits for a key.
type NotKeeperError struct {
	Key    string
	Reason TermReason
	// Keeper is the name of the current keeper if it is known to be another
	// instance.
	Keeper string
	// GrantsFrom is when this instance may start to grant credits, set only
	// with ReasonWaiting.
	GrantsFrom time.Time
}

func (e *NotKeeperError) Error() string {
	return fmt.Sprintf("no term for %s: %s", e.Key, e.Reason)
}

// TermReason says why an instance may not grant credits.
type TermReason string

// The reasons for not granting credits.
const (
	ReasonOtherKeeper TermReason = "OtherKeeper"
	ReasonListStale   TermReason = "ListStale"
	ReasonWaiting     TermReason = "Waiting"
)

// Term is an uninterrupted period in which this instance is the keeper of a key.
type Term struct {
	// Epoch orders the terms of a key across all keepers, as a fencing token
	// does. It is the start of the term in Unix milliseconds unless RaiseEpoch
	// has raised it.
	Epoch     uint64
	StartedAt time.Time
	// GrantsFrom is when this instance may start to grant credits.
	GrantsFrom time.Time
}

// Terms tracks the keys of which this instance is the keeper, and since when. A
// change of a key's keeper ends its term; a pause of the process or a stale
// instance list ends all terms. A term that follows starts with the full
// TakeoverDelay. Terms is safe for concurrent use.
type Terms struct {
	timing Timing

	mu           sync.Mutex
	members      *board.Members
	selector     *Selector
	terms        map[string]*Term
	lastUpdateAt time.Time
}

// NewTerms returns a Terms with no term in progress.
func NewTerms(timing Timing) *Terms {
	return &Terms{timing: timing, terms: map[string]*Term{}}
}

// Timing returns the timing that NewTerms was given.
func (ts *Terms) Timing() Timing { return ts.timing }

// Update applies the latest membership. Call it after every change of the
// membership, and at least twice in each MaxUpdateGap.
func (ts *Terms) Update(members *board.Members, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.expireStale(now)
	if members == nil || members == ts.members {
		return
	}
	ts.members = members
	ts.selector = NewSelector(members.List, WithSuspects())
	for key := range ts.terms {
		if !ts.isKeeper(key) {
			delete(ts.terms, key)
		}
	}
	ts.expireStale(now)
}

// Term returns the current term for the key and starts one if this instance is
// the key's keeper and has none. If the instance may not grant credits now, the
// error is a *NotKeeperError.
func (ts *Terms) Term(key string, now time.Time) (Term, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.expireStale(now)
	if !ts.isListFresh(now) {
		return Term{}, &NotKeeperError{Key: key, Reason: ReasonListStale}
	}
	if !ts.isKeeper(key) {
		delete(ts.terms, key)
		m, _ := ts.selector.Lookup(key)
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

// IsKeeper reports whether this instance is the key's keeper by the latest
// membership, even if it may not grant credits yet.
func (ts *Terms) IsKeeper(key string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.selector != nil && ts.isKeeper(key)
}

// Prune ends the terms of all keys that are not in use.
func (ts *Terms) Prune(inUse func(key string) bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	maps.DeleteFunc(ts.terms, func(key string, _ *Term) bool { return !inUse(key) })
}

// RaiseEpoch raises the epoch of the key's current term to seen+1 if it is below
// seen, an epoch that a member received from another keeper.
func (ts *Terms) RaiseEpoch(key string, seen uint64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t := ts.terms[key]; t != nil && t.Epoch < seen {
		t.Epoch = seen + 1
	}
}

// Resign ends all terms. Call it at a graceful shutdown.
func (ts *Terms) Resign() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	clear(ts.terms)
}

// expireStale ends all terms after a pause of the process or while the instance
// list is stale. It compares the wall clock too, since the monotonic clock
// doesn't advance while the machine is suspended.
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
	m, ok := ts.selector.Lookup(key)
	return ok && m.Name == ts.members.Self
}
