package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/standin/dfpload"
)

// loadCommand sends requests as callers do.
type loadCommand struct {
	targets, organisations, routes stringList
	duration, timeout, pause       time.Duration
	retries                        int
	honour                         bool
	seed                           uint64
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send callers' requests to entry nodes" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load --target URL --organisation NAME:KEY:RATE --route \"METHOD PATH IMPORTANCE idempotent|once WEIGHT\" [flags]\n\nSends requests at random times that don't depend on the answers, and prints one\nJSON object with how they ended.\n\nExample:\n  dragonflyport-lab load --target http://127.0.0.1:9001 --organisation waldspiel:KEY:50 \\\n    --route \"GET /catalogue/1 low idempotent 1\" --duration 5s\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.Var(&c.targets, "target", "base URL of an entry node; may be repeated")
	flags.Var(&c.organisations, "organisation", "NAME:KEY:RATE, with the rate in requests a second; may be repeated")
	flags.Var(&c.routes, "route", "\"METHOD PATH IMPORTANCE idempotent|once WEIGHT\"; may be repeated")
	flags.DurationVar(&c.duration, "duration", 5*time.Second, "time for which requests are sent")
	flags.DurationVar(&c.timeout, "timeout", dfpload.DefaultTimeout, "time limit of each attempt")
	flags.IntVar(&c.retries, "retries", 0, "repeats of a request that was not answered with success")
	flags.DurationVar(&c.pause, "pause", 50*time.Millisecond, "mean pause before a repeat")
	flags.BoolVar(&c.honour, "honour-retry-after", true, "wait for Retry-After before a repeat")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of the times and choices")
}

// Errors of invalid flags.
var (
	errOrganisation = errors.New("--organisation must be NAME:KEY:RATE")
	errRoute        = errors.New("--route must be \"METHOD PATH IMPORTANCE idempotent|once WEIGHT\"")
)

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.config()
	if err != nil {
		return usageError(err)
	}
	result, err := dfpload.New(cfg).Run(ctx)
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(json.NewEncoder(os.Stdout).Encode(result))
}

// config converts the flags to a configuration of dfpload.
func (c *loadCommand) config() (dfpload.Config, error) {
	if len(c.targets) == 0 || len(c.organisations) == 0 || len(c.routes) == 0 {
		return dfpload.Config{}, errors.New("--target, --organisation and --route are required")
	}
	cfg := dfpload.Config{Duration: c.duration, Timeout: c.timeout, Seed: c.seed}
	var routes []dfpload.Route
	for _, text := range c.routes {
		route, err := parseRoute(text)
		if err != nil {
			return dfpload.Config{}, err
		}
		routes = append(routes, route)
	}
	for _, text := range c.organisations {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return dfpload.Config{}, errOrganisation // The error does not quote the text, which contains a key.
		}
		rate, err := strconv.ParseFloat(parts[2], 64)
		if err != nil || !(rate > 0) {
			return dfpload.Config{}, fmt.Errorf("%w: the rate must be above 0, not %q", errOrganisation, parts[2])
		}
		cfg.Organisations = append(cfg.Organisations, dfpload.Organisation{
			Name:    parts[0],
			Key:     parts[1],
			Rate:    rate,
			Routes:  routes,
			Targets: c.targets,
			Retry:   dfpload.Retry{MaxRetries: c.retries, Backoff: c.pause, HonourRetryAfter: c.honour},
		})
	}
	return cfg, nil
}

// parseRoute parses the value of a --route flag.
func parseRoute(text string) (dfpload.Route, error) {
	words := strings.Fields(text)
	if len(words) != 5 || (words[3] != "idempotent" && words[3] != "once") {
		return dfpload.Route{}, fmt.Errorf("%w, not %q", errRoute, text)
	}
	importance, err := dfpcall.ParseImportance(words[2])
	if err != nil {
		return dfpload.Route{}, fmt.Errorf("%w: %w", errRoute, err)
	}
	weight, err := strconv.ParseFloat(words[4], 64)
	if err != nil || !(weight > 0) {
		return dfpload.Route{}, fmt.Errorf("%w: the weight must be above 0, not %q", errRoute, words[4])
	}
	return dfpload.Route{Method: words[0], Path: words[1], Importance: importance, Idempotent: words[3] == "idempotent", Weight: weight}, nil
}
