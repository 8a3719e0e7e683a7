package logline

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// A pipe that nobody reads must not hold up the program, and what it does not
// take is counted.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	defer r.Close()
	log := New(w, "info")
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			log.Warn("Event", zap.String("Key", "value"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked")
	}
	is.True(dropped.Get("OutputFull") != nil)
}

// The lines before a stop are written, but an output that takes none does not
// hold the stop up.
func TestFlushAtStop(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, "info")
	for range 100 {
		log.Info("Last")
	}
	is.NoErr(log.Sync())
	is.Equal(strings.Count(out.String(), "Event=Last"), 100)
	r, w := io.Pipe()
	defer r.Close()
	log = New(w, "info")
	log.Info("Stuck")
	is.True(log.Sync() != nil)
}

// Below warnings, lines are bounded by a rate; warnings always pass.
func TestBudget(t *testing.T) {
	is := is.New(t)
	log := New(io.Discard, "info")
	for range burst + 2*perSecond {
		log.Info("Chatter")
	}
	is.True(dropped.Get("Chatter") != nil)
	log.Warn("Serious")
	is.True(dropped.Get("Serious") == nil)
}

// Each recorded case names, after "expect", the events that the trace of its
// request shows in order.
func TestTrace(t *testing.T) {
	raw, err := os.ReadFile("testdata/traces.txt")
	is.New(t).NoErr(err)
	for block := range strings.SplitSeq(string(raw), "\n\n") {
		name, rest, _ := strings.Cut(strings.TrimSpace(block), "\n")
		name, ok := strings.CutPrefix(name, "name ")
		if !ok {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head, log, _ := strings.Cut(rest, "\n")
			words := strings.Fields(head) // request ID expect EVENT...
			var out bytes.Buffer
			_, err := Trace(&out, words[1], strings.NewReader(log))
			is.NoErr(err)
			var events []string
			for line := range strings.Lines(out.String()) {
				l, ok := parse(strings.TrimSpace(line))
				is.True(ok)
				events = append(events, l.Event)
			}
			is.Equal(events, words[3:])
		})
	}
}

// Under load, the lines of requests that went well are left out first.
func TestFailuresGoBeforeSuccesses(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, "info")
	for range 2 * burst {
		log.Info("RequestAnswered")
	}
	for range burst / 4 {
		log.Info("RequestEnded")
		log.Info("AttemptFailed")
	}
	is.NoErr(log.Sync())
	is.Equal(strings.Count(out.String(), "RequestEnded"), burst/4)
	is.Equal(strings.Count(out.String(), "AttemptFailed"), burst/4)
	is.True(strings.Count(out.String(), "RequestAnswered") >= burst/2)
}
