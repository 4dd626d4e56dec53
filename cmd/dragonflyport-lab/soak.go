package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpsoak"
	"dragonflyport/platform/dfpfake"
)

// soakCommand runs node processes under random faults and checks the promises against what callers and
// backend servers observed.
type soakCommand struct {
	cfg        dfpsoak.Config
	seeds      int
	concurrent int
	json       bool
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "run real processes under random faults and check the promises"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return `soak [flags]: run real node processes on loopback, cause random faults from outside them and check
their promises against what callers and backend servers saw. It must be run inside the module, since it builds the
programs, and ends only what it started.

Exit status: 0 if all promises held, 1 if one was broken or a run failed, 2 for wrong usage.

Example:
  dragonflyport-lab soak --seed 1 --seeds 50 --concurrent 3 --duration 30s
`
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.cfg.Seed, "seed", 0, "first seed of the faults and of the load; 0 takes the current time")
	flags.IntVar(&c.seeds, "seeds", 1, "number of seeds to run, counting up from --seed")
	flags.IntVar(&c.concurrent, "concurrent", 1, "seeds to run at once")
	flags.DurationVar(&c.cfg.Duration, "duration", dfpsoak.DefaultDuration, "time for which each seed sends requests")
	flags.IntVar(&c.cfg.Nodes, "processes", dfpsoak.DefaultNodes, "node processes of each seed")
	flags.BoolVar(&c.json, "json", false, "print a JSON object for each seed on standard output")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 || c.seeds < 1 || c.concurrent < 1 || c.cfg.Nodes < 4 || c.cfg.Duration < 10*time.Second {
		return usageError(fmt.Errorf("soak takes no arguments and needs --seeds and --concurrent of at least 1, --processes of at least 4, --duration of at least 10s; got arguments %q", flags.Args()))
	}
	if c.cfg.Seed == 0 {
		c.cfg.Seed = uint64(time.Now().UnixNano())
	}
	c.cfg.Protocol = dfpfake.Protocol{}
	reports := make([]*dfpsoak.Report, c.seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.concurrent)
	for i := range reports {
		group.Go(func() (err error) {
			cfg := c.cfg
			cfg.Seed += uint64(i)
			if c.seeds == 1 {
				cfg.Progress = os.Stderr
			}
			reports[i], err = dfpsoak.RunSeed(ctx, cfg)
			if err != nil {
				return fmt.Errorf("seed %d: %w", cfg.Seed, err)
			}
			return c.print(reports[i])
		})
	}
	if err := group.Wait(); err != nil {
		return exitStatus(err)
	}
	if slices.ContainsFunc(reports, func(r *dfpsoak.Report) bool { return len(r.Broken) > 0 }) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// print prints the report of one seed.
func (c *soakCommand) print(r *dfpsoak.Report) error {
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d: %d faults, %d runs, calls %v, %d broken\n", r.Seed, len(r.Faults), r.Runs, r.CallsByVerdict, len(r.Broken))
	for _, broken := range r.Broken {
		fmt.Printf("seed %d: broken: %s\n", r.Seed, broken)
	}
	return nil
}
