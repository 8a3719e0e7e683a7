package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	standin "github.com/kingcupyard/kingcupyard/internal/standin/store"
	"github.com/kingcupyard/kingcupyard/internal/standin/verbatim"
)

// start returns a client and the stand-in that it calls.
func start(t *testing.T, opts ...Option) (*Client, *standin.Store) {
	t.Helper()
	s := standin.New(standin.Settings{})
	address, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(address, opts...)
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c, s
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _ := start(t)
	created, first, err := c.Create(ctx, Ledger, "a/1", []byte("x"))
	is.NoErr(err)
	is.True(created)
	created, rev, err := c.Create(ctx, Ledger, "a/1", []byte("y"))
	is.NoErr(err)
	is.True(!created)
	is.Equal(rev, first)
	swapped, second, err := c.CompareAndSwap(ctx, Ledger, "a/1", first, []byte("z"))
	is.NoErr(err)
	is.True(swapped && second > first)
	swapped, rev, err = c.CompareAndSwap(ctx, Ledger, "a/1", first, []byte("late"))
	is.NoErr(err)
	is.True(!swapped)
	is.Equal(rev, second)
	value, mod, found, err := c.Get(ctx, Ledger, "a/1")
	is.NoErr(err)
	is.True(found)
	is.Equal(string(value), "z")
	is.Equal(mod, second)
	_, _, _ = c.Create(ctx, Ledger, "b/1", nil)
	entries, err := c.Range(ctx, Ledger, "a/")
	is.NoErr(err)
	is.Equal(len(entries), 1)
	existed, err := c.Delete(ctx, Ledger, "a/1")
	is.NoErr(err)
	is.True(existed)
	_, _, found, err = c.Get(ctx, Ledger, "a/1")
	is.NoErr(err)
	is.True(!found)
}

func TestLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _ := start(t)
	lease, err := c.GrantLease(ctx, Fence, 30*time.Second)
	is.NoErr(err)
	created, _, err := c.CreateWithLease(ctx, Fence, "driver", []byte("me"), lease.ID)
	is.NoErr(err)
	is.True(created)
	_, alive, err := c.KeepAlive(ctx, Fence, lease.ID)
	is.NoErr(err)
	is.True(alive)
	is.NoErr(c.Revoke(ctx, Fence, lease.ID))
	_, _, found, err := c.Get(ctx, Fence, "driver")
	is.NoErr(err)
	is.True(!found)
	_, alive, err = c.KeepAlive(ctx, Fence, lease.ID)
	is.NoErr(err)
	is.True(!alive)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, s := start(t)
	_, first, err := c.Create(ctx, Configuration, "k", []byte("1"))
	is.NoErr(err)
	events, err := c.Watch(ctx, Configuration, "k", first)
	is.NoErr(err)
	_, second, err := c.CompareAndSwap(ctx, Configuration, "k", first, []byte("2"))
	is.NoErr(err)
	for _, want := range []int64{first, second} {
		e := <-events
		is.NoErr(e.Err)
		is.Equal(e.ModRevision, want)
	}
	s.SetFaults(func(f *standin.Faults) { f.Down = true })
	e, open := <-events
	var unavailable *UnavailableError
	is.True(open && errors.As(e.Err, &unavailable))
	_, open = <-events
	is.True(!open)
}

// TestLostAnswer loses the answer of a write that took effect.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, s := start(t, WithTimeout(300*time.Millisecond))
	s.SetFaults(func(f *standin.Faults) { f.LoseAnswers = 1 })
	_, _, err := c.Create(ctx, Ledger, "k", []byte("v"))
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(unavailable.MayHaveTakenEffect)
	is.Equal(len(s.Entries("k", "l")), 1)
}

// TestNotListening calls an address where nobody listens: no effect for sure.
func TestNotListening(t *testing.T) {
	is := is.New(t)
	c := New("127.0.0.1:1")
	_, _, err := c.Create(context.Background(), Claim, "k", []byte("v"))
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(!unavailable.MayHaveTakenEffect)
	is.Equal(unavailable.Purpose, Claim)
	_, _, err = c.Create(context.Background(), Claim, "k", []byte("v"))
	var hold *HoldError
	is.True(errors.As(err, &hold))
	is.Equal(c.Calls()[Claim], Calls{Purpose: "Claim", Writes: 1, Failed: 1, Refused: 1})
}

// TestPriorities empties a bucket: statistics stop first, fences never.
func TestPriorities(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := newBucket(10, 40, clock)
	taken := func(p Purpose) (n int) {
		for ok := true; ok; n++ {
			_, ok = b.take(p)
		}
		return n - 1
	}
	is.Equal(taken(Statistics), 16)
	is.Equal(taken(Evidence), 8)
	is.Equal(taken(Ledger), 8)
	is.Equal(taken(Claim), 4)
	is.Equal(taken(Fence), 4)
	clock.Advance(time.Second)
	is.Equal(taken(Statistics), 0)
	is.Equal(taken(Configuration), 10)
}

// TestShares adds up the budgets of a fleet: never more than the limits.
func TestShares(t *testing.T) {
	is := is.New(t)
	for _, members := range []int{0, 1, 9, 72, 360} {
		share := DefaultLimits.ShareOf(members)
		writers := float64(min(members, DefaultLimits.Writers))
		is.True(share.Reads*float64(members) <= DefaultLimits.ReadsPerSecond+1e-9)
		even := share.DutyWrites / DefaultLimits.Unevenness
		is.True(even*writers+share.OtherWrites*float64(members) <= DefaultLimits.WritesPerSecond+1e-9)
	}
}

// TestHold bounds the pause after failures for each purpose and spreads it.
func TestHold(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := &hold{clock: clock, rng: rand.New(rand.NewPCG(1, 2))}
	pauses := map[time.Duration]bool{}
	for range 20 {
		h.failed()
		is.True(!h.open(Configuration))
		is.True(h.pause(Configuration) <= maxDutyHold)
		is.True(h.pause(Statistics) <= maxHold)
		pauses[h.pause(Statistics)] = true
	}
	is.True(len(pauses) > 15)
	clock.Advance(maxDutyHold)
	is.True(h.open(Configuration))
	is.True(!h.open(Statistics))
	h.succeeded()
	is.True(h.open(Statistics))
}

// An answer whose head breaks the rules of HTTP is none: the call may have taken effect.
func TestMalformedHead(t *testing.T) {
	for _, c := range []struct {
		head  string
		sound bool
	}{
		{"HTTP/1.1 200 OK", true}, {"HTTP/1.1 000 Unknown", false}, {"HTTP/1.1 200 OK\r\nSome Note: 1", false},
	} {
		is := is.New(t)
		client := New(verbatim.Serve(t, c.head+"\r\nContent-Length: 2\r\n\r\n{}"))
		_, _, err := client.Create(t.Context(), Ledger, "a/1", nil)
		is.Equal(err == nil, c.sound)
		var e *UnavailableError
		is.Equal(errors.As(err, &e) && e.MayHaveTakenEffect, !c.sound)
		client.Close()
	}
}
