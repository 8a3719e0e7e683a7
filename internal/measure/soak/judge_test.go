package soak

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// TestJudge runs the recorded traces of testdata/traces.txt, whose first lines describe
// them. Each checker has one that it rejects, and a like one that it accepts.
func TestJudge(t *testing.T) {
	rejected := map[string]bool{}
	script.Run(t, "testdata/traces.txt", func(t *testing.T, lines []string) {
		is := is.New(t)
		trace, want := Trace{}, ""
		for _, line := range lines {
			f := strings.Fields(line)
			if f[0] == "expect" {
				want = strings.Join(f[1:], " ")
				continue
			}
			addLine(t, &trace, f)
		}
		var got []string
		for _, r := range Judge(trace, DefaultBounds) {
			if len(r.Violations) > 0 {
				got = append(got, r.Name)
				rejected[r.Name] = true
			}
		}
		is.Equal(strings.Join(got, " "), want)
	})
	for _, r := range Judge(Trace{}, DefaultBounds) {
		if !rejected[r.Name] {
			t.Errorf("no trace is rejected by %s", r.Name)
		}
	}
}

// addLine adds one line of a trace.
func addLine(t *testing.T, trace *Trace, f []string) {
	is := is.New(t)
	seconds := func(text string) time.Duration {
		n, err := strconv.ParseFloat(text, 64)
		is.NoErr(err)
		return time.Duration(n * float64(time.Second))
	}
	args := map[string]string{}
	for _, word := range f[1:] {
		name, value, _ := strings.Cut(word, "=")
		args[name] = value
	}
	_, planned := args["planned"]
	_, process := args["process"]
	_, ran := args["ran"]
	_, broken := args["broken"]
	switch f[0] {
	case "request":
		status, err := strconv.Atoi(args["status"])
		is.NoErr(err)
		trace.Requests = append(trace.Requests, Request{
			ID: args["id"], Kind: Kind(args["kind"]), Instance: args["at"], Needs: args["needs"], Sent: seconds(args["sent"]), Ended: seconds(args["ended"]),
			Status: status, Sound: !broken, Leaving: args["leaving"], Limited: args["limited"],
		})
	case "arrival":
		a := Arrival{ID: args["id"], Server: args["server"], At: seconds(args["time"]), Ran: ran, Limit: -1}
		if args["pause"] != "" {
			a.Pause = seconds(args["pause"])
		}
		if args["limit"] != "" {
			a.Limit = seconds(args["limit"]).Seconds()
		}
		trace.Arrivals = append(trace.Arrivals, a)
	case "fact":
		trace.Facts = append(trace.Facts, Fact{Kind: FactKind(args["kind"]), Name: args["name"], At: seconds(args["time"])})
	case "disturbed":
		trace.Disturbed = append(trace.Disturbed, Disturbance{Instance: args["at"], From: seconds(args["from"]), To: seconds(args["to"]), Process: process || planned, Planned: planned})
	default:
		t.Fatalf("unknown line %q", f[0])
	}
}

// The same seed gives the same faults, another seed others.
func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	text := func(seed uint64) string {
		var b strings.Builder
		for _, f := range schedule(seed, 20*time.Second) {
			b.WriteString(f.kind + f.at.String() + f.duration.String() + strconv.Itoa(f.target) + " ")
		}
		return b.String()
	}
	is.Equal(text(3), text(3))
	is.True(text(3) != text(4))
	is.True(len(schedule(3, 20*time.Second)) > 10)
}
