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

// stub implements Guard and PinResolver. It returns every fraction unchanged and
// pins every named session to v1.
type stub struct{}

func (stub) Fraction(_ string, fraction float64) float64 { return fraction }

func (stub) Resolve(_ context.Context, req session.Request) (session.Pin, bool, error) {
	return session.Pin{Customer: req.Customer, Session: req.Session, Model: req.Model, Version: "v1"}, true, nil
}

func newQuery(t *testing.T, identifier string, models ...string) pipeline.SessionQuery {
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

func refusalReason(err error) call.Reason {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// TestTokenPinsEveryModel guards against a token that loses the version of a model,
// or that is accepted for a withdrawn version or another customer. The session begins
// with one model and continues with both after the defaults have changed.
func TestTokenPinsEveryModel(t *testing.T) {
	is := is.New(t)
	r := New(stub{}, stub{})
	ctx := context.Background()
	first, err := r.Resolve(ctx, newQuery(t, "", "kingcup-small"))
	is.NoErr(err)
	is.True(!first.InProgress)
	q := newQuery(t, first.Identifier, "kingcup-small", "kingcup-large")
	for i := range q.Document.Models {
		q.Document.Models[i].Default = "v2"
	}
	second, err := r.Resolve(ctx, q)
	is.NoErr(err)
	is.True(second.InProgress)
	is.Equal(second.Versions, map[string]string{"kingcup-small": "v1", "kingcup-large": "v2"})
	largeOnly := newQuery(t, second.Identifier, "kingcup-large")
	third, err := r.Resolve(ctx, largeOnly)
	is.NoErr(err)
	is.Equal(third.Versions["kingcup-large"], "v2") // pinned by the second request

	largeOnly.ExactVersion = "v1"
	_, err = r.Resolve(ctx, largeOnly)
	is.Equal(refusalReason(err), call.ReasonSessionInvalid)
	withdrawn := newQuery(t, second.Identifier, "kingcup-small", "kingcup-large")
	withdrawn.Document.Models[0].Versions[0].State = configuration.VersionWithdrawn
	_, err = r.Resolve(ctx, withdrawn)
	is.Equal(refusalReason(err), call.ReasonSessionVersionWithdrawn)
	otherCustomer := newQuery(t, second.Identifier, "kingcup-small")
	otherCustomer.Customer = otherCustomer.Document.Customer("riders")
	_, err = r.Resolve(ctx, otherCustomer)
	is.Equal(refusalReason(err), call.ReasonSessionInvalid)
}

func TestNamedSessionPinIsVerified(t *testing.T) {
	is := is.New(t)
	r := New(stub{}, stub{})
	q := newQuery(t, "my-own-name", "kingcup-small")
	s, err := r.Resolve(context.Background(), q)
	is.NoErr(err)
	is.Equal(s.Identifier, "my-own-name")
	q.Document.Models[0].Versions[0].State = configuration.VersionWithdrawn
	_, err = r.Resolve(context.Background(), q)
	is.Equal(refusalReason(err), call.ReasonSessionVersionWithdrawn) // this instance learned of the withdrawal before the keeper
}
