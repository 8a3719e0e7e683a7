package change

import (
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
)

func addVersion(c *Command, doc *configuration.Document, _ time.Time) error {
	m, err := c.model(doc)
	if err != nil {
		return err
	}
	if m.Version(c.Version) != nil {
		return &configuration.FieldError{Field: "Version", Value: c.Version, Allowed: "a name that no version of the model has"}
	}
	m.Versions = append(m.Versions, configuration.Version{Name: c.Version, State: configuration.VersionRegistered})
	return nil
}

// withdrawVersion withdraws a version, which then receives no new requests. If it
// was the model's default, the newest active version becomes the default; if
// there is none, the model receives no requests.
func withdrawVersion(c *Command, doc *configuration.Document, now time.Time) error {
	if err := rollout.WithdrawVersion(doc, c.Model, c.Version, c.Reason, now); err != nil {
		return err
	}
	m := doc.Model(c.Model)
	if m.Default == c.Version {
		m.Default = latestActive(m)
	}
	return nil
}

// latestActive returns the newest active version, or "" if there is none.
func latestActive(m *configuration.Model) string {
	for i := len(m.Versions) - 1; i >= 0; i-- {
		if m.Versions[i].State == configuration.VersionActive {
			return m.Versions[i].Name
		}
	}
	return ""
}

func startRollout(c *Command, doc *configuration.Document, now time.Time) error {
	return rollout.Start(doc, rollout.Spec{
		ID:    fmt.Sprintf("%s-%s-%d", c.Model, c.Version, now.Unix()),
		Model: c.Model, To: c.Version, Stages: c.Stages,
	}, now)
}

// rolloutID returns the ID of the model's latest rollout.
func (c *Command) rolloutID(doc *configuration.Document) (string, error) {
	if _, err := c.model(doc); err != nil {
		return "", err
	}
	r := doc.LatestRollout(c.Model)
	if r == nil {
		return "", &configuration.FieldError{Field: "Model", Value: c.Model, Allowed: "a model with a roll-out"}
	}
	return r.ID, nil
}

func haltRollout(c *Command, doc *configuration.Document, now time.Time) error {
	id, err := c.rolloutID(doc)
	if err != nil {
		return err
	}
	return rollout.Halt(doc, id, c.Reason, now)
}

func resumeRollout(c *Command, doc *configuration.Document, now time.Time) error {
	id, err := c.rolloutID(doc)
	if err != nil {
		return err
	}
	return rollout.Resume(doc, id, now)
}

func withdrawRollout(c *Command, doc *configuration.Document, now time.Time) error {
	id, err := c.rolloutID(doc)
	if err != nil {
		return err
	}
	return rollout.Withdraw(doc, id, c.Reason, now)
}
