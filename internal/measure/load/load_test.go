package load

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/plain"
)

// TestRun sends to stand-ins directly, which speak what the callers see.
func TestRun(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Settings{
		StartsWarm: true, Loaded: []engine.Loaded{{Model: "m"}}, Concurrency: 1000,
		FirstToken: time.Microsecond, TokenInterval: time.Microsecond,
	})
	engineAddress, err := e.Start("127.0.0.1:0")
	is.NoErr(err)
	defer e.Close()
	p := plain.New(plain.Settings{Duration: time.Nanosecond, Concurrency: 1000})
	plainAddress, err := p.Start("127.0.0.1:0")
	is.NoErr(err)
	defer p.Close()
	var whole, cut int
	outcomes := make(chan Outcome, 1000)
	settings := Settings{
		Targets: []string{engineAddress}, Keys: []string{"k"}, Models: []string{"m"}, Rate: 500, Duration: 200 * time.Millisecond, Seed: 3,
		Mix: Mix{Streamed: 1, Whole: 1, Session: 1}, OnOutcome: func(o Outcome) { outcomes <- o },
	}
	_, err = Run(context.Background(), settings, clockwork.NewRealClock())
	is.NoErr(err)
	e.SetFaults(func(f *engine.Faults) { f.BreakAfterTokens = 3 })
	settings.Mix = Mix{Streamed: 1}
	report, err := Run(context.Background(), settings, clockwork.NewRealClock())
	is.NoErr(err)
	is.Equal(report.Answered, 0)
	settings.Targets, settings.Service, settings.Mix = []string{plainAddress}, "orders", Mix{NonIdempotent: 1}
	settings.DuplicateShare = 1
	_, err = Run(context.Background(), settings, clockwork.NewRealClock())
	is.NoErr(err)
	close(outcomes)
	for o := range outcomes {
		switch {
		case o.IsWhole():
			whole++
		case o.Result == ResultCut:
			cut++
			is.Equal(o.Tokens, 3)
		default:
			t.Errorf("unexpected outcome %+v", o)
		}
	}
	is.True(whole > 0)
	is.Equal(cut, report.Failed)
	is.True(len(p.Doubles()) > 0)
}

func TestForeignWordsAreNotOwn(t *testing.T) {
	is := is.New(t)
	for text, tokens := range map[string]int{"ab.1+ ab.2+ ": 2, "ab.1+ ab.3+ ": 1, "ab.1+ cd.2+ ": 1, "ab.1+ ab.1+ ": 1} {
		o := Outcome{Tag: "ab", Own: true, Result: ResultAnswered, Asked: 2}
		o.takeText(text)
		is.Equal(o.Tokens, tokens)
		is.Equal(o.IsWhole(), tokens == 2)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := Run(context.Background(), Settings{Targets: []string{"x"}, Keys: []string{"k"}}, clockwork.NewRealClock())
	is.Equal(err.Error(), `load: Rate: value "0" is not allowed: above 0`)
}
