package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/measure/load"
)

// loadCommand sends a seeded mix of requests to running instances.
type loadCommand struct {
	access
	settings load.Settings
	targets  listFlag
	models   listFlag
	keys     listFlag
	ready    listFlag
	quiet    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send a seeded mix of requests and report latencies" }
func (*loadCommand) Usage() string {
	return "load -Target URL[,URL...] -Key KEY[,KEY...] -Models M[,M...] [FLAGS]: send a seeded, open-loop mix of requests\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	s := &c.settings
	f.Var(&c.targets, "Target", "callers' addresses of instances, separated by commas")
	f.Var(&c.ready, "Ready", "operators' addresses of the same instances, in the same order: only ready ones get requests")
	f.Var(&c.keys, "Key", "API keys of customers, separated by commas")
	f.Var(&c.models, "Models", "models to ask for, separated by commas")
	f.Float64Var(&s.Rate, "Rate", 50, "mean arrivals a second")
	f.DurationVar(&s.Duration, "Duration", 10*time.Second, "how long requests arrive")
	f.Uint64Var(&s.Seed, "Seed", 1, "seed of the random source")
	f.StringVar(&s.Service, "Service", "", "plain service to call; empty for none")
	f.StringVar(&s.PlainPath, "PlainPath", "", "path of idempotent calls")
	f.StringVar(&s.NonIdempotentPath, "NonIdempotentPath", "", "path of non-idempotent calls")
	f.Float64Var(&s.DuplicateShare, "DuplicateShare", 0, "share of non-idempotent calls sent twice under one key")
	f.Float64Var(&s.Mix.Streamed, "Streamed", load.DefaultMix.Streamed, "weight of streamed completions")
	f.Float64Var(&s.Mix.Whole, "Whole", load.DefaultMix.Whole, "weight of whole completions")
	f.Float64Var(&s.Mix.Session, "Session", load.DefaultMix.Session, "weight of requests in sessions")
	f.Float64Var(&s.Mix.Plain, "Plain", load.DefaultMix.Plain, "weight of idempotent calls of the plain service")
	f.Float64Var(&s.Mix.NonIdempotent, "NonIdempotent", load.DefaultMix.NonIdempotent, "weight of non-idempotent calls of the plain service")
	f.IntVar(&s.MinTokens, "MinTokens", 0, "shortest answer asked for")
	f.IntVar(&s.MaxTokens, "MaxTokens", 0, "longest answer asked for")
	f.IntVar(&s.MaxInFlight, "MaxInFlight", 0, "most requests in flight")
	f.BoolVar(&c.quiet, "Quiet", false, "print no progress")
	f.BoolVar(&c.json, "Json", false, "print JSON")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.settings.Targets, c.settings.Keys, c.settings.Models = c.targets, c.keys, c.models
	if len(c.ready) > 0 {
		if len(c.ready) != len(c.targets) {
			return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Ready", Value: c.ready.String(), Allowed: "one address for each target"})
		}
		b := newBalancer(c.targets, c.ready)
		go b.watch(ctx)
		c.settings.Pick = b.pick
	}
	if !c.quiet {
		c.settings.Progress = os.Stderr
	}
	report, err := load.Run(ctx, c.settings, clockwork.NewRealClock())
	var setting *load.SettingError
	if errors.As(err, &setting) {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: strings.TrimPrefix(setting.Field, "load."), Value: setting.Value, Allowed: setting.Allowed})
	}
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		if err := c.printer().Object(report); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	}
	if _, err := os.Stdout.WriteString(report.String() + "\n"); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}
