package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/change"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
	"github.com/kingcupyard/kingcupyard/internal/console/line"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
)

// changeCommand commits one kind of edit.
type changeCommand struct {
	access
	name     string
	synopsis string
	required []string
	bind     func(*flag.FlagSet, *change.Command)
	command  change.Command
	change   operator.Change
	// prepare completes the command from its flags.
	prepare func(*change.Command) error
	commit  func(*operator.Client, context.Context, operator.Change) (*operator.Accepted, error)
}

func (c *changeCommand) Name() string     { return c.name }
func (c *changeCommand) Synopsis() string { return c.synopsis }
func (c *changeCommand) Usage() string {
	usage := fmt.Sprintf("%s [FLAGS]: %s", c.name, c.synopsis)
	if len(c.required) > 0 {
		usage += "; needs -" + strings.Join(c.required, ", -")
	}
	return usage + "\n"
}

func (c *changeCommand) SetFlags(f *flag.FlagSet) {
	c.access.SetFlags(f)
	f.StringVar(&c.change.ID, "ChangeId", "", "makes the change idempotent: the same ID takes effect once")
	f.StringVar(&c.change.Operator, "Operator", os.Getenv("USER"), "who makes the change")
	f.Int64Var(&c.change.Expected, "Expected", 0, "the revision the change is based on; 0 is the newest")
	f.BoolVar(&c.change.NoWait, "NoWait", false, "do not wait until the change is in force")
	c.bind(f, &c.command)
}

func (c *changeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.fail(err)
	}
	if c.prepare != nil {
		if err := c.prepare(&c.command); err != nil {
			return c.fail(err)
		}
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	c.change.Command = c.command
	accepted, err := c.commit(client, ctx, c.change)
	if err != nil {
		return c.fail(err)
	}
	c.printer().Event("Accepted", line.Pair{Key: "ChangeId", Value: accepted.ChangeID}, line.Pair{Key: "Revision", Value: accepted.Revision},
		line.Pair{Key: "InForce", Value: names(accepted.InForce)}, line.Pair{Key: "Missing", Value: names(accepted.Missing)})
	return subcommands.ExitSuccess
}

func names(list []operator.InForce) []string {
	return lo.Map(list, func(i operator.InForce, _ int) string { return i.Instance })
}

func (c *changeCommand) checkFlags(f *flag.FlagSet) error {
	if err := noArguments(f); err != nil {
		return err
	}
	for _, name := range c.required {
		if f.Lookup(name).Value.String() == "" {
			return &operator.Problem{Kind: operator.ProblemBadInput, Field: name, Allowed: "a value; the flag -" + name + " is needed"}
		}
	}
	return nil
}

func groups() []*groupCommand {
	return []*groupCommand{
		{name: "customer", synopsis: "create customers and say what they may use", members: customerCommands()},
		{name: "version", synopsis: "add and withdraw versions of models", members: versionCommands()},
		{name: "rollout", synopsis: "move traffic from one version to another", members: rolloutCommands()},
		{name: "datacentre", synopsis: "take data centres out of service and back", members: dataCentreCommands()},
		{name: "preset", synopsis: "list, show and apply presets", members: presetCommands()},
		{name: "configuration", synopsis: "show and import the whole configuration", members: configurationCommands()},
	}
}

func edit(name, synopsis string, kind change.Kind, required []string, bind func(*flag.FlagSet, *change.Command)) *changeCommand {
	return &changeCommand{
		name: name, synopsis: synopsis, required: required, bind: bind,
		command: change.Command{Kind: kind}, commit: (*operator.Client).Change,
	}
}

func customerCommands() []subcommands.Command {
	allowance := func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.Customer, "Name", "", "name of the customer")
		f.StringVar(&c.Model, "Model", "", "name of a model")
		f.Var((*listFlag)(&c.Versions), "Versions", "versions of the model, separated by commas; none means all")
		f.StringVar(&c.Service, "Service", "", "name of a plain service, instead of a model")
	}
	create := edit("create", "create a customer", change.CustomerCreate, []string{"Name", "NewKeyFile"}, nil)
	var keyFile string
	create.bind = func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.Customer, "Name", "", "name of the customer")
		f.StringVar(&keyFile, "NewKeyFile", "", "file with the customer's API key; only its hash is stored")
		f.Float64Var(&c.Weight, "Weight", 1, "share under overload, relative to others")
		f.IntVar(&c.Priority, "Priority", 0, "priority; higher goes first")
		f.StringVar(&c.OnWithdraw, "OnWithdrawal", "Refuse", "what sessions of a withdrawn version do: Refuse or Move")
	}
	create.prepare = func(c *change.Command) error {
		raw, err := os.ReadFile(keyFile)
		if err != nil || strings.TrimSpace(string(raw)) == "" {
			return &operator.Problem{Kind: operator.ProblemBadInput, Field: "NewKeyFile", Value: keyFile, Allowed: "a file that holds a key"}
		}
		c.KeyHash = configuration.HashKey(strings.TrimSpace(string(raw)))
		return nil
	}
	return []subcommands.Command{
		create,
		edit("allow", "allow a model or a plain service", change.CustomerAllow, []string{"Name"}, allowance),
		edit("disallow", "take a model or a plain service away", change.CustomerDisallow, []string{"Name"}, allowance),
	}
}

func versionCommands() []subcommands.Command {
	bind := func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.Model, "Model", "", "name of the model")
		f.StringVar(&c.Version, "Version", "", "name of the version")
		f.StringVar(&c.Reason, "Reason", "", "why, for the record")
	}
	needs := []string{"Model", "Version"}
	return []subcommands.Command{
		edit("add", "register a version", change.VersionAdd, needs, bind),
		edit("withdraw", "stop all new work on a version", change.VersionWithdraw, needs, bind),
	}
}

func rolloutCommands() []subcommands.Command {
	bind := func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.Model, "Model", "", "name of the model")
		f.StringVar(&c.Reason, "Reason", "", "why, for the record")
	}
	start := edit("start", "start a roll-out", change.RolloutStart, []string{"Model", "Version"}, func(f *flag.FlagSet, c *change.Command) {
		bind(f, c)
		f.StringVar(&c.Version, "Version", "", "the version to roll out")
		f.Var((*sharesFlag)(&c.Stages), "Stages", "ascending shares of traffic, separated by commas")
	})
	needs := []string{"Model"}
	return []subcommands.Command{
		start,
		edit("halt", "hold the roll-out at its stage", change.RolloutHalt, needs, bind),
		edit("resume", "go on with a halted roll-out", change.RolloutResume, needs, bind),
		edit("withdraw", "end the roll-out and withdraw its version", change.RolloutWithdraw, needs, bind),
	}
}

func dataCentreCommands() []subcommands.Command {
	bind := func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.DataCentre, "Name", "", "name of the data centre")
	}
	return []subcommands.Command{
		edit("take-out", "give a data centre no new work", change.DataCentreTakeOut, []string{"Name"}, bind),
		edit("return", "give a data centre work again", change.DataCentreReturn, []string{"Name"}, bind),
	}
}

func configurationCommands() []subcommands.Command {
	var path string
	load := edit("import", "replace the whole configuration", change.Import, []string{"File"}, func(f *flag.FlagSet, _ *change.Command) {
		f.StringVar(&path, "File", "", "file with a configuration document in JSON")
	})
	load.prepare = func(c *change.Command) error {
		doc, err := readDocument(path)
		c.Document = doc
		return err
	}
	restore := edit("restore", "write the configuration in force into a store that has lost it", "", nil, func(*flag.FlagSet, *change.Command) {})
	restore.commit = (*operator.Client).Restore
	return []subcommands.Command{&showCommand{name: "show", synopsis: "print the configuration in force"}, load, restore}
}

func readDocument(path string) (*configuration.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "File", Value: path, Allowed: "a readable file"}
	}
	doc, err := configuration.Parse(raw, 0)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return doc, nil
}

func presetCommands() []subcommands.Command {
	apply := edit("apply", "put a preset in force", change.PresetApply, []string{"Name"}, func(f *flag.FlagSet, c *change.Command) {
		f.StringVar(&c.Preset, "Name", "", "name of the preset")
	})
	return []subcommands.Command{
		&showCommand{name: "list", synopsis: "list the presets", pick: listPresets},
		&showCommand{name: "show", synopsis: "show the preset in force", pick: showPreset},
		&applyCommand{changeCommand: apply},
	}
}

// applyCommand is preset apply with a dry run.
type applyCommand struct {
	*changeCommand
	dryRun bool
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.changeCommand.SetFlags(f)
	f.BoolVar(&c.dryRun, "DryRun", false, "say what would change and change nothing")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	if !c.dryRun {
		return c.changeCommand.Execute(ctx, f, args...)
	}
	if err := c.checkFlags(f); err != nil {
		return c.fail(err)
	}
	doc, err := c.configuration(ctx)
	if err != nil {
		return c.fail(err)
	}
	to, ok := lo.Find(doc.Presets, func(p configuration.Preset) bool { return p.Name == c.command.Preset })
	if !ok {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Name", Value: c.command.Preset, Allowed: "the name of a preset"})
	}
	for _, effect := range preset.Explain(*doc.ActivePreset(), to) {
		c.printer().Event("WouldChange", line.Pair{Key: "Preset", Value: to.Name}, line.Pair{Key: "Effect", Value: effect})
	}
	return subcommands.ExitSuccess
}

// showCommand prints the configuration, or a part of it.
type showCommand struct {
	access
	name     string
	synopsis string
	pick     func(*line.Printer, *configuration.Document)
}

func (c *showCommand) Name() string     { return c.name }
func (c *showCommand) Synopsis() string { return c.synopsis }
func (c *showCommand) Usage() string    { return c.name + " [FLAGS]: " + c.synopsis + "\n" }

func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	doc, err := c.configuration(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.pick != nil {
		c.pick(c.printer(), doc)
		return subcommands.ExitSuccess
	}
	if err := c.printer().Object(doc); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func listPresets(p *line.Printer, doc *configuration.Document) {
	for _, preset := range doc.Presets {
		p.Event("Preset", line.Pair{Key: "Name", Value: preset.Name}, line.Pair{Key: "InForce", Value: preset.Name == doc.Preset})
	}
}

func showPreset(p *line.Printer, doc *configuration.Document) {
	in := doc.ActivePreset()
	p.Event("Preset", line.Pair{Key: "Name", Value: in.Name}, line.Pair{Key: "QualityTarget", Value: in.QualityTarget}, line.Pair{Key: "Judge", Value: in.Judge},
		line.Pair{Key: "DelayPrice", Value: in.DelayPrice}, line.Pair{Key: "ShedAt", Value: in.ShedAt}, line.Pair{Key: "RampSeconds", Value: in.RampSeconds},
		line.Pair{Key: "RolloutPace", Value: in.RolloutPace}, line.Pair{Key: "ExploreShare", Value: in.ExploreShare})
}

// listFlag is a list of names separated by commas.
type listFlag []string

func (l *listFlag) String() string { return strings.Join(*l, ",") }

func (l *listFlag) Set(v string) error {
	*l = strings.Split(v, ",")
	return nil
}

// sharesFlag is a list of numbers separated by commas.
type sharesFlag []float64

func (l *sharesFlag) String() string {
	return strings.Join(lo.Map(*l, func(v float64, _ int) string { return strconv.FormatFloat(v, 'f', -1, 64) }), ",")
}

func (l *sharesFlag) Set(v string) error {
	*l = nil
	for _, part := range strings.Split(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return fmt.Errorf("share %q is not a number", part)
		}
		*l = append(*l, n)
	}
	return nil
}
