package main

import (
	"context"
	"flag"
	"net"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/console/line"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/platform"
)

// billsCommand adds up what the instances on the users' platform have billed.
type billsCommand struct {
	access
	store string
}

func (*billsCommand) Name() string { return "bills" }
func (*billsCommand) Synopsis() string {
	return "add up what instances on the users' platform have billed"
}
func (*billsCommand) Usage() string {
	return "bills -Store ADDRESS: requests, prompt tokens and events of answers by customer, service and model\n"
}

func (c *billsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.store, "Store", "", "address of the platform's store, IP:PORT")
	f.BoolVar(&c.json, "Json", false, "print JSON")
}

func (c *billsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	if _, _, err := net.SplitHostPort(c.store); err != nil {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Store", Value: c.store, Allowed: "an address with a port"})
	}
	counts, err := platform.NewStore(c.store).Tallies(ctx)
	if err != nil {
		return c.fail(err)
	}
	for _, e := range tally.Sum(counts) {
		c.printer().Event("Total", line.Pair{Key: "Customer", Value: e.Customer}, line.Pair{Key: "Service", Value: e.Service}, line.Pair{Key: "Model", Value: e.Model},
			line.Pair{Key: "Requests", Value: e.Requests}, line.Pair{Key: "PromptTokens", Value: e.Read}, line.Pair{Key: "Events", Value: e.Parts})
	}
	return subcommands.ExitSuccess
}
