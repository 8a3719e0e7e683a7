package rollout

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// testDocument returns a document with one model, of which v1 is the default
// and v2 is registered. Its customers are allowed all versions, only v1, only
// v2 and none.
func testDocument() *configuration.Document {
	return &configuration.Document{
		FormatVersion: configuration.FormatVersion,
		Preset:        preset.Ordinary,
		Presets:       preset.Defaults(),
		Services:      []configuration.Service{{Name: "llm", Kind: configuration.ServiceModel, Concurrency: 8, ColdConcurrency: 1, FencingChecked: true}},
		Models: []configuration.Model{{
			Name: "m", Service: "llm", Price: 1, Default: "v1",
			Versions: []configuration.Version{
				{Name: "v1", State: configuration.VersionActive},
				{Name: "v2", State: configuration.VersionRegistered},
			},
		}},
		Customers: []configuration.Customer{
			{Name: "all", Allowed: []configuration.ModelAccess{{Model: "m"}}},
			{Name: "old", Allowed: []configuration.ModelAccess{{Model: "m", Versions: []string{"v1"}}}},
			{Name: "new", Allowed: []configuration.ModelAccess{{Model: "m", Versions: []string{"v2"}}}},
			{Name: "none"},
		},
	}
}

// runningDocument returns testDocument with a running rollout of v2 at the
// given stage.
func runningDocument(stage int, stages ...float64) *configuration.Document {
	doc := testDocument()
	doc.Models[0].Versions[1].State = configuration.VersionActive
	doc.Rollouts = []configuration.Rollout{{
		ID: "r1", Model: "m", From: "v1", To: "v2", Stages: stages, Stage: stage,
		State: configuration.RolloutRunning, StartedAt: startTime, StageAt: startTime,
		History: []configuration.StageChange{{At: startTime, Share: stages[stage]}},
	}}
	return doc
}
