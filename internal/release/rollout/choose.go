// Package rollout moves the traffic of a model from one version to another in
// stages. It compares the outcomes of the new version with those of the old one
// and halts the rollout or withdraws the new version when the evidence is
// against it.
//
// The outcomes are counted separately for each trial, which is one
// uninterrupted run of a stage. Each instance counts its own outcomes and
// merges the counters of the others.
//
// The decisions are plain functions: ChooseVersion selects the version for a
// new session, Decide evaluates the evidence, and Start, Halt, Resume and
// Withdraw edit the configuration document. The Driver applies them on the one
// instance that holds the lease. The Guard stops new sessions on its own
// instance without waiting for the driver.
package rollout

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// hashBits is the number of hash bits in a fraction. A float64 represents that
// many bits exactly.
const hashBits = 53

// Fractions outside the range of HashFraction.
const (
	// FractionOutsideStages is above the share of every stage in progress. Once
	// the rollout has ended, it selects the model's default version like any
	// lower fraction.
	FractionOutsideStages = 1.0
	// FractionOldVersion selects the old version even if the rollout is
	// complete.
	FractionOldVersion = 2.0
)

// HashFraction hashes its parts to [0, 1). All instances compute the same
// fraction from the same parts, so a session is on the same side of a stage
// everywhere.
func HashFraction(parts ...string) float64 {
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return float64(sum>>(64-hashBits)) / (1 << hashBits)
}

// ChooseVersion returns the version of the model for a new session, or for a
// request without a session. A fraction below the share of the rollout's stage
// selects the new version. A version that is not active or that the customer is
// not allowed is never returned. The error is a *call.Refusal.
func ChooseVersion(doc *configuration.Document, customer *configuration.Customer, model string, fraction float64) (string, error) {
	m := doc.Model(model)
	if m == nil {
		return "", &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: model}
	}
	r := doc.LatestRollout(m.Name)
	order := preferences(m, r, r != nil && fraction < r.Share())
	if r != nil && !isInProgress(r.State) && fraction < FractionOldVersion {
		// The model's default may have changed since the rollout ended.
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

// preferences returns the versions of the model in order of preference, for a
// session inside or outside the share of the rollout. Without a rollout, r is
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
		// The new version comes last: outside its share only a customer that is
		// allowed no other version gets it.
		order = append(order, r.To)
	}
	return order
}

// refusalFor returns the refusal for a customer that no version of the model
// can serve.
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
