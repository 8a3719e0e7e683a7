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
		fl := newFleet(1, 3)
		defer fl.shutDown()
		bill := Bill{ID: "r1", Customer: "c", Model: "small", Version: "v1", Keyed: true, CompletionTokens: 5, Cost: 2}
		fl.instances[0].ledger.Open(bill)
		closed, err := fl.instances[0].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Committed && !closed.Duplicate)
		closed, err = fl.instances[1].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Duplicate)
		time.Sleep(time.Minute) // until the log is rolled up
		audit, err := ReadAudit(context.Background(), fl.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Model: "small", Version: "v1", Bills: 1, CompletionTokens: 5, Cost: 2}})
		closed, err = fl.instances[2].ledger.Close(context.Background(), bill)
		is.NoErr(err)
		is.True(closed.Duplicate) // the pages know the bill as well
	})
}

func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(2, 3)
		defer fl.shutDown()
		ctx := context.Background()
		first, err := fl.instances[0].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(first.State, ClaimGranted)
		second, err := fl.instances[1].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(second.State, ClaimDuplicate)
		is.Equal(second.Existing.State, call.MayHaveRun)
		is.True(!second.Existing.Finished)
		fl.instances[0].ledger.Finish(first.Ticket, call.Ran, []byte("booked"))
		time.Sleep(time.Minute)
		third, err := fl.instances[2].ledger.Claim(ctx, "b1", "c", 7)
		is.NoErr(err)
		is.Equal(string(third.Existing.Answer), "booked")
		is.Equal(third.Existing.State, call.Ran)
		other, err := fl.instances[2].ledger.Claim(ctx, "b1", "c", 8)
		is.NoErr(err)
		is.Equal(other.State, ClaimMismatch)
		others, err := fl.instances[2].ledger.Claim(ctx, "b1", "another customer", 8)
		is.NoErr(err)
		is.Equal(others.State, ClaimGranted)
		fl.instances[2].ledger.Finish(others.Ticket, call.NotRun, nil)
		time.Sleep(time.Second)
		again, err := fl.instances[0].ledger.Claim(ctx, "b1", "another customer", 9)
		is.NoErr(err)
		is.Equal(again.State, ClaimGranted) // the previous claim was given up
	})
}

func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(3, 4)
		defer fl.shutDown()
		ctx := context.Background()
		fl.store.setDown(true)
		bill := Bill{ID: "r1", Customer: "c"}
		closed, err := fl.instances[0].ledger.Close(ctx, bill)
		is.NoErr(err)
		is.Equal(len(closed.Holders), 2)
		for _, name := range closed.Holders {
			is.True(fl.byName(name).member.DataCentre != fl.instances[0].member.DataCentre)
		}
		_, err = fl.instances[1].ledger.Claim(ctx, "b1", "c", 1)
		var refused *ClaimError
		is.True(errors.As(err, &refused)) // refused, not run
		time.Sleep(time.Hour)
		fl.instances[0].kill() // the owner cannot commit the bill itself
		fl.publishMembers()
		time.Sleep(30 * time.Second) // until none of its requests is in flight
		fl.store.setDown(false)
		time.Sleep(time.Minute)
		audit, err := ReadAudit(ctx, fl.store, testRetention())
		is.NoErr(err)
		is.Equal(len(audit.Totals), 1)
		is.Equal(audit.Totals[0].Bills, 1) // counted once although both holders sent it
		granted, err := fl.instances[2].ledger.Claim(ctx, "b1", "c", 1)
		is.NoErr(err)
		is.Equal(granted.State, ClaimGranted) // the refused claim had no effect
	})
}

func TestOrphanIsSettledAndCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(4, 3)
		defer fl.shutDown()
		ctx := context.Background()
		fl.instances[0].ledger.Open(Bill{ID: "r1", Customer: "c", PromptTokens: 10})
		time.Sleep(5 * time.Minute)
		audit, err := ReadAudit(ctx, fl.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1, Settled: 1, PromptTokens: 10}})
		_, err = fl.instances[0].ledger.Close(ctx, Bill{ID: "r1", Customer: "c", PromptTokens: 10, CompletionTokens: 3, OpenedAt: time.Now()})
		is.NoErr(err)
		audit, err = ReadAudit(ctx, fl.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1, PromptTokens: 10, CompletionTokens: 3}})
	})
}

// sameShard returns another ID that belongs to the same shard.
func sameShard(id string) string {
	for i := 0; ; i++ {
		if other := strconv.Itoa(i); ShardOf("c", other) == ShardOf("c", id) {
			return other
		}
	}
}

// TestRepeatedRecords checks that a record has no further effect if its sender
// repeats it long after it was committed.
func TestRepeatedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(5, 1)
		defer fl.shutDown()
		self := Origin{"elsewhere", 3}
		send := func(r Record) OutcomeState {
			shard := ShardOf("c", r.ID())
			return fl.instances[0].keeper.Handle(context.Background(), Request{From: self, Shard: shard, Records: []Record{r}}).Outcomes[0].State
		}
		bill := Bill{ID: "r1", Customer: "c", OpenedAt: time.Now()}
		first := Record{Kind: KindClose, Origin: self, Number: 1, At: time.Now(), Bill: &bill}
		is.Equal(send(first), Committed)
		time.Sleep(2 * time.Hour) // the closed bill is forgotten, since it is not keyed
		is.Equal(send(first), Committed)
		audit, err := ReadAudit(context.Background(), fl.store, testRetention())
		is.NoErr(err)
		is.Equal(audit.Totals, []Total{{Customer: "c", Bills: 1}})
		time.Sleep(25 * time.Hour)
		first.Number = 2
		is.Equal(send(first), Expired) // older than the retention period

		claim := func(nonce string) Record {
			return Record{Kind: KindClaim, Origin: self, At: time.Now(), Claim: &Claim{ID: "b1", Customer: "c", Nonce: nonce}}
		}
		givenUp := Record{Kind: KindFinish, Origin: self, At: time.Now(), Finish: &Finish{ID: "b1", Customer: "c", Nonce: "one"}}
		is.Equal(send(givenUp), Committed) // arrives before its claim
		is.Equal(send(claim("one")), Released)
		is.Equal(send(claim("two")), Committed)
		is.Equal(send(claim("two")), Committed) // repeat of the same claim
		is.Equal(send(claim("three")), Duplicate)
		time.Sleep(3 * time.Hour)
		is.Equal(send(Record{Kind: KindOpen, Origin: self, At: time.Now(), Bill: &Bill{ID: sameShard("b1"), Customer: "c", OpenedAt: time.Now()}}), Committed)
		time.Sleep(time.Minute) // the roll-up packs the claim
		is.Equal(send(claim("four")), Duplicate)
		other := claim("five")
		other.Claim.BodyHash = 5
		is.Equal(send(other), Mismatch)
		time.Sleep(24 * time.Hour)
		is.Equal(send(claim("six")), Committed) // after the retention period
	})
}
