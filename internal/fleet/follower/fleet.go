package follower

import (
	"maps"
	"slices"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// Fleet holds the operators' orders, the progress of rollouts and the instances
// of the system. It is immutable once published.
type Fleet struct {
	// ClosedDataCentres holds the names of the data centres out of service.
	ClosedDataCentres map[string]bool
	// Orders and Rollouts are keyed by service, Instances by name.
	Orders    map[string]RolloutOrder
	Rollouts  map[string]RolloutProgress
	Instances map[string]Instance
	Driver    Driver
	// QuarantinedParts holds the IDs of the prompt parts that crash servers.
	QuarantinedParts map[string]bool
}

func newFleet() Fleet {
	return Fleet{
		ClosedDataCentres: map[string]bool{}, Orders: map[string]RolloutOrder{}, Rollouts: map[string]RolloutProgress{}, Instances: map[string]Instance{},
		QuarantinedParts: map[string]bool{},
	}
}

func (fl *Fleet) clone() Fleet {
	return Fleet{
		ClosedDataCentres: maps.Clone(fl.ClosedDataCentres), Orders: maps.Clone(fl.Orders), Rollouts: maps.Clone(fl.Rollouts),
		Instances: maps.Clone(fl.Instances), Driver: fl.Driver, QuarantinedParts: maps.Clone(fl.QuarantinedParts),
	}
}

// apply applies one change and reports whether it changed anything.
func (fl *Fleet) apply(subject any) bool {
	switch s := subject.(type) {
	case DataCentreClosure:
		return putOrDelete(fl.ClosedDataCentres, s.DataCentre, true, s.Ended)
	case RolloutOrder:
		return putOrDelete(fl.Orders, s.Service, s, s.Ended)
	case RolloutProgress:
		return putOrDelete(fl.Rollouts, s.Service, s, s.Ended)
	case Instance:
		return putOrDelete(fl.Instances, s.Name, s, s.Ended)
	case QuarantinedPart:
		return putOrDelete(fl.QuarantinedParts, s.Part, true, s.Ended)
	case Driver:
		if s.Ended {
			s = Driver{}
		}
		changed := fl.Driver != s
		fl.Driver = s
		return changed
	}
	return false
}

// keepOnly removes entries that the changes of a complete batch don't contain. It returns
// those of them that operators write.
func (fl *Fleet) keepOnly(changes []Change) (missing []any) {
	present := newFleet()
	for _, c := range changes {
		present.apply(c.Subject)
	}
	for name := range fl.ClosedDataCentres {
		if !present.ClosedDataCentres[name] {
			missing = append(missing, DataCentreClosure{DataCentre: name})
		}
	}
	for service, order := range fl.Orders {
		if _, ok := present.Orders[service]; !ok {
			missing = append(missing, order)
		}
	}
	deleteMissing(fl.ClosedDataCentres, present.ClosedDataCentres)
	deleteMissing(fl.Orders, present.Orders)
	deleteMissing(fl.Rollouts, present.Rollouts)
	deleteMissing(fl.Instances, present.Instances)
	deleteMissing(fl.QuarantinedParts, present.QuarantinedParts)
	fl.Driver = present.Driver
	return missing
}

// carryRollouts adds the known progress of rollouts that a copy of the store lacks.
func (fl *Fleet) carryRollouts(known Fleet) {
	for service, progress := range known.Rollouts {
		if _, ok := fl.Rollouts[service]; !ok && progress.Order == fl.Orders[service].Revision.Number {
			progress.Revision, progress.Lost = revision.Revision{}, true
			fl.Rollouts[service] = progress
		}
	}
}

// carryOrder moves the progress of a rollout to its order, if that is the known one that the
// operator has written again in a later era.
func (fl *Fleet) carryOrder(o RolloutOrder) {
	known, progress := fl.Orders[o.Service], fl.Rollouts[o.Service]
	isSame := known.Target == o.Target && known.Duration == o.Duration && known.Revision.Era < o.Revision.Era
	if isSame && known.Revision.Number != o.Revision.Number && progress.Order == known.Revision.Number {
		progress.Order, progress.Lost = o.Revision.Number, true
		fl.Rollouts[o.Service] = progress
	}
}

// carryProgress returns what holds of a rollout whose record in the store, of a later era, may
// be older than the known one: what had been decided stands.
func (fl *Fleet) carryProgress(p RolloutProgress) RolloutProgress {
	known, ok := fl.Rollouts[p.Service]
	isCurrent := ok && known.Order == fl.Orders[p.Service].Revision.Number && known.Revision.Era < p.Revision.Era
	if !isCurrent || known.Order == p.Order && !known.isAheadOf(p) {
		return p
	}
	known.Revision, known.Lost = p.Revision, true
	return known
}

// isAheadOf reports whether the progress is later than another one of the same order.
func (p *RolloutProgress) isAheadOf(other RolloutProgress) bool {
	if other.State != RolloutActive {
		return false
	}
	return p.State != RolloutActive || p.Elapsed > other.Elapsed
}

// restore adds entries that operators write, and returns their ends.
func (fl *Fleet) restore(entries []any) (ends []any) {
	for _, entry := range entries {
		fl.apply(entry)
		switch s := entry.(type) {
		case DataCentreClosure:
			s.Ended = true
			ends = append(ends, s)
		case RolloutOrder:
			s.Ended = true
			ends = append(ends, s)
		}
	}
	return ends
}

// withoutEntryOf returns the ends but for that of the entry that a subject is of.
func withoutEntryOf(ends []any, subject any) []any {
	return slices.DeleteFunc(ends, func(end any) bool {
		switch e := end.(type) {
		case DataCentreClosure:
			s, ok := subject.(DataCentreClosure)
			return ok && s.DataCentre == e.DataCentre
		case RolloutOrder:
			s, ok := subject.(RolloutOrder)
			return ok && s.Service == e.Service
		}
		return false
	})
}

// putOrDelete deletes the key if ended is set and sets it to value otherwise. It
// reports whether the map changed.
func putOrDelete[V comparable](m map[string]V, key string, value V, ended bool) bool {
	old, existed := m[key]
	if ended {
		delete(m, key)
		return existed
	}
	m[key] = value
	return !existed || old != value
}

func deleteMissing[V any](m, present map[string]V) {
	maps.DeleteFunc(m, func(key string, _ V) bool {
		_, ok := present[key]
		return !ok
	})
}
