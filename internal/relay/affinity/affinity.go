// Package affinity finds the version of each model that a request's session
// keeps: from the sealed token that the caller echoes, from the pin under a
// name that the caller brings, or by choice for a new session.
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

// PinResolver keeps the versions of sessions that callers name.
type PinResolver interface {
	// Resolve returns the pin of one model of a named session. Found says that
	// the session began earlier. The error is a *call.Refusal.
	Resolve(ctx context.Context, ask session.Request) (pin session.Pin, found bool, err error)
}

// Guard narrows a roll-out's stage before its driver does.
type Guard interface {
	// Fraction returns the unit to choose a version of the model with.
	Fraction(model string, unit float64) float64
}

// Resolver implements pipeline.Sessions. It is safe for concurrent use.
type Resolver struct {
	pins   PinResolver
	guard  Guard
	sealer atomic.Pointer[keyedSealer]
}

// keyedSealer is the sealer for the keys of one revision.
type keyedSealer struct {
	revision int64
	sealer   *session.Sealer
}

// New returns a Resolver that keeps named sessions in pins and asks the guard
// before a new session gets the new version of a roll-out.
func New(pins PinResolver, guard Guard) *Resolver {
	return &Resolver{pins: pins, guard: guard}
}

// Resolve implements pipeline.Sessions. The error is a *call.Refusal.
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
	pin, err = r.fill(&s, pin, q)
	if err != nil {
		return pipeline.Session{}, err
	}
	s.Identifier, err = sealer.Seal(pin)
	if err != nil {
		return pipeline.Session{}, &call.Refusal{Reason: call.ReasonNotReady, Detail: err.Error()}
	}
	return s, nil
}

func (r *Resolver) sealerFor(doc *configuration.Document) (*session.Sealer, error) {
	if k := r.sealer.Load(); k != nil && k.revision == doc.Revision {
		return k.sealer, nil
	}
	s, err := session.NewSealer(doc.SessionKeys)
	if err != nil {
		return nil, fmt.Errorf("session keys: %w", err)
	}
	r.sealer.Store(&keyedSealer{doc.Revision, s})
	return s, nil
}

// openPin returns the pin in the caller's token, or one for a new session.
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

// fill finds the version of each model and adds it to the pin. A model without
// a version is left out unless the session had one, or none is left.
func (r *Resolver) fill(s *pipeline.Session, pin session.Pin, q pipeline.SessionQuery) (session.Pin, error) {
	var first error
	for _, model := range q.Models {
		version, err := r.versionOf(pin, model, q)
		if err != nil {
			if _, pinned := pin.ForModel(model); pinned {
				return pin, err
			}
			first = errors.Join(first, err)
			continue
		}
		pin = pin.WithModel(model, version)
		s.Versions[model] = version
	}
	if len(s.Versions) == 0 {
		return pin, firstRefusal(first)
	}
	return pin, nil
}

// versionOf returns the pinned version of the model, or chooses one.
func (r *Resolver) versionOf(pin session.Pin, model string, q pipeline.SessionQuery) (string, error) {
	pinned, ok := pin.ForModel(model)
	if !ok {
		return r.choose(pin.Session, model, q)
	}
	version, err := session.Resolve(q.Document, q.Customer, pinned)
	if err != nil {
		return "", err
	}
	return version, checkExact(model, version, q)
}

func (r *Resolver) choose(name, model string, q pipeline.SessionQuery) (string, error) {
	if q.ExactVersion != "" {
		return q.ExactVersion, nil
	}
	unit := r.guard.Fraction(model, rollout.HashFraction(q.Customer.Name, name, model))
	return rollout.ChooseVersion(q.Document, q.Customer, model, unit)
}

// checkExact refuses a caller that names another version than its session has.
func checkExact(model, version string, q pipeline.SessionQuery) error {
	if q.ExactVersion == "" || q.ExactVersion == version {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonSessionInvalid, Field: "model", Detail: "the session keeps " + model + "@" + version}
}

// resolveNamed reads the pins of a session under the caller's own name.
func (r *Resolver) resolveNamed(ctx context.Context, q pipeline.SessionQuery) (pipeline.Session, error) {
	s := pipeline.Session{Identifier: q.Identifier, Versions: map[string]string{}}
	var first error
	for _, model := range q.Models {
		version, found, err := r.namedVersion(ctx, model, q)
		if err != nil {
			if found {
				return pipeline.Session{}, err
			}
			first = errors.Join(first, err)
			continue
		}
		s.InProgress = s.InProgress || found
		s.Versions[model] = version
	}
	if len(s.Versions) == 0 {
		return pipeline.Session{}, firstRefusal(first)
	}
	return s, nil
}

func (r *Resolver) namedVersion(ctx context.Context, model string, q pipeline.SessionQuery) (string, bool, error) {
	pin, found, err := r.pins.Resolve(ctx, session.Request{Customer: q.Customer.Name, Session: q.Identifier, Model: model, ExactVersion: q.ExactVersion})
	if err != nil {
		return "", found, err
	}
	if err := session.VerifyPin(q.Document, q.Customer, pin); err != nil {
		return "", found, err
	}
	return pin.Version, found, checkExact(model, pin.Version, q)
}

// firstRefusal returns the first refusal among joined errors.
func firstRefusal(err error) error {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: "no model to run on"}
}
