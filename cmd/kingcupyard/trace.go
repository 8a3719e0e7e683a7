package main

import (
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/console/logline"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
)

// trace explains a request from logs: those of the files, else standard input.
func (c *explainCommand) trace(args []string) subcommands.ExitStatus {
	if len(args) == 0 {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "RequestId", Allowed: "a request ID, then log files"})
	}
	logs := []io.Reader{os.Stdin}
	if len(args) > 1 {
		logs = nil
	}
	for _, name := range args[1:] {
		file, err := os.Open(name)
		if err != nil {
			return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "FILE", Allowed: err.Error()})
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := logline.Trace(os.Stdout, args[0], logs...)
	if err != nil {
		return c.fail(err)
	}
	if lines == 0 {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "RequestId", Allowed: "an ID that the logs hold"})
	}
	return subcommands.ExitSuccess
}
