// Package affinity implements session affinity for model versions: it determines
// which version of each model a request runs on. A session in progress keeps its
// versions, which are pinned in the sealed token that the caller sends back or in
// the pins of a session that the caller has named. A new session gets
// the version that the rollout in progress selects for it, or the default.
package affinity

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

// PinResolver stores the pins of named sessions.
type PinResolver interface {
	// Resolve returns the pin of one model of a named session. found is true if
	// the session began with an earlier request. The error is a *call.Refusal.
	Resolve(ctx context.Context, req session.Request) (pin session.Pin, found bool, err error)
}

// Guard keeps new sessions off the new version of a rollout as soon as the evidence
// is against it, before the rollout's driver reacts. *rollout.Guard implements it.
type Guard interface {
	// Fraction returns the fraction with which to choose a version of the model,
	// given the session's own fraction.
	Fraction(model string, fraction float64) float64
}

// Resolver implements pipeline.SessionResolver. It is safe for concurrent use.
type Resolver struct {
	pins   PinResolver
	guard  Guard
	sealer atomic.Pointer[cachedSealer]
}

// cachedSealer is a sealer with the session keys of one configuration revision.
type cachedSealer struct {
	revision int64
	sealer   *session.Sealer
}

// New returns a Resolver that stores the pins of named sessions in pins and consults
// the guard when it chooses a version for a new session.
func New(pins PinResolver, guard Guard) *Resolver {
	return &Resolver{pins: pins, guard: guard}
}

// Resolve implements pipeline.SessionResolver. The error is a *call.Refusal.
func (r *Resolver) Resolve(ctx context.Context, q pipeline.SessionQuery) (pipeline.Session, error) {
	if q.Identifier != "" && !session.IsToken(q.Identifier) {
		return r.resolveNamed(ctx, q)
	}
	sealer, err := r.sealerFor(q.Document)
	if err != nil {
		return pipeline.Session{}, &call.Refusal{Reason: call.ReasonNotReady, Detail: err.Error()}
	}
	pin, err := openPin(sealer, q)
	if err != nil {
		return pipeline.Session{}, err
	}
	s := pipeline.Session{Versions: map[string]string{}, InProgress: q.Identifier != ""}
	pin, err = r.resolveVersions(&s, pin, q)
	if err != nil {
		return pipeline.Session{}, err
	}
	s.Identifier, err = sealer.Seal(pin)
	if err != nil {
		return pipeline.Session{}, &call.Refusal{Reason: call.ReasonNotReady, Detail: err.Error()}
	}
	return s, nil
}

// sealerFor returns the sealer for the document's session keys. The sealer of the
// last used revision is cached.
func (r *Resolver) sealerFor(doc *configuration.Document) (*session.Sealer, error) {
	if cached := r.sealer.Load(); cached != nil && cached.revision == doc.Revision {
		return cached.sealer, nil
	}
	s, err := session.NewSealer(doc.SessionKeys)
	if err != nil {
		return nil, fmt.Errorf("session keys: %w", err)
	}
	r.sealer.Store(&cachedSealer{doc.Revision, s})
	return s, nil
}

// openPin returns the pin in the caller's token, or a pin without versions for a new
// session.
func openPin(sealer *session.Sealer, q pipeline.SessionQuery) (session.Pin, error) {
	if q.Identifier == "" {
		return session.Pin{Customer: q.Customer.Name, Session: uuid.NewString(), StartedAt: q.Now}, nil
	}
	pin, err := sealer.Open(q.Customer.Name, q.Identifier)
	if err != nil {
		return session.Pin{}, &call.Refusal{Reason: call.ReasonSessionInvalid, Field: "Session-Id", Detail: err.Error()}
	}
	return pin, nil
}

// resolveVersions determines the version of each requested model and adds it to s and
// to the pin. A model without a usable version is omitted. It is an error if the
// session already has a version of that model, or if no model remains.
func (r *Resolver) resolveVersions(s *pipeline.Session, pin session.Pin, q pipeline.SessionQuery) (session.Pin, error) {
	var errs error
	for _, model := range q.Models {
		version, err := r.resolveVersion(pin, model, q)
		if err != nil {
			if _, pinned := pin.ForModel(model); pinned {
				return pin, err
			}
			errs = errors.Join(errs, err)
			continue
		}
		pin = pin.WithModel(model, version)
		s.Versions[model] = version
	}
	if len(s.Versions) == 0 {
		return pin, firstRefusal(errs)
	}
	return pin, nil
}

// resolveVersion returns the pinned version of the model, or chooses one if the
// model is not pinned.
func (r *Resolver) resolveVersion(pin session.Pin, model string, q pipeline.SessionQuery) (string, error) {
	pinned, ok := pin.ForModel(model)
	if !ok {
		return r.chooseVersion(pin.Session, model, q)
	}
	version, err := session.Resolve(q.Document, q.Customer, pinned)
	if err != nil {
		return "", err
	}
	return version, checkExactVersion(model, version, q)
}

// chooseVersion returns the version for a model that the session has not used yet.
func (r *Resolver) chooseVersion(name, model string, q pipeline.SessionQuery) (string, error) {
	if q.ExactVersion != "" {
		return q.ExactVersion, nil
	}
	fraction := r.guard.Fraction(model, rollout.HashFraction(q.Customer.Name, name, model))
	return rollout.ChooseVersion(q.Document, q.Customer, model, fraction)
}

// checkExactVersion refuses a request that names another version than the one that
// its session is pinned to.
func checkExactVersion(model, version string, q pipeline.SessionQuery) error {
	if q.ExactVersion == "" || q.ExactVersion == version {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonSessionInvalid, Field: "model", Detail: "the session keeps " + model + "@" + version}
}

// resolveNamed determines the versions of a session that the caller has named. A
// model without a usable version is handled as in resolveVersions.
func (r *Resolver) resolveNamed(ctx context.Context, q pipeline.SessionQuery) (pipeline.Session, error) {
	s := pipeline.Session{Identifier: q.Identifier, Versions: map[string]string{}}
	var errs error
	for _, model := range q.Models {
		version, found, err := r.resolveNamedVersion(ctx, model, q)
		if err != nil {
			if found {
				return pipeline.Session{}, err
			}
			errs = errors.Join(errs, err)
			continue
		}
		s.InProgress = s.InProgress || found
		s.Versions[model] = version
	}
	if len(s.Versions) == 0 {
		return pipeline.Session{}, firstRefusal(errs)
	}
	return s, nil
}

// resolveNamedVersion returns the version of one model of a named session, and
// whether the session began with an earlier request.
func (r *Resolver) resolveNamedVersion(ctx context.Context, model string, q pipeline.SessionQuery) (string, bool, error) {
	pin, found, err := r.pins.Resolve(ctx, session.Request{Customer: q.Customer.Name, Session: q.Identifier, Model: model, ExactVersion: q.ExactVersion})
	if err != nil {
		return "", found, err
	}
	if err := session.VerifyPin(q.Document, q.Customer, pin); err != nil {
		return "", found, err
	}
	return pin.Version, found, checkExactVersion(model, pin.Version, q)
}

// firstRefusal returns the first refusal among joined errors, or a refusal with
// ReasonUnknownModel if there is none.
func firstRefusal(err error) error {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: "no model to run on"}
}
