package quarantine

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// TestFind runs the cases of testdata/crashes.txt, whose first lines describe the
// steps. It guards against one part of a prompt crashing server after server, and
// against blaming the parts that sound prompts share.
func TestFind(t *testing.T) {
	script.Run(t, "testdata/crashes.txt", func(t *testing.T, lines []string) {
		is := is.New(t)
		start := time.Unix(1000, 0)
		instances, decider, quarantined := map[string]*Tracker{}, New(), map[string]bool{}
		for _, line := range lines {
			f := strings.Fields(line)
			seconds, err := strconv.ParseFloat(f[0], 64)
			is.NoErr(err)
			now := start.Add(time.Duration(seconds * float64(time.Second)))
			instance := func() *Tracker {
				if instances[f[2]] == nil {
					instances[f[2]] = New()
				}
				return instances[f[2]]
			}
			switch f[1] {
			case "crash":
				instance().RecordCrash(ServerRun{Server: f[3]}, Prompt{Request: f[4], Parts: f[5:]}, now)
			case "answer":
				instance().RecordAnswer(f[3:], now)
			case "report":
				report, recent := instance().Report(now)
				is.True(recent)
				decider.Merge(report, now)
			case "quarantined":
				quarantined[f[2]] = true
			case "find":
				var found []string
				for _, x := range decider.Find(func(part string) bool { return quarantined[part] }, now) {
					found = append(found, x.Part)
				}
				is.Equal(strings.Join(found, " "), strings.Join(f[2:], " "))
			default:
				t.Fatalf("unknown step %q", line)
			}
		}
	})
}

// Memory doesn't grow with the parts and crashes that are seen.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker, now := New(), time.Unix(1000, 0)
	for i := range 3 * maxAnswered {
		tracker.RecordAnswer([]string{strconv.Itoa(i)}, now)
		tracker.RecordCrash(ServerRun{Server: strconv.Itoa(i)}, Prompt{Request: "r", Parts: []string{"p"}}, now)
	}
	is.True(len(tracker.answeredAt) <= maxAnswered+1)
	is.True(len(tracker.crashes) <= maxCrashes)
}
