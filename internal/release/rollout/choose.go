// Package rollout moves traffic of a model from one version to another in
// stages, watches the evidence for the new version against the old one, and
// halts or withdraws by itself when the evidence says so.
//
// The decisions are plain functions: Choose picks the version for a new
// session, Decide reads the evidence, Start, Halt, Resume and Withdraw edit the
// document. The Driver carries them out on the one instance that holds the
// lease.
package rollout

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// hashBits is the number of hash bits that make up a unit; a float64 holds
// them exactly.
const hashBits = 53

// Units beyond those that Unit returns.
const (
	// FractionOutsideStages is outside the share of every stage under way.
	FractionOutsideStages = 1.0
	// FractionOldVersion is that, and outside a complete roll-out as well.
	FractionOldVersion = 2.0
)

// HashFraction hashes a name to [0, 1). The same parts give the same unit on every
// instance, so a session name is on the same side of a stage everywhere.
func HashFraction(parts ...string) float64 {
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return float64(sum>>(64-hashBits)) / (1 << hashBits)
}

// ChooseVersion returns the version of the model for a new session, or for a request
// outside any session. A unit below the share of the roll-out's stage gets the
// new version. A version that is not active or that the customer is not allowed
// is never returned. The error is a *call.Refusal.
func ChooseVersion(doc *configuration.Document, customer *configuration.Customer, model string, unit float64) (string, error) {
	m := doc.Model(model)
	if m == nil {
		return "", &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: model}
	}
	r := doc.RolloutOf(m.Name)
	order := preferences(m, r, r != nil && unit < r.Share())
	if r != nil && !isInProgress(r.State) && unit < FractionOldVersion {
		// The model's default may have changed since the roll-out ended.
		order = append([]string{m.Default}, order...)
	}
	for _, version := range order {
		v := m.Version(version)
		if v != nil && v.State == configuration.VersionActive && customer.IsAllowed(m.Name, version) {
			return version, nil
		}
	}
	return "", refusalFor(m, customer)
}

// preferences lists the versions of the model in the order of choice, for a
// session inside or outside the share of the roll-out. Without a roll-out r is
// nil.
func preferences(m *configuration.Model, r *configuration.Rollout, inside bool) []string {
	order := make([]string, 0, len(m.Versions)+3)
	if r != nil && inside {
		order = append(order, r.To)
	}
	if r != nil {
		order = append(order, r.From)
	}
	order = append(order, m.Default)
	for i := len(m.Versions) - 1; i >= 0; i-- {
		if r == nil || m.Versions[i].Name != r.To {
			order = append(order, m.Versions[i].Name)
		}
	}
	if r != nil {
		// The new version comes last: outside its share only a customer that
		// is allowed nothing else gets it.
		order = append(order, r.To)
	}
	return order
}

func refusalFor(m *configuration.Model, customer *configuration.Customer) error {
	for _, v := range m.Versions {
		if customer.IsAllowed(m.Name, v.Name) {
			return &call.Refusal{
				Reason: call.ReasonVersionWithdrawn,
				Field:  "model",
				Detail: fmt.Sprintf("no version of %s that customer %s is allowed is active", m.Name, customer.Name),
			}
		}
	}
	return &call.Refusal{
		Reason: call.ReasonNotAllowed,
		Field:  "model",
		Detail: fmt.Sprintf("customer %s is not allowed %s", customer.Name, m.Name),
	}
}
