package dfpcommand

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/operator/dfpapply"
)

// readFile reads and parses a rules file.
func readFile(name string) ([]byte, *dfprules.Ruleset, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, err
	}
	set, err := dfprules.Parse(name, text)
	return text, set, err
}

type checkCommand struct{ cfg Config }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "report every fault of a rules file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `rules check FILE

Prints every fault as FILE:LINE:COLUMN: what is wrong, and what to write instead. It
applies nothing. Exit status: 0 without fault, 1 with faults, 2 for wrong usage.

Example:
  dragonflyport rules check shop.rules
`
}

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, ok := positional(flags, 1)
	if !ok {
		return c.cfg.usageError("rules check FILE")
	}
	_, set, err := readFile(args[0])
	if err != nil {
		c.cfg.print("%v\n", err)
		return subcommands.ExitFailure
	}
	c.cfg.print("%s: %d rules, no fault\n", args[0], len(set.Rules()))
	return subcommands.ExitSuccess
}

type applyCommand struct {
	cfg         Config
	platform    platformFlag
	baseVersion int64
	by          string
	timeout     time.Duration
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put a rules file in force" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `rules apply FILE --platform URL --seen VERSION --by NAME

Puts the file in force in place of VERSION, on which the file is based: the version that
"rules show" prints, or 0 if there are no rules yet. It prints one of:
  accepted  the rules are in force within seconds on every node that can be reached
  refused   nothing has changed; if another change came first, its lines are shown
  unknown   the platform's answer was lost and could not be obtained again in time
Exit status: 0 accepted, 1 refused or unknown, 2 for wrong usage.

Example:
  dragonflyport rules apply shop.rules --platform http://10.0.0.9:7000 --seen 7 --by Petra
`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(flags *flag.FlagSet) {
	c.platform.register(flags)
	flags.Int64Var(&c.baseVersion, "seen", -1, "version that the file is based on; 0 if there are no rules yet")
	flags.StringVar(&c.by, "by", "", "your name, up to 64 bytes")
	flags.DurationVar(&c.timeout, "timeout", 30*time.Second, "maximum time to try")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, ok := positional(flags, 1)
	switch {
	case !ok:
		return c.cfg.usageError("rules apply FILE --platform URL --seen VERSION --by NAME")
	case c.platform.url == "":
		return c.cfg.usageError(noPlatformMessage)
	case c.baseVersion < 0:
		return c.cfg.usageError("--seen must be the version that `dragonflyport rules show` prints, or 0 if there are no rules yet")
	case c.by == "" || len(c.by) > dfpconfig.MaxByBytes:
		return c.cfg.usageError("--by must be your name, in at most %d bytes", dfpconfig.MaxByBytes)
	case c.timeout <= 0:
		return c.cfg.usageError("--timeout must be above 0")
	}
	text, _, err := readFile(args[0])
	if err != nil {
		return c.cfg.failure(fmt.Errorf("refused: the file has faults:\n%w", err))
	}
	client := c.platform.client()
	defer client.Close()
	apply := dfpconfig.ApplyConfig{
		BaseVersion: uint64(c.baseVersion), Text: text, ApplyID: rand.Text(), By: c.by, At: time.Now(), Timeout: c.timeout,
	}
	return c.report(ctx, client, apply, dfpapply.Run(ctx, client, apply))
}

func (c *applyCommand) report(ctx context.Context, store dfpapply.Store, apply dfpconfig.ApplyConfig, r dfpconfig.Result) subcommands.ExitStatus {
	switch r.Outcome {
	case dfpconfig.Accepted:
		c.cfg.print("accepted: version %d\n", r.Version)
		return subcommands.ExitSuccess
	case dfpconfig.Refused:
		c.cfg.print("refused: %s\n", r.Reason)
		if r.Current != nil && r.Current.Version > apply.BaseVersion {
			c.showChangesSince(ctx, store, apply.BaseVersion, r.Current)
		}
	default:
		c.cfg.print("unknown: %s\nThe apply id is %s: `dragonflyport rules log` shows it if the rules were accepted.\n", r.Reason, apply.ApplyID)
	}
	return subcommands.ExitFailure
}

// showChangesSince prints the changes that others have applied since the version base.
func (c *applyCommand) showChangesSince(ctx context.Context, store dfpapply.Store, base uint64, current *dfpconfig.Head) {
	var baseKey string
	for _, a := range current.History {
		if a.Version == base {
			baseKey = a.TextKey()
		}
		if a.Version > base {
			printApply(c.cfg, a)
		}
	}
	changes, err := changesBetween(ctx, store, baseKey, current.TextKey())
	if err != nil {
		c.cfg.note("cannot show the changed lines: %v", err)
		return
	}
	c.cfg.print("%s", dfprules.Format(changes))
	c.cfg.note("Merge these lines into your file and apply it with --seen %d.", current.Version)
}

// changesBetween returns the changes between the rules texts under two keys of the platform. An empty key
// means that there are no rules.
func changesBetween(ctx context.Context, store dfpapply.Store, before, after string) ([]dfprules.Change, error) {
	var sets [2]*dfprules.Ruleset
	for i, key := range []string{before, after} {
		if key == "" {
			continue
		}
		text, err := dfpapply.ReadText(ctx, store, key)
		if err != nil {
			return nil, err
		}
		if sets[i], err = dfprules.Parse(key, text); err != nil {
			return nil, err
		}
	}
	return dfprules.Diff(sets[0], sets[1]), nil
}

func printApply(cfg Config, a dfpconfig.Apply) {
	cfg.print("version %d  %s  %s  %s\n", a.Version, time.Unix(a.At, 0).UTC().Format(time.RFC3339), a.ApplyID, a.By)
}
