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

// testCase is one line of testdata/changes.jsonl.
type testCase struct {
	Name    string
	Command Command
	// Field is the field that the error reports, empty if the command succeeds.
	Field string
}

// TestApply applies the commands of the script in order. Each successful command
// changes the document for the following ones; after a failed command the edited
// clone is discarded.
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
		var tc testCase
		is.NoErr(json.Unmarshal(line, &tc))
		t.Run(tc.Name, func(t *testing.T) {
			is := is.New(t)
			next := doc.Clone()
			err := tc.Command.Apply(next, now)
			if tc.Field == "" {
				is.NoErr(err)
				doc = next
				return
			}
			var fieldErr *configuration.FieldError
			is.True(errors.As(err, &fieldErr))
			is.Equal(fieldErr.Field, tc.Field)
		})
	}
	again, err := configuration.Parse(raw, 1)
	is.NoErr(err)
	var fieldErr *configuration.FieldError
	is.True(errors.As((&Command{Kind: Import, Document: again}).Apply(doc.Clone(), now), &fieldErr))
	is.Equal(fieldErr.Field, "Document.Models.kingcup-large.Versions.v1.State") // an import must not reactivate a withdrawn version
	riders := doc.Customer("riders")
	is.True(!riders.IsAllowed("kingcup-large", "v1"))
	is.True(riders.IsAllowed("kingcup-small", "v2"))
	is.True(doc.IsOutOfService("dha"))
	is.Equal(doc.Preset, "Peak")
	is.Equal(doc.Model("kingcup-large").Default, "")
	is.True(!doc.MayRun("households", "kingcup-large", "v1"))
}
