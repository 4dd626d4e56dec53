// Package dfplab measures the policy under load: whole deployments in one process
// over loopback, side by side with baselines under the same seeded load.
//
// A run of a scenario starts the deployment anew for each variant, sends load
// before, during and after the scenario's fault, and works the figures out from the
// load's result and the backend servers' ledgers. Slots are scaled down, so that a run
// stays under half of the machine; rates follow them.
//
// # Usage
//
//	report, err := dfplab.Run(ctx, dfplab.Config{
//		Scenario: dfplab.ScenarioSurge, Deployment: "schatzspur", Seed: 1, PlotDir: "plots",
//	})
package dfplab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpload"
	"dragonflyport/internal/vm/dfpnode"
)

// Scenario names what happens to a deployment.
type Scenario string

// The scenarios.
const (
	// ScenarioSurge offers three times what the services can do.
	ScenarioSurge Scenario = "surge"
	// ScenarioSlow makes a deep service five times slower.
	ScenarioSlow Scenario = "slow"
	// ScenarioNoisy lets one organisation send five times its rate.
	ScenarioNoisy Scenario = "noisy"
	// ScenarioMislead has three bad backend servers that claim to be idle.
	ScenarioMislead Scenario = "mislead"
	// ScenarioCut cuts off a zone and then a region.
	ScenarioCut Scenario = "cut"
	// ScenarioSteady has no fault.
	ScenarioSteady Scenario = "steady"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{ScenarioSurge, ScenarioSlow, ScenarioNoisy, ScenarioMislead, ScenarioCut, ScenarioSteady}

// ErrConfig is returned for a configuration that can't be run.
var ErrConfig = errors.New("measurement configuration")

// Defaults of Config.
const (
	DefaultScale  = 0.125
	DefaultBefore = 4 * time.Second
	DefaultFault  = 9 * time.Second
	DefaultAfter  = 5 * time.Second
)

// Config configures a run.
type Config struct {
	Scenario Scenario
	// Deployment is schatzspur or horvat.
	Deployment string
	Seed       uint64
	// Scale multiplies slots, connections and rates; 0 means DefaultScale.
	Scale float64
	// Before, Fault and After are the lengths of the three phases; 0 takes the default.
	Before, Fault, After time.Duration
	// Variants are the names of the variants to run; none means all of the scenario.
	Variants []string
	// PlotDir, if not empty, takes a PNG of goodput over time.
	PlotDir string
	// Progress takes a line at each step; nil discards them.
	Progress io.Writer
}

// Report is the result of a run.
type Report struct {
	Scenario   Scenario        `json:"scenario"`
	Deployment string          `json:"deployment"`
	Seed       uint64          `json:"seed"`
	Scale      float64         `json:"slots_scale_ratio"`
	BeforeS    float64         `json:"before_seconds"`
	FaultS     float64         `json:"fault_seconds"`
	AfterS     float64         `json:"after_seconds"`
	Variants   []VariantReport `json:"variants"`
	// Cost is what a call and an idle VM cost, for ScenarioSteady.
	Cost     []Figure `json:"cost,omitempty"`
	PlotFile string   `json:"plot_file,omitempty"`
}

// VariantReport holds the figures of one variant.
type VariantReport struct {
	Variant    string            `json:"variant"`
	Figures    []Figure          `json:"figures"`
	Rows       []dfpload.Row     `json:"rows"`
	Violations []dfpaudit.Broken `json:"broken_promises"`

	result *dfpload.Result
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

func (cfg Config) withDefaults() Config {
	if cfg.Scale == 0 {
		cfg.Scale = DefaultScale
	}
	if cfg.Before == 0 {
		cfg.Before = DefaultBefore
	}
	if cfg.Fault == 0 {
		cfg.Fault = DefaultFault
	}
	if cfg.After == 0 {
		cfg.After = DefaultAfter
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	return cfg
}

func (cfg Config) duration() time.Duration { return cfg.Before + cfg.Fault + cfg.After }

// Run measures one scenario. It returns an error that wraps ErrConfig before
// anything is started.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	s, err := newDeploymentSpec(cfg)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(Scenarios, cfg.Scenario) {
		return nil, fmt.Errorf("%w: no scenario %q", ErrConfig, cfg.Scenario)
	}
	chosen, err := selectVariants(cfg)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Scenario: cfg.Scenario, Deployment: cfg.Deployment, Seed: cfg.Seed, Scale: cfg.Scale,
		BeforeS: cfg.Before.Seconds(), FaultS: cfg.Fault.Seconds(), AfterS: cfg.After.Seconds(),
	}
	// First, so that the memory of the variants isn't counted.
	if cfg.Scenario == ScenarioSteady {
		if report.Cost, err = measureCost(ctx, cfg, s); err != nil {
			return nil, err
		}
	}
	for _, v := range chosen {
		fmt.Fprintf(cfg.Progress, "%s, %s: %s for %s\n", cfg.Deployment, cfg.Scenario, v.name, cfg.duration())
		part, err := measure(ctx, cfg, s, v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", v.name, err)
		}
		report.Variants = append(report.Variants, *part)
	}
	if cfg.PlotDir != "" {
		report.PlotFile, err = plotGoodput(cfg, report)
	}
	return report, err
}

// measureCost measures what the nodes add to a call and need without any.
func measureCost(ctx context.Context, cfg Config, s *deploymentSpec) ([]Figure, error) {
	fmt.Fprintf(cfg.Progress, "%s, %s: idle for %s, calls for %s\n", cfg.Deployment, cfg.Scenario, idleTime, overheadTime)
	idle, err := measureIdle(cfg, s, variant{node: dfpnode.Config{GuardRamp: -1}})
	if err != nil {
		return nil, err
	}
	added, err := measureOverhead(ctx, cfg, s)
	return append(idle, added...), err
}
