package keeper_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

func membersAt(self string, listedAt time.Time, names ...string) *board.Members {
	m := &board.Members{Self: self, ListedAt: listedAt}
	for _, n := range names {
		m.List = append(m.List, board.Member{Name: n, State: board.MemberAlive})
	}
	return m
}

func reasonOf(err error) keeper.TermReason {
	var no *keeper.NotKeeperError
	if errors.As(err, &no) {
		return no.Reason
	}
	return ""
}

// updateEverySecond keeps the terms looking at the clock with a fresh list from from to to.
func updateEverySecond(o *keeper.Terms, from, to time.Time, names ...string) {
	for now := from; !now.After(to); now = now.Add(time.Second) {
		o.Update(membersAt("a", now, names...), now)
	}
}

func TestNewTermWaitsForTakeoverDelay(t *testing.T) {
	is := is.New(t)
	o := keeper.NewTerms(keeper.DefaultTiming())
	start := time.Unix(1000, 0)
	updateEverySecond(o, start, start, "a")
	_, err := o.Term("s", start)
	is.Equal(reasonOf(err), keeper.ReasonWaiting)
	wait := keeper.DefaultTiming().TakeoverDelay()
	updateEverySecond(o, start, start.Add(wait), "a")
	end := start.Add(wait)
	o.Update(membersAt("a", end, "a"), end)
	_, err = o.Term("s", end)
	is.NoErr(err)
}

func TestTermsAreVoided(t *testing.T) {
	start := time.Unix(1000, 0)
	granting := start.Add(20 * time.Second)
	cases := map[string]struct {
		event func(o *keeper.Terms) time.Time
		want  keeper.TermReason
	}{
		"after a pause": {func(o *keeper.Terms) time.Time {
			now := granting.Add(5 * time.Second)
			o.Update(membersAt("a", now, "a"), now)
			return now
		}, keeper.ReasonWaiting},
		"while the list is stale": {func(*keeper.Terms) time.Time { return granting.Add(time.Hour) }, keeper.ReasonListStale},
		"after a spell with another keeper": {func(o *keeper.Terms) time.Time {
			o.Update(membersAt("a", granting, "b"), granting)
			o.Update(membersAt("a", granting, "a"), granting)
			return granting
		}, keeper.ReasonWaiting},
		"under another keeper": {func(o *keeper.Terms) time.Time {
			o.Update(membersAt("a", granting, "b"), granting)
			return granting
		}, keeper.ReasonOtherKeeper},
		"with no change": {func(*keeper.Terms) time.Time { return granting }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := keeper.NewTerms(keeper.DefaultTiming())
			updateEverySecond(o, start, start, "a")
			_, _ = o.Term("s", start)
			updateEverySecond(o, start, granting, "a")
			now := c.event(o)
			_, err := o.Term("s", now)
			is.Equal(reasonOf(err), c.want)
		})
	}
}

func TestLookupMovesFewKeys(t *testing.T) {
	is := is.New(t)
	list := membersAt("", time.Time{}, "a", "b", "c", "d").List
	list[3].State = board.MemberSuspect
	moved, kept := 0, 0
	for key := range 1000 {
		before, _ := keeper.Lookup(list, string(rune(key)), keeper.WithSuspects())
		after, _ := keeper.Lookup(list, string(rune(key)))
		is.True(after.Name != "d")
		if before.Name == "d" {
			moved++
		} else {
			kept++
			is.Equal(before.Name, after.Name)
		}
	}
	is.True(moved > 150 && moved < 350)
	_, ok := keeper.Lookup(nil, "key")
	is.True(!ok)
}
