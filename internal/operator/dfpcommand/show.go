package dfpcommand

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/operator/dfpapply"
)

type showCommand struct {
	cfg      Config
	platform platformFlag
}

// Name implements subcommands.Command.
func (*showCommand) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (*showCommand) Synopsis() string { return "print the rules in force and their version" }

// Usage implements subcommands.Command.
func (*showCommand) Usage() string {
	return `rules show --platform URL

Prints the rules on standard output and their version on standard error.
Exit status: 0 done, 1 failed or no rules yet, 2 for wrong usage.

Example:
  dragonflyport rules show --platform http://10.0.0.9:7000 > shop.rules
`
}

// SetFlags implements subcommands.Command.
func (c *showCommand) SetFlags(flags *flag.FlagSet) { c.platform.register(flags) }

// Execute implements subcommands.Command.
func (c *showCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, ok := positional(flags, 0); !ok {
		return c.cfg.usageError("rules show --platform URL")
	}
	if c.platform.url == "" {
		return c.cfg.usageError(noPlatformMessage)
	}
	client := c.platform.client()
	defer client.Close()
	head, text, err := dfpapply.ReadRules(ctx, client)
	if err != nil {
		return c.cfg.failure(err)
	}
	c.cfg.print("%s", text)
	c.cfg.note("version %d, by %s, apply %s", head.Version, head.By, head.ApplyID)
	return subcommands.ExitSuccess
}

type diffCommand struct {
	cfg      Config
	platform platformFlag
}

// Name implements subcommands.Command.
func (*diffCommand) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCommand) Synopsis() string { return "compare a rules file with the rules in force" }

// Usage implements subcommands.Command.
func (*diffCommand) Usage() string {
	return `rules diff FILE --platform URL

Prints the rules that an apply of the file would remove (-) and add (+).
Exit status: 0 done, also with differences; 1 failed, 2 for wrong usage.

Example:
  dragonflyport rules diff shop.rules --platform http://10.0.0.9:7000
`
}

// SetFlags implements subcommands.Command.
func (c *diffCommand) SetFlags(flags *flag.FlagSet) { c.platform.register(flags) }

// Execute implements subcommands.Command.
func (c *diffCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, ok := positional(flags, 1)
	if !ok {
		return c.cfg.usageError("rules diff FILE --platform URL")
	}
	if c.platform.url == "" {
		return c.cfg.usageError(noPlatformMessage)
	}
	_, set, err := readFile(args[0])
	if err != nil {
		return c.cfg.failure(err)
	}
	client := c.platform.client()
	defer client.Close()
	var current *dfprules.Ruleset
	var version uint64
	head, text, err := dfpapply.ReadRules(ctx, client)
	switch {
	case errors.Is(err, dfpapply.ErrNoRules):
	case err != nil:
		return c.cfg.failure(err)
	default:
		version = head.Version
		if current, err = dfprules.Parse("rules in force", text); err != nil {
			return c.cfg.failure(err)
		}
	}
	c.cfg.print("%s", dfprules.Format(dfprules.Diff(current, set)))
	c.cfg.note("compared with version %d", version)
	return subcommands.ExitSuccess
}

type logCommand struct {
	cfg      Config
	platform platformFlag
	lines    bool
}

// Name implements subcommands.Command.
func (*logCommand) Name() string { return "log" }

// Synopsis implements subcommands.Command.
func (*logCommand) Synopsis() string { return "list the last changes of the rules" }

// Usage implements subcommands.Command.
func (*logCommand) Usage() string {
	return `rules log --platform URL [--lines]

Lists the last 24 accepted changes, the newest first: version, time by the operator's
clock, apply id and name. With --lines also the changed rules of the last 7.
Exit status: 0 done, 1 failed, 2 for wrong usage.

Example:
  dragonflyport rules log --platform http://10.0.0.9:7000 --lines
`
}

// SetFlags implements subcommands.Command.
func (c *logCommand) SetFlags(flags *flag.FlagSet) {
	c.platform.register(flags)
	flags.BoolVar(&c.lines, "lines", false, "print the changed rules")
}

// Execute implements subcommands.Command.
func (c *logCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, ok := positional(flags, 0); !ok {
		return c.cfg.usageError("rules log --platform URL [--lines]")
	}
	if c.platform.url == "" {
		return c.cfg.usageError(noPlatformMessage)
	}
	client := c.platform.client()
	defer client.Close()
	head, _, err := dfpapply.ReadHead(ctx, client)
	if err != nil {
		return c.cfg.failure(err)
	}
	for i := len(head.History) - 1; i >= 0; i-- {
		a := head.History[i]
		printApply(c.cfg, a)
		if !c.lines || i == 0 && a.Version > 1 {
			continue
		}
		var before string
		if i > 0 {
			before = head.History[i-1].TextKey()
		}
		changes, err := changesBetween(ctx, client, before, a.TextKey())
		if errors.Is(err, dfpapply.ErrNoText) {
			c.lines = false // The texts of all older versions have been deleted too.
			continue
		}
		if err != nil {
			return c.cfg.failure(err)
		}
		c.cfg.print("%s", dfprules.Format(changes))
	}
	return subcommands.ExitSuccess
}
