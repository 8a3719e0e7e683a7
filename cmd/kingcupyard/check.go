package main

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/line"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/console/settings"
)

// checkCommand checks files without starting anything.
type checkCommand struct {
	access
	settings      string
	configuration string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and configuration files, offline" }
func (*checkCommand) Usage() string {
	return "check [-Settings FILE] [-Configuration FILE]: check files without starting anything\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "Settings", "", "settings file (INI)")
	f.StringVar(&c.configuration, "Configuration", "", "configuration document (JSON)")
	f.BoolVar(&c.json, "Json", false, "print JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	if c.settings == "" && c.configuration == "" {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Settings", Allowed: "a file, with -Settings or -Configuration"})
	}
	if err := c.checkSettings(); err != nil {
		return c.fail(badInput(err))
	}
	if err := c.checkConfiguration(); err != nil {
		return c.fail(badInput(err))
	}
	return subcommands.ExitSuccess
}

func (c *checkCommand) checkSettings() error {
	if c.settings == "" {
		return nil
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	c.printer().Event("SettingsChecked", line.Pair{Key: "File", Value: c.settings}, line.Pair{Key: "Instance", Value: s.Name}, line.Pair{Key: "DataCentre", Value: s.DataCentre})
	return nil
}

func (c *checkCommand) checkConfiguration() error {
	if c.configuration == "" {
		return nil
	}
	doc, err := readDocument(c.configuration)
	if err != nil {
		return err
	}
	c.printer().Event("ConfigurationChecked", line.Pair{Key: "File", Value: c.configuration}, line.Pair{Key: "Preset", Value: doc.Preset},
		line.Pair{Key: "Models", Value: len(doc.Models)}, line.Pair{Key: "Customers", Value: len(doc.Customers)}, line.Pair{Key: "DataCentres", Value: len(doc.DataCentres)})
	return nil
}

// badInput sorts an error about a file as bad input.
func badInput(err error) error {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p
	}
	var field *configuration.FieldError
	if errors.As(err, &field) {
		return &operator.Problem{Kind: operator.ProblemBadInput, Field: field.Field, Value: field.Value, Allowed: field.Allowed}
	}
	return &operator.Problem{Kind: operator.ProblemBadInput, Message: err.Error()}
}
