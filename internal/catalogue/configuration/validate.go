package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// FormatError reports a stored value that cannot be decoded and must not be
// applied.
type FormatError struct {
	Revision int64
	// Newer is set if the value was written by a newer program: its format
	// version is higher, or it has unknown fields.
	Newer bool
	Err   error
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("configuration at revision %d is not readable: %v", e.Revision, e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

// FieldError reports a field with an invalid value.
type FieldError struct {
	Field   string // path of the field
	Value   string
	Allowed string // description of the valid values
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: value %q is not allowed: %s", e.Field, e.Value, e.Allowed)
}

func decodeStrict(value []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	doc := new(Document)
	if err := dec.Decode(doc); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return doc, nil
}

// isUnknownField reports whether strict decoding failed on an unknown field. It
// matches the error's text, since encoding/json has no type for this error.
func isUnknownField(err error) bool {
	return strings.Contains(err.Error(), "json: unknown field")
}

// Validate checks that names are unique, that references name existing
// elements, that numbers are within their bounds, and that the active preset
// exists. It returns a *FieldError for the first invalid field.
func (d *Document) Validate() error {
	checks := []func() error{
		d.validatePresets, d.validateDataCentres, d.validateServices, d.validateModels,
		d.validateCascades, d.validateRollouts, d.validateCustomers, d.validateSessionKeys,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validatePresets() error {
	seen := newNameSet("Presets")
	for _, p := range d.Presets {
		if err := seen.add(p.Name); err != nil {
			return err
		}
		shares := map[string]float64{"QualityTarget": p.QualityTarget, "ShedAt": p.ShedAt, "ExploreShare": p.ExploreShare}
		for name, v := range shares {
			if v < 0 || v > 1 {
				return &FieldError{"Presets." + p.Name + "." + name, fmt.Sprint(v), "0 to 1"}
			}
		}
		amounts := map[string]float64{"DelayPrice": p.DelayPrice, "RampSeconds": p.RampSeconds, "RolloutPace": p.RolloutPace}
		for name, v := range amounts {
			if v < 0 {
				return &FieldError{"Presets." + p.Name + "." + name, fmt.Sprint(v), "0 or more"}
			}
		}
	}
	if d.ActivePreset() == nil {
		return &FieldError{"Preset", d.Preset, "the name of a preset in Presets"}
	}
	return nil
}

func (d *Document) validateDataCentres() error {
	seen := newNameSet("DataCentres")
	for _, c := range d.DataCentres {
		if err := seen.add(c.Name); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validateServices() error {
	seen := newNameSet("Services")
	for _, s := range d.Services {
		if err := seen.add(s.Name); err != nil {
			return err
		}
		if s.Kind != ServiceModel && s.Kind != ServicePlain {
			return &FieldError{"Services." + s.Name + ".Kind", string(s.Kind), "Model or Plain"}
		}
		if s.Concurrency < 1 {
			return &FieldError{"Services." + s.Name + ".Concurrency", fmt.Sprint(s.Concurrency), "1 or more"}
		}
		if s.ColdConcurrency < 1 || s.ColdConcurrency > s.Concurrency {
			return &FieldError{"Services." + s.Name + ".ColdConcurrency", fmt.Sprint(s.ColdConcurrency), "1 to Concurrency"}
		}
	}
	return nil
}

func (d *Document) validateModels() error {
	seen := newNameSet("Models")
	for _, m := range d.Models {
		if err := seen.add(m.Name); err != nil {
			return err
		}
		if d.Service(m.Service) == nil {
			return &FieldError{"Models." + m.Name + ".Service", m.Service, "the name of a service"}
		}
		if m.Price < 0 {
			return &FieldError{"Models." + m.Name + ".Price", fmt.Sprint(m.Price), "0 or more"}
		}
		if err := m.validateVersions(); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) validateVersions() error {
	field := "Models." + m.Name + ".Versions"
	seen := newNameSet(field)
	for _, v := range m.Versions {
		if err := seen.add(v.Name); err != nil {
			return err
		}
		switch v.State {
		case VersionRegistered, VersionActive, VersionWithdrawn:
		default:
			return &FieldError{field + "." + v.Name + ".State", string(v.State), "Registered, Active or Withdrawn"}
		}
	}
	if m.Default != "" && m.Version(m.Default) == nil {
		return &FieldError{"Models." + m.Name + ".Default", m.Default, "the name of a version of the model"}
	}
	return nil
}

func (d *Document) validateCascades() error {
	seen := newNameSet("Cascades")
	for _, c := range d.Cascades {
		if err := seen.add(c.Name); err != nil {
			return err
		}
		if d.Model(c.Name) != nil {
			return &FieldError{"Cascades.Name", c.Name, "a name that no model has"}
		}
		for _, m := range c.Models {
			if d.Model(m) == nil {
				return &FieldError{"Cascades." + c.Name + ".Models", m, "the name of a model"}
			}
		}
	}
	return nil
}

func (d *Document) validateRollouts() error {
	seen := newNameSet("Rollouts")
	for _, r := range d.Rollouts {
		if err := seen.add(r.ID); err != nil {
			return err
		}
		field := "Rollouts." + r.ID
		m := d.Model(r.Model)
		if m == nil {
			return &FieldError{field + ".Model", r.Model, "the name of a model"}
		}
		if m.Version(r.From) == nil || m.Version(r.To) == nil || r.From == r.To {
			return &FieldError{field + ".To", r.From + " to " + r.To, "two versions of the model"}
		}
		if err := validateStages(field, r); err != nil {
			return err
		}
	}
	return nil
}

func validateStages(field string, r Rollout) error {
	last := 0.0
	for _, s := range r.Stages {
		if s <= last || s > 1 {
			return &FieldError{field + ".Stages", fmt.Sprint(r.Stages), "ascending shares above 0, at most 1"}
		}
		last = s
	}
	if r.Stage < 0 || r.Stage >= len(r.Stages) {
		return &FieldError{field + ".Stage", fmt.Sprint(r.Stage), "an index of Stages"}
	}
	return nil
}

func (d *Document) validateCustomers() error {
	seen, hashes := newNameSet("Customers"), newNameSet("Customers.KeyHashes")
	for _, c := range d.Customers {
		if err := seen.add(c.Name); err != nil {
			return err
		}
		for _, h := range c.KeyHashes {
			if err := hashes.add(h); err != nil {
				return err
			}
		}
		if err := d.validateAllowances(c); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validateAllowances(c Customer) error {
	field := "Customers." + c.Name
	for _, a := range c.Allowed {
		m := d.Model(a.Model)
		if m == nil {
			return &FieldError{field + ".Allowed.Model", a.Model, "the name of a model"}
		}
		for _, v := range a.Versions {
			if m.Version(v) == nil {
				return &FieldError{field + ".Allowed.Versions", v, "the name of a version of " + a.Model}
			}
		}
	}
	for _, s := range c.Services {
		if d.Service(s) == nil {
			return &FieldError{field + ".Services", s, "the name of a service"}
		}
	}
	switch c.OnWithdrawal {
	case "", WithdrawalRefuse, WithdrawalMove:
		return nil
	}
	return &FieldError{field + ".OnWithdrawal", string(c.OnWithdrawal), "Refuse or Move"}
}

func (d *Document) validateSessionKeys() error {
	seen := newNameSet("SessionKeys")
	for _, k := range d.SessionKeys {
		if err := seen.add(k.ID); err != nil {
			return err
		}
		if strings.Contains(k.ID, ".") {
			return &FieldError{"SessionKeys.ID", k.ID, "a name without dots"}
		}
		if len(k.Secret) != 32 {
			return &FieldError{"SessionKeys." + k.ID + ".Secret", fmt.Sprintf("%d bytes", len(k.Secret)), "32 bytes"}
		}
	}
	return nil
}

// nameSet detects empty and duplicate names in one list of the document.
type nameSet struct {
	field string
	seen  map[string]struct{}
}

func newNameSet(field string) nameSet {
	return nameSet{field, map[string]struct{}{}}
}

// add returns a *FieldError if the name is empty or already in the set.
func (n nameSet) add(name string) error {
	if name == "" {
		return &FieldError{n.field, name, "a name"}
	}
	if _, ok := n.seen[name]; ok {
		return &FieldError{n.field, name, "a name used once"}
	}
	n.seen[name] = struct{}{}
	return nil
}
