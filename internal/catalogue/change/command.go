// Package change holds the edits that operators make to the configuration
// document. Each edit is a plain function of the document, the command and the
// time; it either changes the document as a whole or returns a
// *configuration.FieldError and leaves it as it was.
package change

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Kind names an edit.
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

// Command is one edit with its arguments; each kind uses those it needs.
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

// Summary describes the command in one line for logs and the document.
func (c *Command) Summary() string {
	parts := []string{string(c.Kind)}
	for _, v := range []string{c.Customer, c.Model, c.Version, c.Service, c.DataCentre, c.Preset} {
		if v != "" {
			parts = append(parts, v)
		}
	}
	return strings.Join(parts, " ")
}

// Apply edits the document and checks the result. On an error the document
// must be thrown away.
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
	DataCentreTakeOut: takeOut,
	DataCentreReturn:  bringBack,
	PresetApply:       applyPreset,
	Import:            importDocument,
}

func unknown(field, value, what string) error {
	return &configuration.FieldError{Field: field, Value: value, Allowed: "the name of " + what}
}

func (c *Command) model(doc *configuration.Document) (*configuration.Model, error) {
	if m := doc.Model(c.Model); m != nil {
		return m, nil
	}
	return nil, unknown("Model", c.Model, "a model")
}

func (c *Command) customer(doc *configuration.Document) (*configuration.Customer, error) {
	if customer := doc.Customer(c.Customer); customer != nil {
		return customer, nil
	}
	return nil, unknown("Customer", c.Customer, "a customer")
}

func takeOut(c *Command, doc *configuration.Document, _ time.Time) error {
	return c.setOut(doc, true)
}

func bringBack(c *Command, doc *configuration.Document, _ time.Time) error {
	return c.setOut(doc, false)
}

func (c *Command) setOut(doc *configuration.Document, out bool) error {
	dc := doc.DataCentre(c.DataCentre)
	if dc == nil {
		return unknown("DataCentre", c.DataCentre, "a data centre")
	}
	if out && servingCount(doc) == 1 && !dc.Out {
		return &configuration.FieldError{Field: "DataCentre", Value: c.DataCentre, Allowed: "any but the last one in service"}
	}
	dc.Out = out
	return nil
}

func servingCount(doc *configuration.Document) int {
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

// importDocument replaces everything but the list of recent changes.
func importDocument(c *Command, doc *configuration.Document, _ time.Time) error {
	if c.Document == nil {
		return &configuration.FieldError{Field: "Document", Allowed: "a configuration document"}
	}
	if c.Document.FormatVersion != configuration.FormatVersion {
		return &configuration.FieldError{Field: "Document.FormatVersion", Value: fmt.Sprint(c.Document.FormatVersion), Allowed: fmt.Sprint(configuration.FormatVersion)}
	}
	if err := keepsWithdrawn(doc, c.Document); err != nil {
		return err
	}
	changes, revision := doc.Changes, doc.Revision
	*doc = *c.Document.Clone()
	doc.Changes, doc.Revision = changes, revision
	return nil
}

// keepsWithdrawn refuses a document that makes a withdrawn version active again.
func keepsWithdrawn(before, after *configuration.Document) error {
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
