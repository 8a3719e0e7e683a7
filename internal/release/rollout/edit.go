package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// keptRollouts is the number of rollouts of a model that stay in the document,
// the newest included. Lost session pins are recomputed from them.
const keptRollouts = 8

// DefaultStages are the shares of a rollout whose Spec names none.
var DefaultStages = []float64{0.01, 0.05, 0.2, 0.5, 1}

// Spec describes the rollout that an operator requests.
type Spec struct {
	ID     string
	Model  string
	To     string
	Stages []float64
}

// Start adds a rollout to spec.To. The version becomes active, but gets no
// share until its servers are warm. The error is a *configuration.FieldError.
func Start(doc *configuration.Document, spec Spec, now time.Time) error {
	m := doc.Model(spec.Model)
	if m == nil {
		return &configuration.FieldError{Field: "Model", Value: spec.Model, Allowed: "the name of a model"}
	}
	if err := checkVersions(m, spec.To); err != nil {
		return err
	}
	if r := doc.LatestRollout(m.Name); r != nil && isInProgress(r.State) {
		return &configuration.FieldError{Field: "Model", Value: m.Name, Allowed: "a model without a roll-out under way; " + r.ID + " is " + string(r.State)}
	}
	if spec.ID == "" || rolloutByID(doc, spec.ID) != nil {
		return &configuration.FieldError{Field: "ID", Value: spec.ID, Allowed: "a name that no roll-out has"}
	}
	if len(spec.Stages) == 0 {
		spec.Stages = DefaultStages
	}
	m.Version(spec.To).State = configuration.VersionActive
	dropEndedRollouts(doc, m.Name)
	doc.Rollouts = append(doc.Rollouts, configuration.Rollout{
		ID: spec.ID, Model: m.Name, From: m.Default, To: spec.To,
		Stages: slices.Clone(spec.Stages), State: configuration.RolloutPreparing,
		StartedAt: now, StageAt: now,
		History: []configuration.StageChange{{At: now}},
	})
	return doc.Validate()
}

// checkVersions returns an error unless the model's default is active and the
// version to is another version that is not withdrawn.
func checkVersions(m *configuration.Model, to string) error {
	from := m.Version(m.Default)
	if from == nil || from.State != configuration.VersionActive {
		return &configuration.FieldError{Field: "Default", Value: m.Default, Allowed: "an active version to compare with"}
	}
	v := m.Version(to)
	if v == nil || to == m.Default {
		return &configuration.FieldError{Field: "To", Value: to, Allowed: "another version of " + m.Name}
	}
	if v.State == configuration.VersionWithdrawn {
		return &configuration.FieldError{Field: "To", Value: to, Allowed: "a version that is not withdrawn"}
	}
	return nil
}

// dropEndedRollouts removes the oldest rollouts of the model, so that
// keptRollouts remain once a new one is added.
func dropEndedRollouts(doc *configuration.Document, model string) {
	excess := 1 - keptRollouts
	for _, r := range doc.Rollouts {
		if r.Model == model {
			excess++
		}
	}
	doc.Rollouts = slices.DeleteFunc(doc.Rollouts, func(r configuration.Rollout) bool {
		if r.Model != model || excess <= 0 {
			return false
		}
		excess--
		return true
	})
}

// Halt stops new sessions on the new version. Sessions in progress continue.
// Halting a halted rollout has no effect.
func Halt(doc *configuration.Document, id, reason string, now time.Time) error {
	r, err := rolloutInProgress(doc, id)
	if err != nil {
		return err
	}
	if r.State == configuration.RolloutHalted {
		return nil
	}
	r.State, r.Reason = configuration.RolloutHalted, reason
	recordShare(r, now)
	return nil
}

// Resume continues a halted rollout at its stage, as a new trial and once its
// servers are warm.
func Resume(doc *configuration.Document, id string, now time.Time) error {
	r, err := rolloutInProgress(doc, id)
	if err != nil {
		return err
	}
	if r.State != configuration.RolloutHalted {
		return &configuration.FieldError{Field: "State", Value: string(r.State), Allowed: "Halted"}
	}
	return prepare(doc, id, "resumed", now)
}

// prepare takes the share back until warm servers support the stage.
func prepare(doc *configuration.Document, id, reason string, now time.Time) error {
	r, err := rolloutInProgress(doc, id)
	if err != nil {
		return err
	}
	r.State, r.Reason = configuration.RolloutPreparing, reason
	r.StageAt = recordShare(r, now)
	return nil
}

// Withdraw ends a rollout, even a complete one, and withdraws its new version.
func Withdraw(doc *configuration.Document, id, reason string, now time.Time) error {
	r := rolloutByID(doc, id)
	if r == nil {
		return &configuration.FieldError{Field: "ID", Value: id, Allowed: "the ID of a roll-out"}
	}
	return WithdrawVersion(doc, r.Model, r.To, reason, now)
}

// WithdrawVersion withdraws a version of a model. If it is the new version of
// the latest rollout, that rollout ends as withdrawn, and the old version
// becomes the default if the new one was. If it is the old version of a rollout
// in progress, that rollout is completed.
func WithdrawVersion(doc *configuration.Document, model, version, reason string, now time.Time) error {
	m := doc.Model(model)
	if m == nil {
		return &configuration.FieldError{Field: "Model", Value: model, Allowed: "the name of a model"}
	}
	v := m.Version(version)
	if v == nil {
		return &configuration.FieldError{Field: "Version", Value: version, Allowed: "the name of a version of " + model}
	}
	if v.State != configuration.VersionWithdrawn {
		v.State, v.WithdrawnAt, v.Reason = configuration.VersionWithdrawn, now, reason
	}
	r := doc.LatestRollout(model)
	if r == nil {
		return nil
	}
	if r.To == version && (isInProgress(r.State) || r.State == configuration.RolloutComplete) {
		r.State, r.Reason = configuration.RolloutWithdrawn, reason
		recordShare(r, now)
	}
	if r.From == version && isInProgress(r.State) {
		complete(doc, r, "the old version was withdrawn: "+reason, now)
	}
	if m.Default == r.To && r.To == version {
		m.Default = r.From
	}
	return nil
}

// Apply carries out a decision on the document. ActionHold changes nothing.
func Apply(doc *configuration.Document, id string, d Decision, now time.Time) error {
	switch d.Action {
	case ActionHalt:
		return Halt(doc, id, d.Reason, now)
	case ActionWithdraw:
		return Withdraw(doc, id, d.Reason, now)
	case ActionAdvance:
		return advance(doc, id, d.Reason, now)
	case ActionPrepare:
		return prepare(doc, id, d.Reason, now)
	}
	return nil
}

func advance(doc *configuration.Document, id, reason string, now time.Time) error {
	r, err := rolloutInProgress(doc, id)
	if err != nil {
		return err
	}
	switch {
	case r.State == configuration.RolloutPreparing:
		r.State = configuration.RolloutRunning
	case r.State != configuration.RolloutRunning:
		return &configuration.FieldError{Field: "State", Value: string(r.State), Allowed: "Preparing or Running"}
	case r.Stage == len(r.Stages)-1:
		complete(doc, r, reason, now)
		return nil
	default:
		r.Stage++
	}
	r.Reason = reason
	r.StageAt = recordShare(r, now)
	return nil
}

// complete ends the rollout and makes the new version the default.
func complete(doc *configuration.Document, r *configuration.Rollout, reason string, now time.Time) {
	r.State, r.Reason = configuration.RolloutComplete, reason
	recordShare(r, now)
	doc.Model(r.Model).Default = r.To
}

// recordShare appends the current share to the history and returns the time of
// the entry. The time is always later than that of the previous entry, even if
// the clocks of two drivers differ.
func recordShare(r *configuration.Rollout, now time.Time) time.Time {
	if n := len(r.History); n > 0 && !now.After(r.History[n-1].At) {
		now = r.History[n-1].At.Add(time.Millisecond)
	}
	r.History = append(r.History, configuration.StageChange{At: now, Share: r.Share()})
	return now
}

func rolloutByID(doc *configuration.Document, id string) *configuration.Rollout {
	for i := range doc.Rollouts {
		if doc.Rollouts[i].ID == id {
			return &doc.Rollouts[i]
		}
	}
	return nil
}

func rolloutInProgress(doc *configuration.Document, id string) (*configuration.Rollout, error) {
	r := rolloutByID(doc, id)
	if r == nil {
		return nil, &configuration.FieldError{Field: "ID", Value: id, Allowed: "the ID of a roll-out"}
	}
	if !isInProgress(r.State) {
		return nil, &configuration.FieldError{Field: "State", Value: string(r.State), Allowed: fmt.Sprintf("a roll-out under way, %s is not", id)}
	}
	return r, nil
}
