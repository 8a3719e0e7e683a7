package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/measure/soak"
	"github.com/kingcupyard/kingcupyard/platform"
)

// soakCommand runs instances as processes before stand-ins of the users' platform, disturbs
// them and judges what was seen.
type soakCommand struct {
	access
	settings soak.Settings
}

func (*soakCommand) Name() string     { return "soak" }
func (*soakCommand) Synopsis() string { return "disturb instances from outside and judge them" }
func (*soakCommand) Usage() string {
	return "soak [-Seed N] [-Runs N] [-Duration D] [-Instances N] [-Parallel N]: run instances as processes before stand-ins of the users' platform, disturb them and judge what callers, backend servers and operators have seen\n"
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.settings.Seed, "Seed", 1, "seed of the first run")
	f.IntVar(&c.settings.Runs, "Runs", 1, "number of runs, each with the next seed")
	f.IntVar(&c.settings.Parallel, "Parallel", 1, "number of runs beside each other")
	f.IntVar(&c.settings.Instances, "Instances", 3, "number of instances")
	f.DurationVar(&c.settings.Duration, "Duration", 15*time.Second, "time in which faults begin")
}

func (c *soakCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	program, err := os.Executable()
	if err != nil {
		return c.fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.settings.Program, c.settings.ReadyPath, c.settings.Output = program, platform.ReadyPath, os.Stdout
	report, err := soak.Run(ctx, c.settings)
	fmt.Print(report)
	if err != nil {
		return c.fail(err)
	}
	if len(report.Findings) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
