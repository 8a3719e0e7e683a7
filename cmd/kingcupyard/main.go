// Command kingcupyard is a model-aware router for versions and cascades: an
// instance of it, the operators' commands, and tools to try it out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/console/hangup"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run carries out one command line and returns the exit code.
func run(args []string) int {
	flags := flag.NewFlagSet("kingcupyard", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "kingcupyard")
	register(commander)
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	if flags.Arg(0) != (*gatewayCommand)(nil).Name() {
		hangup.Release()
	}
	return int(commander.Execute(context.Background()))
}

func register(c *subcommands.Commander) {
	const operating = "operating"
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&serveCommand{}, "running")
	c.Register(&gatewayCommand{}, "running")
	c.Register(&checkCommand{}, "running")
	c.Register(&demoCommand{}, "trying out")
	c.Register(&siteCommand{}, "trying out")
	c.Register(&loadCommand{}, "trying out")
	c.Register(&soakCommand{}, "trying out")
	c.Register(&standinCommand{}, "trying out")
	c.Register(&statusCommand{}, operating)
	c.Register(&explainCommand{}, operating)
	c.Register(&ledgerCommand{}, operating)
	c.Register(&billsCommand{}, operating)
	for _, g := range groups() {
		c.Register(g, operating)
	}
}

// groupCommand is a command that has commands of its own.
type groupCommand struct {
	name     string
	synopsis string
	members  []subcommands.Command
}

func (g *groupCommand) Name() string           { return g.name }
func (g *groupCommand) Synopsis() string       { return g.synopsis }
func (g *groupCommand) SetFlags(*flag.FlagSet) {}

func (g *groupCommand) Usage() string {
	usage := fmt.Sprintf("%s COMMAND [FLAGS]: %s\n", g.name, g.synopsis)
	for _, m := range g.members {
		usage += fmt.Sprintf("  %-10s %s\n", m.Name(), m.Synopsis())
	}
	return usage
}

func (g *groupCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet(g.name, flag.ContinueOnError)
	commander := subcommands.NewCommander(inner, "kingcupyard "+g.name)
	commander.Register(commander.HelpCommand(), "")
	for _, m := range g.members {
		commander.Register(m, "")
	}
	if err := inner.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx, args...)
}
