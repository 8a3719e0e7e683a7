package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/console/logline"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/console/settings"
	"github.com/kingcupyard/kingcupyard/internal/fleet/instance"
)

// serveCommand runs one instance until SIGTERM or SIGINT.
type serveCommand struct {
	access
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an instance" }
func (*serveCommand) Usage() string    { return "serve -Settings FILE: run an instance until SIGTERM\n" }

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "Settings", "", "settings file (INI)")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	if c.settings == "" {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Settings", Allowed: "a settings file"})
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		return c.fail(badInput(err))
	}
	log := logline.New(os.Stderr, s.LogLevel)
	i := instance.New(s, instance.WithLogger(log))
	if err := i.Start(); err != nil {
		return c.fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	err = i.Stop(context.Background())
	// An output that takes no lines is no reason to stay.
	_ = log.Sync()
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}
