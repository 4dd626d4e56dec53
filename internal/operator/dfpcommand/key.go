package dfpcommand

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/contract/dfprules"
)

type newKeyCommand struct {
	cfg     Config
	comment string
}

// Name implements subcommands.Command.
func (*newKeyCommand) Name() string { return "new" }

// Synopsis implements subcommands.Command.
func (*newKeyCommand) Synopsis() string { return "make a key and the rule for it" }

// Usage implements subcommands.Command.
func (*newKeyCommand) Usage() string {
	return `key new ORGANISATION --comment TEXT

Prints a new key, which is shown only once and not stored, and the line for the rules
file, which contains only its hash. The key is valid once that line is applied. To
withdraw a key, remove its line and apply the file.
Exit status: 0 done, 1 failed, 2 for wrong usage.

Example:
  dragonflyport key new waldspiel --comment "Graz shops, asked by Petra"
`
}

// SetFlags implements subcommands.Command.
func (c *newKeyCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.comment, "comment", "", "who asked for the key")
}

// Execute implements subcommands.Command.
func (c *newKeyCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, ok := positional(flags, 1)
	if !ok {
		return c.cfg.usageError("key new ORGANISATION --comment TEXT")
	}
	if strings.TrimSpace(c.comment) == "" || strings.ContainsAny(c.comment, "\r\n") {
		return c.cfg.usageError("--comment must say in one line who asked for the key")
	}
	key, err := dfpkey.New(c.cfg.Random)
	if err != nil {
		return c.cfg.failure(err)
	}
	rule := "key " + args[0] + " " + dfpkey.Hash(key).String() + " # " + c.comment
	if err := checkKeyRule(args[0], rule); err != nil {
		return c.cfg.usageError("%v", err)
	}
	c.cfg.print("key:  %s\nrule: %s\n", key, rule)
	return subcommands.ExitSuccess
}

// checkKeyRule checks that a key rule is valid in a rules file that defines the organisation.
func checkKeyRule(organisation, rule string) error {
	text := "availability_zone z region=r # x\norganisation " + organisation + " rate=1/s burst=1 # x\n" + rule + "\n"
	_, err := dfprules.Parse("the new rule", []byte(text))
	return err
}
