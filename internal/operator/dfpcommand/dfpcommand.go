// Package dfpcommand implements the operators' commands for rules and keys:
//
//	dragonflyport rules check FILE
//	dragonflyport rules apply FILE --platform URL --seen VERSION --by NAME
//	dragonflyport rules show --platform URL
//	dragonflyport rules diff FILE --platform URL
//	dragonflyport rules log --platform URL
//	dragonflyport key new ORGANISATION --comment TEXT
//
// The exit status is 0 on success, 1 if the command was refused or failed, and 2 on wrong usage. Flags
// may precede or follow FILE and ORGANISATION. The platform's URL may also be set by the environment
// variable DRAGONFLYPORT_PLATFORM_URL.
//
// # Usage
//
//	commander.Register(dfpcommand.Rules(dfpcommand.Config{}), "")
//	commander.Register(dfpcommand.Key(dfpcommand.Config{}), "")
package dfpcommand

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"dragonflyport/internal/link/dfpplatform"
)

// platformVariable is the environment variable with the platform's URL, used if the flag is not set.
const platformVariable = "DRAGONFLYPORT_PLATFORM_URL"

// Config sets the output and the random source of the commands. Nil fields take those of the process.
type Config struct {
	// Out receives the results of commands.
	Out io.Writer
	// Err receives errors and notes.
	Err io.Writer
	// Random is the source of new keys; it must be cryptographically secure.
	Random io.Reader
}

func (c Config) withDefaults() Config {
	if c.Out == nil {
		c.Out = os.Stdout
	}
	if c.Err == nil {
		c.Err = os.Stderr
	}
	if c.Random == nil {
		c.Random = rand.Reader
	}
	return c
}

// Rules returns the command `rules` with its subcommands.
func Rules(cfg Config) subcommands.Command {
	cfg = cfg.withDefaults()
	return &group{
		cfg: cfg, name: "rules", synopsis: "check, apply and show the rules",
		usage: "rules check|apply|show|diff|log ...\n\nExample:\n  dragonflyport rules check shop.rules\n",
		commands: []subcommands.Command{
			&checkCommand{cfg: cfg}, &applyCommand{cfg: cfg}, &showCommand{cfg: cfg}, &diffCommand{cfg: cfg}, &logCommand{cfg: cfg},
		},
	}
}

// Key returns the command `key` with its only subcommand, `new`.
func Key(cfg Config) subcommands.Command {
	cfg = cfg.withDefaults()
	return &group{
		cfg: cfg, name: "key", synopsis: "make keys for organisations",
		usage:    "key new ...\n\nExample:\n  dragonflyport key new waldspiel --comment \"Graz shops, asked by Petra\"\n",
		commands: []subcommands.Command{&newKeyCommand{cfg: cfg}},
	}
}

// group is a command that consists of subcommands.
type group struct {
	cfg                   Config
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

// Execute runs the subcommand that the first argument names.
func (g *group) Execute(ctx context.Context, flags *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, "dragonflyport "+g.name)
	commander.Output, commander.Error = g.cfg.Out, g.cfg.Err
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// positional returns the positional arguments and reports whether there are exactly n and all flags are
// valid. Unlike package flag, it also parses flags that follow positional arguments.
func positional(flags *flag.FlagSet, n int) ([]string, bool) {
	var args []string
	for flags.NArg() > 0 {
		args = append(args, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, false
		}
	}
	return args, len(args) == n
}

// usageError prints what is wrong with the command line and returns the exit status for it.
func (c Config) usageError(format string, args ...any) subcommands.ExitStatus {
	c.note("usage: "+format, args...)
	return subcommands.ExitUsageError
}

// failure prints an error and returns the exit status of a failed command.
func (c Config) failure(err error) subcommands.ExitStatus {
	c.note("%v", err)
	return subcommands.ExitFailure
}

// print writes to Out. It ignores a write error, which a command has no way to report.
func (c Config) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Out, format, args...)
}

// note writes a line to Err.
func (c Config) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Err, format+"\n", args...)
}

// platformFlag is the flag --platform.
type platformFlag struct{ url string }

func (p *platformFlag) register(flags *flag.FlagSet) {
	flags.StringVar(&p.url, "platform", os.Getenv(platformVariable),
		"base URL of the platform's key-value service ("+platformVariable+")")
}

const noPlatformMessage = "--platform or " + platformVariable + " must name the platform's URL"

func (p *platformFlag) client() *dfpplatform.Client {
	return dfpplatform.New(dfpplatform.Config{URL: p.url})
}
