package rollout

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func TestChoose(t *testing.T) {
	withdrawn := func(d *configuration.Document) {
		d.Models[0].Versions[1].State = configuration.VersionWithdrawn
	}
	halted := func(d *configuration.Document) { d.Rollouts[0].State = configuration.RolloutHalted }
	complete := func(d *configuration.Document) {
		d.Rollouts[0].State = configuration.RolloutComplete
		d.Models[0].Default = "v2"
	}
	changed := func(d *configuration.Document) {
		complete(d)
		d.Models[0].Versions = append(d.Models[0].Versions, configuration.Version{Name: "v3", State: configuration.VersionActive})
		d.Models[0].Default = "v3"
	}
	keep := func(*configuration.Document) {}
	for _, c := range []struct {
		name     string
		edit     func(*configuration.Document)
		customer string
		unit     float64
		version  string
		reason   call.Reason
	}{
		{"below the share", keep, "all", 0.05, "v2", ""},
		{"above the share", keep, "all", 0.5, "v1", ""},
		{"allowed only the old", keep, "old", 0.05, "v1", ""},
		{"allowed only the new", keep, "new", 0.5, "v2", ""},
		{"allowed nothing", keep, "none", 0.5, "", call.ReasonNotAllowed},
		{"halted", halted, "all", 0.05, "v1", ""},
		{"complete", complete, "all", 0.9, "v2", ""},
		{"complete, for a moved session", complete, "all", FractionOutsideStages, "v2", ""},
		{"complete, closed by the guard", complete, "all", FractionOldVersion, "v1", ""},
		{"default changed since", changed, "all", 0.05, "v3", ""},
		{"withdrawn", withdrawn, "all", 0.05, "v1", ""},
		{"withdrawn and allowed nothing else", withdrawn, "new", 0.05, "", call.ReasonVersionWithdrawn},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			doc := runningDocument(0, 0.1, 1)
			c.edit(doc)
			version, err := ChooseVersion(doc, doc.Customer(c.customer), "m", c.unit)
			is.Equal(version, c.version)
			var refusal *call.Refusal
			is.Equal(errors.As(err, &refusal), c.reason != "")
			if refusal != nil {
				is.Equal(refusal.Reason, c.reason)
				is.Equal(refusal.State, call.NotRun)
			}
		})
	}
}

// TestMergeCountsOnce guards against counting an outcome twice. A third
// instance merges every report of two instances twice and in reverse order.
// Both instances have counters under two generations, as after a restart.
func TestMergeCountsOnce(t *testing.T) {
	is := is.New(t)
	doc := runningDocument(0, 0.1, 1)
	current := func() *configuration.Document { return doc }
	third := NewEvidence("c", 1, current)
	var reports [][]Counter
	for generation := uint64(1); generation <= 2; generation++ {
		for _, name := range []string{"a", "b"} {
			e := NewEvidence(name, generation, current)
			for i := range 10 {
				e.Record(Observation{Customer: "all", Model: "m", Version: "v2", Rated: true, Pass: i > 0})
				e.Record(Observation{Customer: "all", Model: "m", Version: "v2", FirstToken: 20 * time.Millisecond, Tokens: 1 << i})
				reports = append(reports, e.LocalCounters())
			}
		}
	}
	for range 2 {
		for i := len(reports) - 1; i >= 0; i-- {
			third.Merge(overTheWire(reports[i]))
		}
	}
	third.Merge([]Counter{{Member: "c", Generation: 1, Trial: TrialID(&doc.Rollouts[0]), Model: "m", Version: "v2", Counts: Counts{Rated: 99}}})
	s := third.VersionSummary("m", "v2")
	is.Equal(s.Rated, uint64(40))
	is.Equal(s.Passed, uint64(36))
	is.Equal(s.FirstTokens[2], uint64(40))
	is.Equal(s.Lengths[18], uint64(4))

	doc = doc.Clone()
	is.NoErr(Halt(doc, "r1", "test", startTime.Add(time.Second)))
	is.NoErr(Resume(doc, "r1", startTime.Add(2*time.Second)))
	is.NoErr(Apply(doc, "r1", Decision{Action: ActionAdvance}, startTime.Add(3*time.Second)))
	third.Merge(reports[0])
	is.Equal(len(third.AllCounters()), 0) // a new trial starts without counters
}

func overTheWire(counters []Counter) []Counter {
	var list []Counter
	for i := range counters {
		list = append(list, CounterFromMessage(counters[i].Message()))
	}
	return list
}
