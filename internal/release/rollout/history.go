package rollout

import (
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// PossibleVersions returns the versions that ChooseVersion can have returned
// for the fraction at any time between from and to, recomputed from the history
// of the model's rollouts. A session that started in that time and whose pin is
// lost has one of them. If there is only one, it is the session's version.
//
// The document doesn't record what the customer was allowed at the time. The
// result therefore holds the version chosen from those that the customer is
// allowed now and the version chosen if every version was allowed. It includes
// versions withdrawn since, because a session may still have one.
func PossibleVersions(doc *configuration.Document, customer *configuration.Customer, model string, fraction float64, from, to time.Time) []string {
	m := doc.Model(model)
	if m == nil {
		return nil
	}
	versions := changedDefault(doc, m)
	for _, at := range changeTimes(doc, m.Name, from, to) {
		for _, c := range []*configuration.Customer{customer, nil} {
			if v := versionAt(doc, m, c, fraction, at); v != "" && !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	return versions
}

// changedDefault returns the model's default if it differs from the version
// with which the latest rollout ended. The time of such a change is not
// recorded.
func changedDefault(doc *configuration.Document, m *configuration.Model) []string {
	r := doc.LatestRollout(m.Name)
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

// changeTimes returns from and the time of each change of a share or version
// after from and up to to.
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

// versionAt returns the version chosen at a time. A nil customer is allowed
// every version.
func versionAt(doc *configuration.Document, m *configuration.Model, customer *configuration.Customer, fraction float64, at time.Time) string {
	r, share := rolloutAt(doc, m.Name, at)
	for _, name := range preferences(m, r, r != nil && fraction < share) {
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

// rolloutAt returns the latest rollout of the model that had started at a time,
// and its share then. If none had started, it returns the model's first rollout
// and a share of 0, because all sessions still had the old version.
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
