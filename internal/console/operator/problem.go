package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// ProblemKind sorts the reasons why an operator's call failed.
type ProblemKind string

// The kinds of problem.
const (
	ProblemBadInput         ProblemKind = "BadInput"
	ProblemConflict         ProblemKind = "Conflict"
	ProblemNotFound         ProblemKind = "NotFound"
	ProblemUnauthorised     ProblemKind = "Unauthorised"
	ProblemStoreUnavailable ProblemKind = "StoreUnavailable"
	ProblemStoreReverted    ProblemKind = "StoreReverted"
	ProblemUnreachable      ProblemKind = "Unreachable"
	ProblemInternal         ProblemKind = "Internal"
)

// Problem is the typed error of the operator API.
type Problem struct {
	Kind    ProblemKind
	Field   string   `json:",omitempty"`
	Value   string   `json:",omitempty"`
	Allowed string   `json:",omitempty"`
	Message string   `json:",omitempty"`
	Fields  []string `json:",omitempty"`
	// Expected and Actual are revisions, on a conflict.
	Expected int64 `json:",omitempty"`
	Actual   int64 `json:",omitempty"`
	// MayHaveTakenEffect is set when the store's answer was lost and could
	// not be read back.
	MayHaveTakenEffect bool `json:",omitempty"`
}

func (p *Problem) Error() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s:", p.Kind)
	if p.Field != "" {
		fmt.Fprintf(&s, " field %s value %q", p.Field, p.Value)
	}
	if p.Allowed != "" {
		fmt.Fprintf(&s, " is not allowed; allowed: %s", p.Allowed)
	}
	if p.Message != "" {
		fmt.Fprintf(&s, " %s", p.Message)
	}
	if p.Kind == ProblemConflict {
		fmt.Fprintf(&s, " expected revision %d, in force is %d, differing fields: %s", p.Expected, p.Actual, strings.Join(p.Fields, ", "))
	}
	return s.String()
}

func (p *Problem) status() int {
	switch p.Kind {
	case ProblemBadInput:
		return fiber.StatusBadRequest
	case ProblemConflict, ProblemStoreReverted:
		return fiber.StatusConflict
	case ProblemNotFound:
		return fiber.StatusNotFound
	case ProblemUnauthorised:
		return fiber.StatusUnauthorized
	case ProblemStoreUnavailable:
		return fiber.StatusServiceUnavailable
	}
	return fiber.StatusInternalServerError
}

// problemOf turns any error into a problem.
func problemOf(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var field *configuration.FieldError
	if errors.As(err, &field) {
		return &Problem{Kind: ProblemBadInput, Field: field.Field, Value: field.Value, Allowed: field.Allowed}
	}
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		return &Problem{Kind: ProblemConflict, Expected: conflict.Expected, Actual: conflict.Actual, Fields: conflict.Fields}
	}
	var unsettled *distribution.UnknownOutcomeError
	if errors.As(err, &unsettled) {
		return &Problem{Kind: ProblemStoreUnavailable, Message: unsettled.Error(), MayHaveTakenEffect: true}
	}
	var out *store.UnavailableError
	if errors.As(err, &out) {
		message := "the store can't be reached; nothing was changed"
		if out.MayHaveTakenEffect {
			message = "the store's answer was lost; ask for the status before trying again"
		}
		return &Problem{Kind: ProblemStoreUnavailable, Message: message, MayHaveTakenEffect: out.MayHaveTakenEffect}
	}
	var reverted *distribution.StoreRevertedError
	if errors.As(err, &reverted) {
		return &Problem{Kind: ProblemStoreReverted, Message: reverted.Error()}
	}
	if errors.Is(err, distribution.ErrNothingToRestore) {
		return &Problem{Kind: ProblemBadInput, Message: err.Error()}
	}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return &Problem{Kind: ProblemNotFound, Message: fe.Message}
	}
	return &Problem{Kind: ProblemInternal, Message: err.Error()}
}

func (a *API) renderError(c fiber.Ctx, err error) error {
	p := problemOf(err)
	return c.Status(p.status()).JSON(problemAnswer{p})
}

type problemAnswer struct {
	Error *Problem
}
