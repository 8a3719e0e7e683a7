package pipeline

import (
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// scriptedRetryPolicy carries out scripted attempts. Each entry of the script is
// the error kind, run state and delivered tokens of one attempt; the last one
// repeats.
type scriptedRetryPolicy struct {
	*retryLoop
	t              *testing.T
	clock          *clockwork.FakeClock
	script         []string
	deadlinePasses bool
	budgetEmpty    bool
}

func (p *scriptedRetryPolicy) attempt(context.Context) error {
	entry := p.script[min(p.totalAttempts, len(p.script)-1)]
	if p.deadlinePasses {
		p.clock.Advance(time.Minute)
	}
	f := strings.Fields(entry)
	states := map[string]call.RunState{"NotRun": call.NotRun, "MayHaveRun": call.MayHaveRun, "Ran": call.Ran}
	delivered, err := strconv.Atoi(f[2])
	is.New(p.t).NoErr(err)
	e := &attempt.Error{Kind: attempt.Kind(f[0]), State: states[f[1]], LastDelivered: delivered}
	if f[0] == "Moved" {
		e.Kind, e.Err = attempt.NotStarted, &stalePlacementError{errServerIneligible}
	}
	p.recordResult("s", e)
	return e
}

func (p *scriptedRetryPolicy) replan()                       {}
func (p *scriptedRetryPolicy) escalate() bool                { return true }
func (p *scriptedRetryPolicy) takeRetry(*attempt.Error) bool { return !p.budgetEmpty }

// TestRetryLoop runs the cases of testdata/retry_loop.txt, whose first lines describe
// the columns. It guards against attempts that end in the same way being retried
// differently by Pipeline and Forwarder.
func TestRetryLoop(t *testing.T) {
	raw, err := os.ReadFile("testdata/retry_loop.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(line, "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		t.Run(strings.Join(f[:3], " "), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			c := &retryLoop{
				now: clock.Now, deadline: clock.Now().Add(time.Second), resumeAfterDeadline: f[0] == "chat",
				idempotent: strings.HasPrefix(f[1], "again"), maxAttempts: 3,
			}
			p := &scriptedRetryPolicy{
				retryLoop: c, t: t, clock: clock, script: strings.Split(f[2], ";"),
				deadlinePasses: strings.HasSuffix(f[1], "late"), budgetEmpty: strings.HasSuffix(f[1], "poor"),
			}
			is.True(c.run(t.Context(), p) != nil)
			is.Equal(strconv.Itoa(c.totalAttempts), f[3])
			is.Equal(c.state.String(), f[4])
		})
	}
}
