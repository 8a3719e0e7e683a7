package ledger

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func TestBillIsCommittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(1, 3)
		defer w.shutDown()
		bill := Bill{ID: "r1", Customer: "c", Model: "small", Version: "v1", Keyed: true, CompletionTokens: 5, Cost: 2}
		w.nodes[0].ledger.Open(bill)
		closed, err := w.nodes[0].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Committed && !closed.Duplicate)
		closed, err = w.nodes[1].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Duplicate)
		time.Sleep(time.Minute) // rolled up
		audit, err := ReadAudit(context.Background(), w.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Model: "small", Version: "v1", Bills: 1, CompletionTokens: 5, Cost: 2}})
		closed, err = w.nodes[2].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Duplicate) // known from the pages as well
	})
}

func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(2, 3)
		defer w.shutDown()
		ctx := context.Background()
		first, err := w.nodes[0].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(first.State, ClaimGranted)
		second, err := w.nodes[1].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(second.State, ClaimDuplicate)
		is.Equal(second.Existing.State, call.MayHaveRun)
		is.True(!second.Existing.Finished)
		w.nodes[0].ledger.Finish(first.Ticket, call.Ran, []byte("booked"))
		time.Sleep(time.Minute)
		third, err := w.nodes[2].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(string(third.Existing.Answer), "booked")
		is.Equal(third.Existing.State, call.Ran)
		other, err := w.nodes[2].ledger.Claim(ctx, "b1", "c", 8)
		is.NoErr(err)
		is.Equal(other.State, ClaimMismatch)
		others, err := w.nodes[2].ledger.Claim(ctx, "b1", "another customer", 8)
		is.NoErr(err)
		is.Equal(others.State, ClaimGranted)
		w.nodes[2].ledger.Finish(others.Ticket, call.NotRun, nil)
		time.Sleep(time.Second)
		again, err := w.nodes[0].ledger.Claim(ctx, "b1", "another customer", 9)
		is.NoErr(err)
		is.Equal(again.State, ClaimGranted) // given back, so free
	})
}

func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(3, 4)
		defer w.shutDown()
		ctx := context.Background()
		w.store.setDown(true)
		bill := Bill{ID: "r1", Customer: "c"}
		closed, err := w.nodes[0].ledger.Close(ctx, bill)
		is.NoErr(err)
		is.Equal(len(closed.Holders), 2)
		for _, name := range closed.Holders {
			is.True(w.byName(name).member.DataCentre != w.nodes[0].member.DataCentre)
		}
		_, err = w.nodes[1].ledger.Claim(ctx, "b1", "c", 1)
		var refused *ClaimError
		is.True(errors.As(err, &refused)) // refused, not run
		time.Sleep(time.Hour)
		w.nodes[0].kill() // the owner does not live to write it
		w.publishMembers()
		time.Sleep(30 * time.Second) // nothing of it is under way any more
		w.store.setDown(false)
		time.Sleep(time.Minute)
		audit, err := ReadAudit(ctx, w.store, testRetention())
		is.NoErr(err)
		is.Equal(len(audit.Totals), 1)
		is.Equal(audit.Totals[0].Bills, 1) // both holders sent it
		granted, err := w.nodes[2].ledger.Claim(ctx, "b1", "c", 1)
		is.NoErr(err)
		is.Equal(granted.State, ClaimGranted) // the refused one left no trace
	})
}

func TestOrphanIsSettledAndCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(4, 3)
		defer w.shutDown()
		ctx := context.Background()
		w.nodes[0].ledger.Open(Bill{ID: "r1", Customer: "c", PromptTokens: 10})
		time.Sleep(5 * time.Minute)
		audit, err := ReadAudit(ctx, w.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1, Settled: 1, PromptTokens: 10}})
		_, err = w.nodes[0].ledger.Close(ctx, Bill{ID: "r1", Customer: "c", PromptTokens: 10, CompletionTokens: 3, OpenedAt: time.Now()})
		is.NoErr(err)
		audit, err = ReadAudit(ctx, w.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1, PromptTokens: 10, CompletionTokens: 3}})
	})
}

// sameShard returns another ID of the same shard.
func sameShard(id string) string {
	for i := 0; ; i++ {
		if other := strconv.Itoa(i); ShardOf("c", other) == ShardOf("c", id) {
			return other
		}
	}
}

// TestRepeatedRecords has a sender repeat records long after they took effect.
func TestRepeatedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFleet(5, 1)
		defer w.shutDown()
		self := Origin{"elsewhere", 3}
		ask := func(r Record) OutcomeState {
			shard := ShardOf("c", r.ID())
			return w.nodes[0].keeper.Handle(context.Background(), Request{From: self, Shard: shard, Records: []Record{r}}).Outcomes[0].State
		}
		bill := Bill{ID: "r1", Customer: "c", OpenedAt: time.Now()}
		first := Record{Kind: KindClose, Origin: self, Number: 1, At: time.Now(), Bill: &bill}
		is.Equal(ask(first), Committed)
		time.Sleep(2 * time.Hour) // the ID of an instance's own making is forgotten
		is.Equal(ask(first), Committed)
		audit, err := ReadAudit(context.Background(), w.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1}})
		time.Sleep(25 * time.Hour)
		first.Number = 2
		is.Equal(ask(first), Expired) // older than what is outcomeWithoutStore

		claim := func(nonce string) Record {
			return Record{Kind: KindClaim, Origin: self, At: time.Now(), Claim: &Claim{ID: "b1", Customer: "c", Nonce: nonce}}
		}
		given := Record{Kind: KindFinish, Origin: self, At: time.Now(), Finish: &Finish{ID: "b1", Customer: "c", Nonce: "one"}}
		is.Equal(ask(given), Committed) // overtakes its claim
		is.Equal(ask(claim("one")), Released)
		is.Equal(ask(claim("two")), Committed)
		is.Equal(ask(claim("two")), Committed) // the same claim, sent again
		is.Equal(ask(claim("three")), Duplicate)
		time.Sleep(3 * time.Hour)
		is.Equal(ask(Record{Kind: KindOpen, Origin: self, At: time.Now(), Bill: &Bill{ID: sameShard("b1"), Customer: "c", OpenedAt: time.Now()}}), Committed)
		time.Sleep(time.Minute) // rolled up, so that the claim is packed
		is.Equal(ask(claim("four")), Duplicate)
		other := claim("five")
		other.Claim.BodyHash = 5
		is.Equal(ask(other), Mismatch)
		time.Sleep(24 * time.Hour)
		is.Equal(ask(claim("six")), Committed) // the window is over
	})
}
