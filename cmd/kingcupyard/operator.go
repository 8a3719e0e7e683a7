package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/line"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
)

// Environment variables that stand in for flags.
const (
	envOperators = "KINGCUPYARD_OPERATORS"
	envKey       = "KINGCUPYARD_OPERATOR_KEY"
)

// access holds the flags that every operator command has.
type access struct {
	operators string
	keyFile   string
	json      bool
}

func (a *access) SetFlags(f *flag.FlagSet) {
	f.StringVar(&a.operators, "Operators", os.Getenv(envOperators), "URL of an instance's operator listener (or $"+envOperators+")")
	f.StringVar(&a.keyFile, "KeyFile", "", "file with the operators' key (or the key in $"+envKey+")")
	f.BoolVar(&a.json, "Json", false, "print JSON")
}

func (a *access) client() (*operator.Client, error) {
	if a.operators == "" {
		return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "Operators", Allowed: "a URL, by flag or $" + envOperators}
	}
	key := os.Getenv(envKey)
	if a.keyFile != "" {
		raw, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "KeyFile", Value: a.keyFile, Allowed: "a readable file"}
		}
		key = strings.TrimSpace(string(raw))
	}
	if key == "" {
		return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "KeyFile", Allowed: "a file with the operators' key, or $" + envKey}
	}
	return operator.NewClient(a.operators, key), nil
}

// configuration asks for the document in force.
func (a *access) configuration(ctx context.Context) (*configuration.Document, error) {
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	return client.Configuration(ctx)
}

func (a *access) printer() *line.Printer { return line.New(os.Stdout, a.json) }

// fail prints why a command did not do its work and returns the exit status.
func (a *access) fail(err error) subcommands.ExitStatus {
	p := &operator.Problem{Kind: operator.ProblemInternal, Message: err.Error()}
	errors.As(err, &p)
	line.New(os.Stderr, a.json).Event("Refused", line.Pair{Key: "Kind", Value: string(p.Kind)}, line.Pair{Key: "Error", Value: p.Error()})
	if p.Kind == operator.ProblemBadInput {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// noArguments refuses arguments that are not flags.
func noArguments(f *flag.FlagSet) error {
	if f.NArg() == 0 {
		return nil
	}
	return &operator.Problem{Kind: operator.ProblemBadInput, Field: "arguments", Value: strings.Join(f.Args(), " "), Allowed: "flags only"}
}

// oneArgument returns the only argument that is not a flag.
func oneArgument(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", &operator.Problem{Kind: operator.ProblemBadInput, Field: what, Value: strings.Join(f.Args(), " "), Allowed: "one argument"}
	}
	return f.Arg(0), nil
}

// explainCommand prints why a request went where it went.
type explainCommand struct {
	access
	logs bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "say how a request was decided" }
func (*explainCommand) Usage() string {
	return "explain [FLAGS] REQUEST-ID: say how a request was decided\n" +
		"explain -Logs REQUEST-ID [FILE...]: the same from instances' logs, or from standard input\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.access.SetFlags(f)
	f.BoolVar(&c.logs, "Logs", false, "read logs instead of asking the instances")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.logs {
		return c.trace(f.Args())
	}
	id, err := oneArgument(f, "RequestId")
	if err != nil {
		return c.fail(err)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	records, err := client.Explain(ctx, id)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		if err := c.printer().Object(records); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	}
	for _, r := range records {
		c.printer().Event("Request", line.Pair{Key: "RequestId", Value: r.RequestID}, line.Pair{Key: "Instance", Value: r.Instance},
			line.Pair{Key: "Customer", Value: r.Customer}, line.Pair{Key: "Model", Value: r.Model}, line.Pair{Key: "Revision", Value: r.Revision},
			line.Pair{Key: "Preset", Value: r.Preset}, line.Pair{Key: "Plan", Value: r.Plan}, line.Pair{Key: "Reason", Value: r.Reason},
			line.Pair{Key: "RunState", Value: r.RunState}, line.Pair{Key: "Cost", Value: r.Cost}, line.Pair{Key: "Elapsed", Value: r.Elapsed})
		for _, s := range r.Steps {
			c.printer().Event("Step", line.Pair{Key: "At", Value: s.At}, line.Pair{Key: "Model", Value: s.Model}, line.Pair{Key: "Version", Value: s.Version},
				line.Pair{Key: "Server", Value: s.Server}, line.Pair{Key: "AttemptId", Value: s.AttemptID}, line.Pair{Key: "RuledOut", Value: fmt.Sprint(s.RuledOut)},
				line.Pair{Key: "Outcome", Value: s.Outcome}, line.Pair{Key: "Judged", Value: s.Judged})
		}
	}
	return subcommands.ExitSuccess
}

// statusCommand prints the state of the fleet.
type statusCommand struct{ access }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of every instance" }
func (*statusCommand) Usage() string    { return "status [FLAGS]: show the state of every instance\n" }

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	list, err := client.Statuses(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		if err := c.printer().Object(list); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	}
	for _, s := range list {
		members := make([]string, len(s.Members))
		for i, m := range s.Members {
			members[i] = m.Name + ":" + m.State
		}
		c.printer().Event("Instance", line.Pair{Key: "Instance", Value: s.Instance}, line.Pair{Key: "DataCentre", Value: s.DataCentre},
			line.Pair{Key: "Ready", Value: s.Ready}, line.Pair{Key: "Reason", Value: s.Reason}, line.Pair{Key: "Revision", Value: s.Revision},
			line.Pair{Key: "ConfirmedAge", Value: s.ConfirmedAge}, line.Pair{Key: "StoreAge", Value: s.StoreAge}, line.Pair{Key: "ListAge", Value: s.ListAge}, line.Pair{Key: "Watching", Value: s.Watching},
			line.Pair{Key: "Preset", Value: s.Preset}, line.Pair{Key: "Members", Value: members},
			line.Pair{Key: "Servers", Value: s.Servers.Live}, line.Pair{Key: "Cold", Value: s.Servers.Cold}, line.Pair{Key: "Keeper", Value: fmt.Sprint(s.Keeper)},
			line.Pair{Key: "StoreCalls", Value: fmt.Sprint(s.StoreCalls)}, line.Pair{Key: "Refusals", Value: fmt.Sprint(s.Refusals)}, line.Pair{Key: "InFlight", Value: s.InFlight})
	}
	return subcommands.ExitSuccess
}

// ledgerCommand prints what was billed and the state of the shards.
type ledgerCommand struct {
	access
	audit bool
}

func (*ledgerCommand) Name() string     { return "ledger" }
func (*ledgerCommand) Synopsis() string { return "show what was billed" }
func (*ledgerCommand) Usage() string {
	return "ledger [-Audit] [FLAGS]: show what was billed, by customer, model and version\n"
}

func (c *ledgerCommand) SetFlags(f *flag.FlagSet) {
	c.access.SetFlags(f)
	f.BoolVar(&c.audit, "Audit", false, "show and check each shard, and fail if one has faults")
}

func (c *ledgerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	audit, err := client.Ledger(ctx)
	if err != nil {
		return c.fail(err)
	}
	for _, t := range audit.Totals {
		c.printer().Event("Total", line.Pair{Key: "Customer", Value: t.Customer}, line.Pair{Key: "Model", Value: t.Model}, line.Pair{Key: "Version", Value: t.Version},
			line.Pair{Key: "Service", Value: t.Service}, line.Pair{Key: "Bills", Value: t.Bills}, line.Pair{Key: "Settled", Value: t.Settled},
			line.Pair{Key: "Tokens", Value: t.CompletionTokens}, line.Pair{Key: "Cost", Value: t.Cost})
	}
	if !c.audit {
		return subcommands.ExitSuccess
	}
	faults := 0
	for _, s := range audit.Shards {
		faults += len(s.Faults)
		c.printer().Event("Shard", line.Pair{Key: "Shard", Value: s.Shard}, line.Pair{Key: "Last", Value: s.Last}, line.Pair{Key: "Through", Value: s.Through},
			line.Pair{Key: "Bytes", Value: s.Bytes}, line.Pair{Key: "Bills", Value: s.Bills}, line.Pair{Key: "Open", Value: s.Open},
			line.Pair{Key: "Claims", Value: s.Claims}, line.Pair{Key: "Faults", Value: s.Faults})
	}
	if faults > 0 {
		return c.fail(fmt.Errorf("the ledger has %d faults", faults))
	}
	return subcommands.ExitSuccess
}
