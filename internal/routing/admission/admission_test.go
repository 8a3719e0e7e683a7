package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func TestRetryBudgetIsAShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	is.True(retries >= 99 && retries <= 101)
	for range 1000 {
		b.Deposit()
	}
	saved := 0
	for b.Withdraw() {
		saved++
	}
	is.True(saved <= 10)
}

func TestEjectedShareIsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEjector()
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d"}
	for range 10 {
		for _, n := range names {
			e.Record(n, false, len(names), now)
		}
	}
	ejected := 0
	for _, n := range names {
		if e.Ejected(n, now) {
			ejected++
		}
		is.True(!e.Ejected(n, now.Add(e.BaseEjectionTime)))
	}
	is.Equal(ejected, 2)
}

func newTestAdmitter(clock clockwork.Clock, slots int) *Admitter {
	a := NewAdmitter(clock)
	q := newQueue(a)
	q.slots, q.shedAt = slots, 1
	a.queues["llm"] = q
	return a
}

func TestRefusalsAreNotRun(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := newTestAdmitter(clock, 1)
	ctx, cancel := context.WithCancel(context.Background())
	first, err := a.Admit(ctx, Request{Customer: "a", Service: "llm"})
	is.NoErr(err)
	cancel()
	var refusal *call.Refusal
	_, err = a.Admit(ctx, Request{Customer: "a", Service: "llm", Session: true})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonCallerGone)
	is.Equal(refusal.State, call.NotRun)
	_, err = a.Admit(ctx, Request{Customer: "a", Service: "llm", Session: true, Deadline: clock.Now().Add(time.Second)})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonDeadline) // the predicted wait exceeds the deadline
	_, err = a.Admit(ctx, Request{Customer: "a", Service: "other"})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonNoServer)
	first.Done(Answered)
	first.Done(Answered)
	is.Equal(a.queues["llm"].inFlight, 0)
}
