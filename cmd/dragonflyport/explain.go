package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"dragonflyport/internal/operator/dfplog"
)

// explainCommand is the command explain, which prints what nodes' logs contain about one request.
type explainCommand struct{}

func (*explainCommand) Name() string { return "explain" }

func (*explainCommand) Synopsis() string { return "show from nodes' logs what happened to a request" }

func (*explainCommand) Usage() string {
	return `explain ID [FILE...]: read the logs of nodes, or standard input, and print in the order of time each
decision about the request that has the caller's id ID, its inputs, and the age of these.

Exit status: 0 if a log contains the request, 1 if none does, 2 on wrong usage.
`
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "explain needs the id of a request")
		return subcommands.ExitUsageError
	}
	sources := []dfplog.Source{{Name: "standard input", Log: os.Stdin}}
	if fs.NArg() > 1 {
		sources = nil
	}
	for _, path := range fs.Args()[1:] {
		file, err := os.Open(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		defer func() { _ = file.Close() }() // The file was only read.
		sources = append(sources, dfplog.Source{Name: path, Log: file})
	}
	if err := dfplog.Explain(os.Stdout, fs.Arg(0), sources); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
