package preset

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

func TestDefaultsAreValid(t *testing.T) {
	for _, p := range Defaults() {
		doc := &configuration.Document{Preset: p.Name, Presets: Defaults()}
		is.New(t).NoErr(doc.Validate())
	}
}

func TestExplainNamesEachDifference(t *testing.T) {
	is := is.New(t)
	presets := Defaults()
	lines := Explain(presets[0], presets[1])
	for i, field := range []string{"QualityTarget=0.95->0.9", "Judge=true->false", "DelayPrice=0.5->4", "ShedAt=0.9->0.8", "RampSeconds=30->60", "RolloutPace=1->0", "ExploreShare=0.05->0"} {
		is.True(strings.HasPrefix(lines[i], field+":"))
	}
	is.Equal(len(lines), 7)
	is.Equal(len(Explain(presets[0], presets[0])), 0)
}

func TestPresetsWithNegativeAmountsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*configuration.Preset){
		func(p *configuration.Preset) { p.RolloutPace = -1 },
		func(p *configuration.Preset) { p.DelayPrice = -1 },
		func(p *configuration.Preset) { p.QualityTarget = 1.1 },
	} {
		doc := &configuration.Document{Preset: Ordinary, Presets: Defaults()}
		change(&doc.Presets[0])
		var fieldErr *configuration.FieldError
		is.True(errors.As(doc.Validate(), &fieldErr))
	}
}
