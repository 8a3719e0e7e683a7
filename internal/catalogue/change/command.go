// Package change implements the commands with which operators edit the
// configuration document. Each edit is a function of the command, the document
// and the time. An invalid command is reported as a *configuration.FieldError;
// the document may then be partly edited and must be discarded.
package change

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Kind selects the edit that a command makes.
type Kind string

// The kinds of edit.
const (
	CustomerCreate    Kind = "CustomerCreate"
	CustomerAllow     Kind = "CustomerAllow"
	CustomerDisallow  Kind = "CustomerDisallow"
	VersionAdd        Kind = "VersionAdd"
	VersionWithdraw   Kind = "VersionWithdraw"
	RolloutStart      Kind = "RolloutStart"
	RolloutHalt       Kind = "RolloutHalt"
	RolloutResume     Kind = "RolloutResume"
	RolloutWithdraw   Kind = "RolloutWithdraw"
	DataCentreTakeOut Kind = "DataCentreTakeOut"
	DataCentreReturn  Kind = "DataCentreReturn"
	PresetApply       Kind = "PresetApply"
	Import            Kind = "Import"
)

// Command is an edit with its arguments. Each kind uses some of the arguments
// and ignores the others.
type Command struct {
	Kind       Kind
	Customer   string                  `json:",omitempty"`
	KeyHash    string                  `json:",omitempty"`
	Weight     float64                 `json:",omitempty"`
	Priority   int                     `json:",omitempty"`
	Model      string                  `json:",omitempty"`
	Version    string                  `json:",omitempty"`
	Versions   []string                `json:",omitempty"`
	Service    string                  `json:",omitempty"`
	Stages     []float64               `json:",omitempty"`
	DataCentre string                  `json:",omitempty"`
	Preset     string                  `json:",omitempty"`
	Reason     string                  `json:",omitempty"`
	OnWithdraw string                  `json:",omitempty"`
	Document   *configuration.Document `json:",omitempty"`
}

// Summary describes the command in one line, for logs and for the document's
// list of changes.
func (c *Command) Summary() string {
	parts := []string{string(c.Kind)}
	for _, v := range []string{c.Customer, c.Model, c.Version, c.Service, c.DataCentre, c.Preset} {
		if v != "" {
			parts = append(parts, v)
		}
	}
	return strings.Join(parts, " ")
}

// Apply edits the document and validates the result. If it returns an error, the
// caller must discard the document.
func (c *Command) Apply(doc *configuration.Document, now time.Time) error {
	edit, ok := edits[c.Kind]
	if !ok {
		return &configuration.FieldError{Field: "Kind", Value: string(c.Kind), Allowed: "a known kind of edit"}
	}
	if err := edit(c, doc, now); err != nil {
		return err
	}
	return doc.Validate()
}

var edits = map[Kind]func(*Command, *configuration.Document, time.Time) error{
	CustomerCreate:    createCustomer,
	CustomerAllow:     allow,
	CustomerDisallow:  disallow,
	VersionAdd:        addVersion,
	VersionWithdraw:   withdrawVersion,
	RolloutStart:      startRollout,
	RolloutHalt:       haltRollout,
	RolloutResume:     resumeRollout,
	RolloutWithdraw:   withdrawRollout,
	DataCentreTakeOut: takeOutOfService,
	DataCentreReturn:  returnToService,
	PresetApply:       applyPreset,
	Import:            importDocument,
}

// unknownName returns the error for an argument that names nothing in the
// document.
func unknownName(field, value, what string) error {
	return &configuration.FieldError{Field: field, Value: value, Allowed: "the name of " + what}
}

func (c *Command) model(doc *configuration.Document) (*configuration.Model, error) {
	if m := doc.Model(c.Model); m != nil {
		return m, nil
	}
	return nil, unknownName("Model", c.Model, "a model")
}

func (c *Command) customer(doc *configuration.Document) (*configuration.Customer, error) {
	if customer := doc.Customer(c.Customer); customer != nil {
		return customer, nil
	}
	return nil, unknownName("Customer", c.Customer, "a customer")
}

func takeOutOfService(c *Command, doc *configuration.Document, _ time.Time) error {
	return c.setOutOfService(doc, true)
}

func returnToService(c *Command, doc *configuration.Document, _ time.Time) error {
	return c.setOutOfService(doc, false)
}

func (c *Command) setOutOfService(doc *configuration.Document, out bool) error {
	dc := doc.DataCentre(c.DataCentre)
	if dc == nil {
		return unknownName("DataCentre", c.DataCentre, "a data centre")
	}
	if out && inServiceCount(doc) == 1 && !dc.Out {
		return &configuration.FieldError{Field: "DataCentre", Value: c.DataCentre, Allowed: "any but the last one in service"}
	}
	dc.Out = out
	return nil
}

func inServiceCount(doc *configuration.Document) int {
	n := 0
	for _, dc := range doc.DataCentres {
		if !dc.Out {
			n++
		}
	}
	return n
}

func applyPreset(c *Command, doc *configuration.Document, _ time.Time) error {
	doc.Preset = c.Preset
	return nil
}

// importDocument replaces the document's contents except its revision and its
// list of recent changes.
func importDocument(c *Command, doc *configuration.Document, _ time.Time) error {
	if c.Document == nil {
		return &configuration.FieldError{Field: "Document", Allowed: "a configuration document"}
	}
	if c.Document.FormatVersion != configuration.FormatVersion {
		return &configuration.FieldError{Field: "Document.FormatVersion", Value: fmt.Sprint(c.Document.FormatVersion), Allowed: fmt.Sprint(configuration.FormatVersion)}
	}
	if err := checkWithdrawnVersions(doc, c.Document); err != nil {
		return err
	}
	changes, revision := doc.Changes, doc.Revision
	*doc = *c.Document.Clone()
	doc.Changes, doc.Revision = changes, revision
	return nil
}

// checkWithdrawnVersions returns an error if a version that is withdrawn in the
// document before has another state in the document after: withdrawal is final.
func checkWithdrawnVersions(before, after *configuration.Document) error {
	for _, m := range before.Models {
		for _, v := range m.Versions {
			next := after.Model(m.Name)
			if v.State != configuration.VersionWithdrawn || next == nil {
				continue
			}
			if w := next.Version(v.Name); w != nil && w.State != configuration.VersionWithdrawn {
				return &configuration.FieldError{Field: "Document.Models." + m.Name + ".Versions." + v.Name + ".State", Value: string(w.State), Allowed: "Withdrawn, as it is"}
			}
		}
	}
	return nil
}
