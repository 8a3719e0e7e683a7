package verdict

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDecide runs the cases of testdata/rollouts.txt, whose header describes the
// format.
func TestDecide(t *testing.T) {
	raw, err := os.ReadFile("testdata/rollouts.txt")
	is.New(t).NoErr(err)
	name := ""
	for line := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n") {
		if rest, ok := strings.CutPrefix(line, "name "); ok {
			name = rest
			continue
		}
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			given, want, ok := strings.Cut(line, " -> ")
			is.True(ok)
			in := parseInput(t, strings.Fields(given))
			d := Decide(in)
			switch want {
			case "revert":
				is.True(d.Revert)
			case "retrial":
				is.Equal(d, Decision{Share: in.Share, Retrial: true})
			case "complete":
				is.True(d.Complete && !d.Revert)
			default:
				share, err := strconv.ParseFloat(want, 64)
				is.NoErr(err)
				is.True(!d.Revert && !d.Complete)
				is.True(math.Abs(d.Share-share) < 5e-4)
			}
		})
	}
}

func parseInput(t *testing.T, fields []string) DecisionInput {
	is := is.New(t)
	in := DecisionInput{MaxExposure: 0.15, BaseExposure: 30, OldServers: 9, PerSecond: 49, Evidence: Evidence{}, Servers: map[string]Counts{}}
	for _, f := range fields {
		key, value, _ := strings.Cut(f, "=")
		number, _ := strconv.ParseFloat(value, 64)
		switch key {
		case "elapsed":
			in.Elapsed = time.Duration(number * float64(time.Second))
		case "duration":
			in.Duration = time.Duration(number * float64(time.Second))
		case "ready":
			in.Ready = int(number)
		case "share":
			in.Share = number
		case "servers":
			in.OldServers = int(number)
		case "rate":
			in.PerSecond = number
		case "sent":
			_, err := fmt.Sscanf(value, "%d/%d", &in.Sent.Old, &in.Sent.New)
			is.NoErr(err)
		case "server":
			id, counts, _ := strings.Cut(value, ":")
			var c Counts
			_, err := fmt.Sscanf(counts, "%d/%d/%d", &c.Answers, &c.Failed, &c.Slow)
			is.NoErr(err)
			in.Servers[id] = c
		case "old", "new":
			route, counts, _ := strings.Cut(value, ":")
			var c Counts
			counts, paces, _ := strings.Cut(counts, "+")
			_, err := fmt.Sscanf(counts, "%d/%d/%d", &c.Answers, &c.Failed, &c.Slow)
			is.NoErr(err)
			if paces != "" {
				_, err = fmt.Sscanf(paces, "%d/%d", &c.Paced, &c.SlowPaced)
				is.NoErr(err)
			}
			pair := Comparison{Old: c}
			if key == "new" {
				pair = Comparison{New: c}
			}
			in.Evidence.Add(Evidence{route: pair})
		}
	}
	return in
}
