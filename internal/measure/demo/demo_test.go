package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/measure/invariant"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

func TestDocumentsAreValid(t *testing.T) {
	is := is.New(t)
	for _, d := range Deployments {
		is.NoErr(d.document(7).Validate())
	}
	_, err := FindDeployment("Elsewhere")
	is.True(err != nil)
}

// TestCommitsBecomeEvents edits the configuration as the steps do and expects
// the events that the checks judge from.
func TestCommitsBecomeEvents(t *testing.T) {
	d := Deployments[0]
	probe := configuration.Customer{Name: probeName, Allowed: []configuration.ModelAccess{{Model: modelBasic}}}
	tests := []struct {
		name   string
		edit   func(*configuration.Document)
		events []string
	}{
		{"Nothing", func(*configuration.Document) {}, nil},
		{"CreateCustomer", func(c *configuration.Document) { c.Customers = append(c.Customers, probe) }, []string{
			"Allowed probe basic@v1", "Allowed probe basic@v2", "Expected  @",
		}},
		{"Withdraw", func(c *configuration.Document) {
			c.Model(modelFine).Version(versionTwo).State = configuration.VersionWithdrawn
		}, []string{"Withdrawn  fine@v2"}},
		{"Disallow", func(c *configuration.Document) { c.Customer("customer-09").Allowed = nil }, []string{
			"Disallowed customer-09 basic@v1", "Disallowed customer-09 basic@v2",
		}},
		{"TakeOut", func(c *configuration.Document) { c.DataCentre("johar").Out = true }, []string{"TakenOut  @"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := d.document(7)
			after := before.Clone()
			tt.edit(after)
			var got []string
			for _, e := range difference(before, after, time.Time{}) {
				if e.Kind != invariant.KindMoves {
					got = append(got, string(e.Kind)+" "+e.Customer+" "+e.Model+"@"+e.Version)
				}
			}
			is.Equal(got, tt.events)
		})
	}
}

func TestUncheckedInvariantIsAViolation(t *testing.T) {
	is := is.New(t)
	s := Summary{Results: []invariant.Result{{Checked: 1}, {Checked: 0}, {Checked: 3, Violations: 2}}}
	is.Equal(s.Violations(), 3)
	is.Equal(cost(observation.Event{Model: modelFine, Tokens: 500}), 4.0)
}
