package follower

import "maps"

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
