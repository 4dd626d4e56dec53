// Command dragonflyport runs a node and provides the operators' commands.
//
// # Usage
//
//	dragonflyport help
//	dragonflyport try
//	dragonflyport node --zone ost-1 --region ost --platform-url http://10.0.0.2:7000
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"dragonflyport/internal/operator/dfpcommand"
	"dragonflyport/internal/operator/dfpprocess"
	"dragonflyport/internal/standin/dfptry"
	"dragonflyport/platform/dfpadapter"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&dfpprocess.NodeCommand{}, "running")
	subcommands.Register(&dfpadapter.Command{}, "running")
	subcommands.Register(&dfptry.Command{}, "running")
	subcommands.Register(dfpcommand.Rules(dfpcommand.Config{}), "operating")
	subcommands.Register(dfpcommand.Key(dfpcommand.Config{}), "operating")
	subcommands.Register(&dfpprocess.StateCommand{}, "operating")
	subcommands.Register(&dfpprocess.DrainCommand{}, "operating")
	subcommands.Register(&explainCommand{}, "operating")
	subcommands.Register(&dfpprocess.VersionCommand{}, "operating")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
