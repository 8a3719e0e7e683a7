package follower

import "maps"

// Fleet is the part of the view that concerns operators' orders and the
// instances themselves. It is immutable once published.
type Fleet struct {
	// ClosedDataCentres holds the data centres that are out of service.
	ClosedDataCentres map[string]bool
	Orders            map[string]RolloutOrder
	Rollouts          map[string]RolloutProgress
	Instances         map[string]Instance
	Driver            Driver
}

func newFleet() Fleet {
	return Fleet{ClosedDataCentres: map[string]bool{}, Orders: map[string]RolloutOrder{}, Rollouts: map[string]RolloutProgress{}, Instances: map[string]Instance{}}
}

func (l *Fleet) clone() Fleet {
	return Fleet{
		ClosedDataCentres: maps.Clone(l.ClosedDataCentres), Orders: maps.Clone(l.Orders), Rollouts: maps.Clone(l.Rollouts),
		Instances: maps.Clone(l.Instances), Driver: l.Driver,
	}
}

// apply reports whether the subject changed anything.
func (l *Fleet) apply(subject any) bool {
	switch s := subject.(type) {
	case DataCentreClosure:
		return put(l.ClosedDataCentres, s.DataCentre, true, s.Ended)
	case RolloutOrder:
		return put(l.Orders, s.Service, s, s.Ended)
	case RolloutProgress:
		return put(l.Rollouts, s.Service, s, s.Ended)
	case Instance:
		return put(l.Instances, s.Name, s, s.Ended)
	case Driver:
		if s.Ended {
			s = Driver{}
		}
		changed := l.Driver != s
		l.Driver = s
		return changed
	}
	return false
}

// retain drops what the changes of a whole reading do not hold.
func (l *Fleet) retain(changes []Change) {
	held := newFleet()
	for _, c := range changes {
		held.apply(c.Subject)
	}
	keep(l.ClosedDataCentres, held.ClosedDataCentres)
	keep(l.Orders, held.Orders)
	keep(l.Rollouts, held.Rollouts)
	keep(l.Instances, held.Instances)
	l.Driver = held.Driver
}

func put[V comparable](m map[string]V, key string, value V, ended bool) bool {
	old, had := m[key]
	if ended {
		delete(m, key)
		return had
	}
	m[key] = value
	return !had || old != value
}

func keep[V any](m, held map[string]V) {
	maps.DeleteFunc(m, func(key string, _ V) bool {
		_, ok := held[key]
		return !ok
	})
}
