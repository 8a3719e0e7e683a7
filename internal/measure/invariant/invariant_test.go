package invariant

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"gopkg.in/ini.v1"
)

func readTrace(t *testing.T, name string) Trace {
	f, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	trace, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func TestCheckersOnRecordedTraces(t *testing.T) {
	expected, err := ini.Load("testdata/violations.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range Checkers {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			accepted := c.Check(readTrace(t, c.Name+".accept.jsonl"))
			is.True(accepted.Checked > 0)
			is.Equal(accepted.Details, nil)
			rejected := c.Check(readTrace(t, c.Name+".reject.jsonl"))
			is.Equal(rejected.Violations, expected.Section("").Key(c.Name).MustInt())
			is.True(rejected.Violations > 0)
			// Recorded in the demo from a router that protects nothing, and cut
			// down to the events that show the violation.
			is.True(c.Check(readTrace(t, c.Name+".recorded.jsonl")).Violations > 0)
		})
	}
}

func TestResultLine(t *testing.T) {
	is := is.New(t)
	results := Judge(readTrace(t, "ColdStart.reject.jsonl"))
	is.Equal(len(results), 12)
	is.Equal(results[4].String(), "Event=Invariant Name=ColdStart Checked=3 Violations=2")
	_, err := Read(strings.NewReader("{\"Kind\":\"Sent\"}\n{\"Unknown\":1}\n"))
	is.True(strings.HasPrefix(err.Error(), "trace line 2"))
	var out strings.Builder
	is.NoErr(readTrace(t, "ColdStart.reject.jsonl").Write(&out))
	is.Equal(strings.Count(out.String(), "\n"), 3)
}
