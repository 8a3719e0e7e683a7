package session

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// rolloutDocument returns a document with a rollout that advanced to half of the
// sessions after one hour.
func rolloutDocument() *configuration.Document {
	return &configuration.Document{
		Models: []configuration.Model{{Name: "m", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionActive},
		}}},
		Customers: []configuration.Customer{{Name: "c", Allowed: []configuration.ModelAccess{{Model: "m"}}}},
		Rollouts: []configuration.Rollout{{
			ID: "r", Model: "m", From: "v1", To: "v2", Stages: []float64{0.5}, State: configuration.RolloutRunning, StartedAt: startTime,
			History: []configuration.StageChange{{At: startTime}, {At: startTime.Add(time.Hour), Share: 0.5}},
		}},
	}
}

// insideAndOutside returns requests of a session that the rollout includes and of
// one that it does not.
func insideAndOutside() (inside, outside Request) {
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		req := Request{Customer: "c", Session: name, Model: "m"}
		if req.Fraction() < 0.5 {
			inside = req
		} else {
			outside = req
		}
	}
	return inside, outside
}

// A new instance has no pins. It recomputes the version of a session in progress
// if the rollout history allows only one, and refuses the request otherwise.
func TestLostPinsAreRecomputedOrRefused(t *testing.T) {
	inside, outside := insideAndOutside()
	startedAt := func(req Request, offset time.Duration) Request {
		req.StartedAt = startTime.Add(offset)
		return req
	}
	for _, c := range []struct {
		name    string
		req     Request
		version string
	}{
		{"outside every stage", outside, "v1"},
		{"inside, start unknown", inside, ""},
		{"inside, started before the stage", startedAt(inside, 30*time.Minute), "v1"},
		{"inside, started in the stage", startedAt(inside, 90*time.Minute), "v2"},
		{"inside, started while the stage took effect", startedAt(inside, time.Hour+time.Second), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(startTime.Add(2 * time.Hour))
			doc := rolloutDocument()
			pin, err := NewPins(clock).Resolve(doc, &doc.Customers[0], c.req)
			is.Equal(pin.Version, c.version)
			var refusal *call.Refusal
			is.Equal(errors.As(err, &refusal), c.version == "")
			if refusal != nil {
				is.Equal(refusal.Reason, call.ReasonSessionInvalid)
				is.Equal(refusal.State, call.NotRun)
			}
		})
	}
}

// The number of pins is limited, a transferred pin stays in force after the rollout
// is halted, and a session ends after IdleTimeout or MaxAge.
func TestPinsAreLimitedAndTransferred(t *testing.T) {
	is := is.New(t)
	inside, outside := insideAndOutside()
	clock := clockwork.NewFakeClockAt(startTime)
	doc := rolloutDocument()
	customer := &doc.Customers[0]
	first, second := NewPins(clock, WithLimit(1)), NewPins(clock)
	clock.Advance(IdleTimeout)
	pin, err := first.Resolve(doc, customer, inside)
	is.NoErr(err)
	is.Equal(pin.Version, "v2")
	_, err = first.Resolve(doc, customer, outside)
	var refusal *call.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, call.ReasonOverloaded)

	is.NoErr(second.Import(first.Export(func(string, string) bool { return true })))
	second.MarkIncomplete()
	clock.Advance(IdleTimeout / 2)
	doc.Rollouts[0].State = configuration.RolloutHalted
	pin, err = second.Resolve(doc, customer, inside)
	is.NoErr(err)
	is.Equal(pin.Version, "v2") // still pinned to v2, although new sessions get v1

	clock.Advance(IdleTimeout)
	_, err = first.Resolve(doc, customer, outside)
	is.NoErr(err) // the other pin has expired
	for range 24 {
		clock.Advance(IdleTimeout - 1)
		pin, err = first.Resolve(doc, customer, outside)
		is.NoErr(err)
	}
	is.True(pin.StartedAt.Before(clock.Now())) // the same session
	clock.Advance(IdleTimeout - 1)
	pin, err = first.Resolve(doc, customer, outside)
	is.NoErr(err)
	is.Equal(pin.StartedAt, clock.Now()) // the name starts a new session
	is.Equal(first.Len(), 1)
}
