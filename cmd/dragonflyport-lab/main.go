// Command dragonflyport-lab runs the project's stand-ins, sends load and
// measures. It is for developers and is not needed on a VM in production.
//
// A promise is a guarantee of dragonflyport that a run checks.
//
// # Usage
//
//	dragonflyport-lab standin platform --listen 127.0.0.1:7000
//	dragonflyport-lab standin backend --listen 127.0.0.1:8000 --service ordering --egress http://127.0.0.1:9002
//	dragonflyport-lab load --target http://127.0.0.1:9001 --organisation waldspiel:KEY:50 --route "GET /catalogue/1 low idempotent 1"
//	dragonflyport-lab measure steady --deployment schatzspur --seed 1 --json
//	dragonflyport-lab soak --seed 1 --seeds 50 --concurrent 3
//
// The exit status is 0 on success, 1 if a run failed or a promise was broken,
// and 2 for wrong usage.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"
)

func main() {
	log.SetHandler(json.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	commander := subcommands.NewCommander(flag.CommandLine, "dragonflyport-lab")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&group{
		name:     "standin",
		synopsis: "run a stand-in as a process",
		usage:    "standin platform|backend [flags]\n\nExample:\n  dragonflyport-lab standin platform --listen 127.0.0.1:7000\n",
		commands: []subcommands.Command{&platformCommand{}, &backendCommand{}},
	}, "")
	commander.Register(&loadCommand{}, "")
	commander.Register(&measureCommand{}, "")
	commander.Register(&soakCommand{}, "")
	flag.Parse()
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// group is a command with subcommands of its own.
type group struct {
	name, synopsis, usage string
	commands              []subcommands.Command
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string { return g.usage }

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand named by the first argument.
func (g *group) Execute(ctx context.Context, flags *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, "dragonflyport-lab "+g.name)
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// stringList is a flag that may be given more than once.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return "" }

// Set implements flag.Value.
func (l *stringList) Set(s string) error {
	*l = append(*l, s)
	return nil
}

// usageError logs a wrong use of a command and returns its exit status.
func usageError(err error) subcommands.ExitStatus {
	log.WithError(err).Error("usage")
	return subcommands.ExitUsageError
}

// exitStatus logs err, if it is not nil, and returns the exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		log.WithError(err).Error("failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
