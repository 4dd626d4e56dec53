package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"dragonflyport/internal/standin/dfplab"
	"dragonflyport/internal/standin/dfpratelab"
)

// measureCommand runs a scenario and prints its figures.
type measureCommand struct {
	cfg      dfplab.Config
	variants string
	json     bool
}

// Name implements subcommands.Command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCommand) Synopsis() string { return "measure a scenario and compare it with baselines" }

// Usage implements subcommands.Command.
func (*measureCommand) Usage() string {
	return "measure SCENARIO [flags]\n\nScenarios: " + scenarioNames() + ".\nEach variant runs for about 18 s. Exits with 1 if dragonflyport broke a promise.\n\nExample:\n  dragonflyport-lab measure surge --deployment schatzspur --seed 1 --json --plots plots\n"
}

// scenarioNames returns the names of all scenarios, separated by commas.
func scenarioNames() string {
	names := []string{faultsScenario, ratesScenario}
	for _, s := range dfplab.Scenarios {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.cfg.Deployment, "deployment", "schatzspur", "schatzspur or horvat")
	flags.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of the load and of the stand-ins")
	flags.Float64Var(&c.cfg.Scale, "scale", dfplab.DefaultScale, "factor for the slots, connections and rates of the deployment")
	flags.DurationVar(&c.cfg.Before, "before", dfplab.DefaultBefore, "duration of the phase before the fault")
	flags.DurationVar(&c.cfg.Fault, "fault", dfplab.DefaultFault, "duration of the fault")
	flags.DurationVar(&c.cfg.After, "after", dfplab.DefaultAfter, "duration of the phase after the fault")
	flags.StringVar(&c.variants, "variants", "", "variants to run, separated by commas; empty for all")
	flags.StringVar(&c.cfg.PlotDir, "plots", "", "folder for a plot of goodput over time")
	flags.BoolVar(&c.json, "json", false, "print one JSON object on standard output")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		return usageError(errors.New("a scenario is required: " + scenarioNames()))
	}
	// Flags may come before or after the scenario.
	c.cfg.Scenario = dfplab.Scenario(flags.Arg(0))
	if err := flags.Parse(flags.Args()[1:]); err != nil || flags.NArg() > 0 {
		return subcommands.ExitUsageError
	}
	switch c.cfg.Scenario {
	case faultsScenario:
		return c.measureFaults(ctx)
	case ratesScenario:
		return c.measureRates()
	}
	if c.variants != "" {
		c.cfg.Variants = strings.Split(c.variants, ",")
	}
	c.cfg.Progress = os.Stderr
	report, err := dfplab.Run(ctx, c.cfg)
	if errors.Is(err, dfplab.ErrConfig) {
		return usageError(err)
	}
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = printReport(report)
	}
	if err != nil || len(report.Variants) > 0 && len(report.Variants[0].Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	// faultsScenario runs real processes; the other scenarios do not.
	faultsScenario = "faults"
	// ratesScenario compares, in virtual time, schemes that keep organisations within their rates.
	ratesScenario = "rates"
)

// measureRates runs ratesScenario and prints its report.
func (c *measureCommand) measureRates() subcommands.ExitStatus {
	report := dfpratelab.Run(dfpratelab.Config{Seed: c.cfg.Seed})
	if c.json {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return exitStatus(err)
		}
	} else {
		fmt.Print(report)
	}
	if report.BoundExceeded {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// measureFaults runs faultsScenario and prints its report.
func (c *measureCommand) measureFaults(ctx context.Context) subcommands.ExitStatus {
	report, err := dfplab.RunFaults(ctx, dfplab.FaultsConfig{Seed: c.cfg.Seed, Progress: os.Stderr})
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = printFaults(report)
	}
	if err != nil || len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// printFaults prints the figures of the faults scenario as a table, and the broken promises.
func printFaults(report *dfplab.FaultsReport) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, figure := range report.Figures {
		fmt.Fprintf(w, "%s\t%.2f\t%s\n", figure.Name, figure.Value, figure.Unit)
	}
	for _, broken := range report.Violations {
		fmt.Fprintf(w, "broken: %s\n", broken)
	}
	if len(report.Violations) == 0 {
		fmt.Fprintln(w, "no promise was broken")
	}
	return w.Flush()
}

// printReport prints the figures as a table with a column for each variant, and the broken promises.
func printReport(report *dfplab.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "figure")
	for _, v := range report.Variants {
		fmt.Fprintf(w, "\t%s", v.Variant)
	}
	fmt.Fprintln(w, "\tunit")
	for i, figure := range report.Variants[0].Figures {
		fmt.Fprint(w, figure.Name)
		for _, v := range report.Variants {
			if i < len(v.Figures) {
				fmt.Fprintf(w, "\t%.2f", v.Figures[i].Value)
			}
		}
		fmt.Fprintf(w, "\t%s\n", figure.Unit)
	}
	for _, figure := range report.Cost {
		fmt.Fprintf(w, "%s\t%.3f\t%s\n", figure.Name, figure.Value, figure.Unit)
	}
	for _, v := range report.Variants {
		for _, broken := range v.Violations {
			fmt.Fprintf(w, "broken by %s: %s\n", v.Variant, broken)
		}
	}
	return w.Flush()
}
