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
	var notKeeper *keeper.NotKeeperError
	if errors.As(err, &notKeeper) {
		return notKeeper.Reason
	}
	return ""
}

// updateEverySecond calls Update with a fresh list every second in a period.
func updateEverySecond(terms *keeper.Terms, from, to time.Time, names ...string) {
	for now := from; !now.After(to); now = now.Add(time.Second) {
		terms.Update(membersAt("a", now, names...), now)
	}
}

func TestNewTermWaitsForTakeoverDelay(t *testing.T) {
	is := is.New(t)
	terms := keeper.NewTerms(keeper.DefaultTiming())
	start := time.Unix(1000, 0)
	updateEverySecond(terms, start, start, "a")
	_, err := terms.Term("s", start)
	is.Equal(reasonOf(err), keeper.ReasonWaiting)
	wait := keeper.DefaultTiming().TakeoverDelay()
	updateEverySecond(terms, start, start.Add(wait), "a")
	end := start.Add(wait)
	terms.Update(membersAt("a", end, "a"), end)
	_, err = terms.Term("s", end)
	is.NoErr(err)
}

func TestTermsAreVoided(t *testing.T) {
	start := time.Unix(1000, 0)
	granting := start.Add(20 * time.Second)
	cases := map[string]struct {
		event func(terms *keeper.Terms) time.Time
		want  keeper.TermReason
	}{
		"after a pause": {func(terms *keeper.Terms) time.Time {
			now := granting.Add(5 * time.Second)
			terms.Update(membersAt("a", now, "a"), now)
			return now
		}, keeper.ReasonWaiting},
		"while the list is stale": {func(*keeper.Terms) time.Time { return granting.Add(time.Hour) }, keeper.ReasonListStale},
		"after a period under another keeper": {func(terms *keeper.Terms) time.Time {
			terms.Update(membersAt("a", granting, "b"), granting)
			terms.Update(membersAt("a", granting, "a"), granting)
			return granting
		}, keeper.ReasonWaiting},
		"under another keeper": {func(terms *keeper.Terms) time.Time {
			terms.Update(membersAt("a", granting, "b"), granting)
			return granting
		}, keeper.ReasonOtherKeeper},
		"with no change": {func(*keeper.Terms) time.Time { return granting }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			terms := keeper.NewTerms(keeper.DefaultTiming())
			updateEverySecond(terms, start, start, "a")
			_, _ = terms.Term("s", start)
			updateEverySecond(terms, start, granting, "a")
			now := c.event(terms)
			_, err := terms.Term("s", now)
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
