package change

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// scripted is one line of testdata/changes.jsonl.
type scripted struct {
	Name    string
	Command Command
	// Field is what the error names; empty for a change that is accepted.
	Field string
}

// TestApply carries out the script on one document: accepted changes stay,
// refused ones leave no trace.
func TestApply(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../examples/pottyround/configuration.json")
	is.NoErr(err)
	doc, err := configuration.Parse(raw, 1)
	is.NoErr(err)
	script, err := os.ReadFile("testdata/changes.jsonl")
	is.NoErr(err)
	now := time.Unix(1_800_000_000, 0)
	for line := range bytes.Lines(script) {
		var s scripted
		is.NoErr(json.Unmarshal(line, &s))
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			next := doc.Clone()
			err := s.Command.Apply(next, now)
			if s.Field == "" {
				is.NoErr(err)
				doc = next
				return
			}
			var field *configuration.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Field, s.Field)
		})
	}
	again, err := configuration.Parse(raw, 1)
	is.NoErr(err)
	var field *configuration.FieldError
	is.True(errors.As((&Command{Kind: Import, Document: again}).Apply(doc.Clone(), now), &field))
	is.Equal(field.Field, "Document.Models.kingcup-large.Versions.v1.State") // withdrawn versions stay so
	riders := doc.Customer("riders")
	is.True(!riders.IsAllowed("kingcup-large", "v1"))
	is.True(riders.IsAllowed("kingcup-small", "v2"))
	is.True(doc.IsOutOfService("dha"))
	is.Equal(doc.Preset, "Peak")
	is.Equal(doc.Model("kingcup-large").Default, "")
	is.True(!doc.MayRun("households", "kingcup-large", "v1"))
}
