package affinity

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

// open lets every unit pass; its pins answer v1 for any name.
type open struct{}

func (open) Fraction(_ string, unit float64) float64 { return unit }

func (open) Resolve(_ context.Context, ask session.Request) (session.Pin, bool, error) {
	return session.Pin{Customer: ask.Customer, Session: ask.Session, Model: ask.Model, Version: "v1"}, true, nil
}

func query(t *testing.T, identifier string, models ...string) pipeline.SessionQuery {
	t.Helper()
	raw, err := os.ReadFile("../../../examples/pottyround/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := configuration.Parse(raw, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range doc.Models {
		doc.Models[i].Versions = append(doc.Models[i].Versions, configuration.Version{Name: "v2", State: configuration.VersionActive})
	}
	return pipeline.SessionQuery{Document: doc, Customer: doc.Customer("households"), Identifier: identifier, Models: models, Now: time.Unix(1_800_000_000, 0)}
}

func reason(err error) call.Reason {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// TestTokenKeepsEveryModel begins a session on one model, goes on with both
// after the defaults changed, and ends with a withdrawal.
func TestTokenKeepsEveryModel(t *testing.T) {
	is := is.New(t)
	r := New(open{}, open{})
	ctx := context.Background()
	first, err := r.Resolve(ctx, query(t, "", "kingcup-small"))
	is.NoErr(err)
	is.True(!first.InProgress)
	q := query(t, first.Identifier, "kingcup-small", "kingcup-large")
	for i := range q.Document.Models {
		q.Document.Models[i].Default = "v2"
	}
	second, err := r.Resolve(ctx, q)
	is.NoErr(err)
	is.True(second.InProgress)
	is.Equal(second.Versions, map[string]string{"kingcup-small": "v1", "kingcup-large": "v2"})
	back := query(t, second.Identifier, "kingcup-large")
	third, err := r.Resolve(ctx, back)
	is.NoErr(err)
	is.Equal(third.Versions["kingcup-large"], "v2") // pinned by the second request

	back.ExactVersion = "v1"
	_, err = r.Resolve(ctx, back)
	is.Equal(reason(err), call.ReasonSessionInvalid)
	gone := query(t, second.Identifier, "kingcup-small", "kingcup-large")
	gone.Document.Models[0].Versions[0].State = configuration.VersionWithdrawn
	_, err = r.Resolve(ctx, gone)
	is.Equal(reason(err), call.ReasonSessionVersionWithdrawn)
	foreign := query(t, second.Identifier, "kingcup-small")
	foreign.Customer = foreign.Document.Customer("riders")
	_, err = r.Resolve(ctx, foreign)
	is.Equal(reason(err), call.ReasonSessionInvalid)
}

func TestNamedSessionIsConfirmed(t *testing.T) {
	is := is.New(t)
	r := New(open{}, open{})
	q := query(t, "my-own-name", "kingcup-small")
	s, err := r.Resolve(context.Background(), q)
	is.NoErr(err)
	is.Equal(s.Identifier, "my-own-name")
	q.Document.Models[0].Versions[0].State = configuration.VersionWithdrawn
	_, err = r.Resolve(context.Background(), q)
	is.Equal(reason(err), call.ReasonSessionVersionWithdrawn) // this instance knows before the keeper
}
