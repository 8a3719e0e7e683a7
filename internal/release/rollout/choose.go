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

// unitBits is the number of hash bits that make up a unit; a float64 holds
// them exactly.
const unitBits = 53

// Unit hashes a name to [0, 1). The same parts give the same unit on every
// instance, so a session name is on the same side of a stage everywhere.
func Unit(parts ...string) float64 {
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return float64(sum>>(64-unitBits)) / (1 << unitBits)
}

// Choose returns the version of the model for a new session, or for a request
// outside any session. A unit below the share of the roll-out's stage gets the
// new version. A version that is not active or that the customer is not allowed
// is never returned. The error is a *call.Refusal.
func Choose(doc *configuration.Document, customer *configuration.Customer, model string, unit float64) (string, error) {
	m := doc.Model(model)
	if m == nil {
		return "", &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: model}
	}
	for _, version := range preferences(doc, m, unit) {
		if mayRun(m, customer, version) {
			return version, nil
		}
	}
	return "", refuse(m, customer)
}

// preferences lists the versions of the model in the order of choice.
func preferences(doc *configuration.Document, m *configuration.Model, unit float64) []string {
	var order []string
	r := doc.RolloutOf(m.Name)
	if r != nil {
		order = append(order, side(r, unit))
	}
	order = append(order, m.Default)
	if r != nil {
		order = append(order, r.From)
	}
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

// side returns the version on the unit's side of the roll-out's share.
func side(r *configuration.Rollout, unit float64) string {
	if unit < r.Share() {
		return r.To
	}
	return r.From
}

func mayRun(m *configuration.Model, customer *configuration.Customer, version string) bool {
	v := m.Version(version)
	return v != nil && v.State == configuration.VersionActive && customer.IsAllowed(m.Name, version)
}

func refuse(m *configuration.Model, customer *configuration.Customer) error {
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
