package rollout

import (
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// PossibleVersions returns the versions that Choose can have returned for this unit at
// any time between from and to, recomputed from the history of the model's
// roll-outs. A session that started in that time and whose pin is lost has one
// of them; if there is only one, it is the session's.
//
// The document doesn't tell what the customer was allowed then, so the result
// holds both what it would have got with today's allowances and what it would
// have got if allowed everything. PossibleVersions withdrawn since are among the result,
// since a session may have one.
func PossibleVersions(doc *configuration.Document, customer *configuration.Customer, model string, unit float64, from, to time.Time) []string {
	m := doc.Model(model)
	if m == nil {
		return nil
	}
	versions := changedDefault(doc, m)
	for _, at := range changeTimes(doc, m.Name, from, to) {
		for _, c := range []*configuration.Customer{customer, nil} {
			if v := versionAt(doc, m, c, unit, at); v != "" && !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	return versions
}

// changedDefault returns the model's default if it is not what its latest
// roll-out ended with: when it was changed isn't known.
func changedDefault(doc *configuration.Document, m *configuration.Model) []string {
	r := doc.RolloutOf(m.Name)
	if r == nil || isInProgress(r.State) {
		return nil
	}
	ended := r.From
	if r.State == configuration.RolloutComplete {
		ended = r.To
	}
	if m.Default == ended {
		return nil
	}
	return []string{m.Default}
}

// changeTimes lists from, and each change of a share or version up to to.
func changeTimes(doc *configuration.Document, model string, from, to time.Time) []time.Time {
	list := []time.Time{from}
	add := func(at time.Time) {
		if at.After(from) && !at.After(to) {
			list = append(list, at)
		}
	}
	for _, r := range doc.Rollouts {
		if r.Model != model {
			continue
		}
		for _, change := range r.History {
			add(change.At)
		}
	}
	for _, v := range doc.Model(model).Versions {
		add(v.WithdrawnAt)
	}
	return list
}

// versionAt returns the version at one time; a nil customer is allowed all.
func versionAt(doc *configuration.Document, m *configuration.Model, customer *configuration.Customer, unit float64, at time.Time) string {
	r, share := rolloutAt(doc, m.Name, at)
	for _, name := range preferences(m, r, r != nil && unit < share) {
		v := m.Version(name)
		if v == nil || v.State == configuration.VersionRegistered || customer != nil && !customer.IsAllowed(m.Name, name) {
			continue
		}
		if v.State == configuration.VersionWithdrawn && !at.Before(v.WithdrawnAt) {
			continue
		}
		return name
	}
	return ""
}

// rolloutAt returns the latest roll-out of the model that had started by then
// and its share. Before the first one the old version had everything.
func rolloutAt(doc *configuration.Document, model string, at time.Time) (*configuration.Rollout, float64) {
	var found *configuration.Rollout
	for i := range doc.Rollouts {
		r := &doc.Rollouts[i]
		if r.Model == model && (found == nil || !r.StartedAt.After(at)) {
			found = r
		}
	}
	if found == nil {
		return nil, 0
	}
	share := 0.0
	for _, change := range found.History {
		if !change.At.After(at) {
			share = change.Share
		}
	}
	return found, share
}
