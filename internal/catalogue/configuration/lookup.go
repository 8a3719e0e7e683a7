package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// HashKey returns the hex SHA-256 digest of an API key, as KeyHashes stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Model returns the model with this name, or nil.
func (d *Document) Model(name string) *Model {
	return find(d.Models, func(m *Model) bool { return m.Name == name })
}

// Cascade returns the cascade with this name, or nil.
func (d *Document) Cascade(name string) *Cascade {
	return find(d.Cascades, func(c *Cascade) bool { return c.Name == name })
}

// Customer returns the customer with this name, or nil.
func (d *Document) Customer(name string) *Customer {
	return find(d.Customers, func(c *Customer) bool { return c.Name == name })
}

// CustomerByKey returns the customer with this API key, or nil.
func (d *Document) CustomerByKey(key string) *Customer {
	hash := HashKey(key)
	return find(d.Customers, func(c *Customer) bool { return slices.Contains(c.KeyHashes, hash) })
}

// DataCentre returns the data centre with this name, or nil.
func (d *Document) DataCentre(name string) *DataCentre {
	return find(d.DataCentres, func(c *DataCentre) bool { return c.Name == name })
}

// Service returns the service with this name, or nil.
func (d *Document) Service(name string) *Service {
	return find(d.Services, func(s *Service) bool { return s.Name == name })
}

// LatestRollout returns the latest rollout of the model, or nil.
func (d *Document) LatestRollout(model string) *Rollout {
	for i := len(d.Rollouts) - 1; i >= 0; i-- {
		if d.Rollouts[i].Model == model {
			return &d.Rollouts[i]
		}
	}
	return nil
}

// ActivePreset returns the active preset. It is never nil in a valid document.
func (d *Document) ActivePreset() *Preset {
	return find(d.Presets, func(p *Preset) bool { return p.Name == d.Preset })
}

// Version returns the version with this name, or nil.
func (m *Model) Version(name string) *Version {
	return find(m.Versions, func(v *Version) bool { return v.Name == name })
}

// IsAllowed reports whether the customer may use this version of the model.
func (c *Customer) IsAllowed(model, version string) bool {
	for _, a := range c.Allowed {
		if a.Model == model && (len(a.Versions) == 0 || slices.Contains(a.Versions, version)) {
			return true
		}
	}
	return false
}

// IsServiceAllowed reports whether the customer may call the plain service.
func (c *Customer) IsServiceAllowed(service string) bool {
	return slices.Contains(c.Services, service)
}

// MayRun reports whether new requests of the customer may run on this version:
// the customer may use the version, and the version is active.
func (d *Document) MayRun(customer, model, version string) bool {
	c, m := d.Customer(customer), d.Model(model)
	if c == nil || m == nil || !c.IsAllowed(model, version) {
		return false
	}
	v := m.Version(version)
	return v != nil && v.State == VersionActive
}

// IsOutOfService reports whether a data centre may not receive new requests:
// an operator has taken it out of service, or the document does not list it.
func (d *Document) IsOutOfService(dataCentre string) bool {
	dc := d.DataCentre(dataCentre)
	return dc == nil || dc.Out
}

// IsIdempotent reports whether a call of a plain service may be retried.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "" || strings.EqualFold(c.Method, method)) && strings.HasPrefix(path, c.Prefix) {
			return false
		}
	}
	return true
}

// find returns a pointer to the first matching element, or nil.
func find[T any](s []T, match func(*T) bool) *T {
	for i := range s {
		if match(&s[i]) {
			return &s[i]
		}
	}
	return nil
}
