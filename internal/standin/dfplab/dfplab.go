// Package dfplab measures overload control in experiments: it runs whole deployments under a seeded load
// while faults occur.
//
// [Run] measures a scenario. A variant is one way to run the nodes: dragonflyport itself or a baseline
// that it is compared with. For each variant, Run starts a new deployment in this process over loopback,
// sends the same seeded load before, during and after the scenario's fault, and computes the figures from
// the load's result and the backend servers' ledgers. Slots, connections and rates are scaled down
// together, so that a run uses less than half of the machine.
//
// [RunFaults] starts real processes instead, causes a sequence of faults and checks promises: those of
// package dfpaudit, and that withdrawn keys, drains and planned stops take effect as promised.
//
// A whole request is one request of a caller together with its retries, as in package dfpload.
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

// Scenario names the overload or fault that a run causes.
type Scenario string

// The scenarios.
const (
	// ScenarioSurge offers three times the capacity of the services.
	ScenarioSurge Scenario = "surge"
	// ScenarioSlow makes the service at the end of the call chains five times slower.
	ScenarioSlow Scenario = "slow"
	// ScenarioNoisy has one organisation send five times its rate.
	ScenarioNoisy Scenario = "noisy"
	// ScenarioMislead has three faulty backend servers that report that they are healthy and idle.
	ScenarioMislead Scenario = "mislead"
	// ScenarioCut disconnects first a zone and then a region from all others.
	ScenarioCut Scenario = "cut"
	// ScenarioSteady has no fault.
	ScenarioSteady Scenario = "steady"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{ScenarioSurge, ScenarioSlow, ScenarioNoisy, ScenarioMislead, ScenarioCut, ScenarioSteady}

// ErrConfig is wrapped by the errors for configurations that can't be run.
var ErrConfig = errors.New("invalid measurement configuration")

// Defaults of Config.
const (
	DefaultScale  = 0.125
	DefaultBefore = 4 * time.Second
	DefaultFault  = 9 * time.Second
	DefaultAfter  = 5 * time.Second
)

// Config configures Run.
type Config struct {
	Scenario Scenario
	// Deployment is the name of a modelled deployment, "schatzspur" or "horvat".
	Deployment string
	Seed       uint64
	// Scale multiplies the slots, connections and rates of the deployment; 0 means DefaultScale.
	Scale float64
	// Before, Fault and After are the lengths of the three phases; 0 means the default.
	Before, Fault, After time.Duration
	// Variants are the names of the variants to run; empty means all variants of the scenario.
	Variants []string
	// PlotDir is the directory for a PNG plot of goodput over time; empty means no plot.
	PlotDir string
	// Progress receives a line at each step; nil discards the lines.
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
	// Cost holds the overhead per call and per idle VM. It is set for ScenarioSteady only.
	Cost     []Figure `json:"cost,omitempty"`
	PlotFile string   `json:"plot_file,omitempty"`
}

// VariantReport holds the figures of one variant.
type VariantReport struct {
	Variant    string               `json:"variant"`
	Figures    []Figure             `json:"figures"`
	Rows       []dfpload.Row        `json:"rows"`
	Violations []dfpaudit.Violation `json:"broken_promises"`

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

// Run measures one scenario. For an invalid cfg it returns an error that wraps ErrConfig and starts
// nothing.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	s, err := newDeploymentSpec(cfg)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(Scenarios, cfg.Scenario) {
		return nil, fmt.Errorf("%w: unknown scenario %q", ErrConfig, cfg.Scenario)
	}
	chosen, err := selectVariants(cfg)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Scenario: cfg.Scenario, Deployment: cfg.Deployment, Seed: cfg.Seed, Scale: cfg.Scale,
		BeforeS: cfg.Before.Seconds(), FaultS: cfg.Fault.Seconds(), AfterS: cfg.After.Seconds(),
	}
	// Measured first, so that the memory of the variants is not counted.
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

// measureCost measures the resources that idle nodes use and the latency that nodes add to a call.
func measureCost(ctx context.Context, cfg Config, s *deploymentSpec) ([]Figure, error) {
	fmt.Fprintf(cfg.Progress, "%s, %s: idle for %s, calls for %s\n", cfg.Deployment, cfg.Scenario, idleTime, overheadTime)
	idle, err := measureIdle(cfg, s, variant{node: dfpnode.Config{GuardRamp: -1}})
	if err != nil {
		return nil, err
	}
	added, err := measureOverhead(ctx, cfg, s)
	return append(idle, added...), err
}
