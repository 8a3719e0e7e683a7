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

// rolloutDocument is a document whose roll-out went to half of the sessions after an
// hour.
func rolloutDocument() *configuration.Document {
	return &configuration.Document{
		Models: []configuration.Model{{Name: "m", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionActive},
		}}},
		Customers: []configuration.Customer{{Name: "c", Allowed: []configuration.Allowance{{Model: "m"}}}},
		Rollouts: []configuration.Rollout{{
			ID: "r", Model: "m", From: "v1", To: "v2", Stages: []float64{0.5}, State: configuration.RolloutRunning, StartedAt: startTime,
			History: []configuration.StageChange{{At: startTime}, {At: startTime.Add(time.Hour), Share: 0.5}},
		}},
	}
}

// inside and outside are insideAndOutside on either side of the share.
func insideAndOutside() (inside, outside Request) {
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		ask := Request{Customer: "c", Session: name, Model: "m"}
		if ask.Fraction() < 0.5 {
			inside = ask
		} else {
			outside = ask
		}
	}
	return inside, outside
}

func TestLostPinsAreRecomputedOrRefused(t *testing.T) {
	inside, outside := insideAndOutside()
	starting := func(ask Request, at time.Duration) Request {
		ask.StartedAt = startTime.Add(at)
		return ask
	}
	for _, c := range []struct {
		name    string
		ask     Request
		version string
	}{
		{"outside every share", outside, "v1"},
		{"inside, start unknown", inside, ""},
		{"inside, started before the stage", starting(inside, 30*time.Minute), "v1"},
		{"inside, started in the stage", starting(inside, 90*time.Minute), "v2"},
		{"inside, started while the stage spread", starting(inside, time.Hour+time.Second), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(startTime.Add(2 * time.Hour))
			doc := rolloutDocument()
			pin, err := NewPins(clock).Resolve(doc, &doc.Customers[0], c.ask)
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
	is.Equal(pin.Version, "v2") // kept, though new sessions get v1

	clock.Advance(IdleTimeout)
	_, err = first.Resolve(doc, customer, outside)
	is.NoErr(err) // the expired pin made room
	for range 24 {
		clock.Advance(IdleTimeout - 1)
		pin, err = first.Resolve(doc, customer, outside)
		is.NoErr(err)
	}
	is.True(pin.StartedAt.Before(clock.Now())) // the same session
	clock.Advance(IdleTimeout - 1)
	pin, err = first.Resolve(doc, customer, outside)
	is.NoErr(err)
	is.Equal(pin.StartedAt, clock.Now()) // the name begins a new one
	is.Equal(first.Len(), 1)
}
