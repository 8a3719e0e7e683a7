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

func TestEjectorBoundsItsShare(t *testing.T) {
	is := is.New(t)
	e := NewEjector()
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d"}
	for range 10 {
		for _, n := range names {
			e.Record(n, false, len(names), now)
		}
	}
	out := 0
	for _, n := range names {
		if e.Ejected(n, now) {
			out++
		}
		is.True(!e.Ejected(n, now.Add(e.BaseEjectionTime)))
	}
	is.Equal(out, 2)
}

func testGate(clock clockwork.Clock, slots int) *Admitter {
	g := NewAdmitter(clock)
	q := newQueue(g)
	q.slots, q.shedAt = slots, 1
	g.queues["llm"] = q
	return g
}

func TestAdmitRefusesNotRun(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGate(clock, 1)
	ctx, cancel := context.WithCancel(context.Background())
	first, err := g.Admit(ctx, Request{Customer: "a", Service: "llm"})
	is.NoErr(err)
	cancel()
	var refusal *call.Refusal
	_, err = g.Admit(ctx, Request{Customer: "a", Service: "llm", Session: true})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonCallerGone)
	is.Equal(refusal.State, call.NotRun)
	_, err = g.Admit(ctx, Request{Customer: "a", Service: "llm", Session: true, Deadline: clock.Now().Add(time.Second)})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonDeadline) // the wait would outlast it
	_, err = g.Admit(ctx, Request{Customer: "a", Service: "other"})
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonNoServer)
	first.Done(Answered)
	first.Done(Answered)
	is.Equal(g.queues["llm"].active, 0)
}
