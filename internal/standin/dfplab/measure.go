package dfplab

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/standin/dfpforwarder"
	"dragonflyport/internal/standin/dfpload"
)

// Callers retry aggressively, without honouring Retry-After, in ScenarioSurge and ScenarioSlow, and
// moderately in the other scenarios.
const (
	aggressiveRetries = 5
	aggressiveBackoff = 50 * time.Millisecond
	moderateRetries   = 1
	moderateBackoff   = 200 * time.Millisecond
	surgeFactor       = 3 / baselineUtilisation
	noisyFactor       = 5 * bindingRateFactor
	slowFactor        = 5
	callerTimeout     = 5 * time.Second
	// maxInFlight keeps the process within common limits on open files.
	maxInFlight = 3000
	// cutGap is the time between the end of the first cut and the start of the second. It shows the
	// recovery from the first.
	cutGap = 3 * time.Second
)

// measure runs one variant and returns its figures and violations.
func measure(ctx context.Context, cfg Config, s *deploymentSpec, v variant) (*VariantReport, error) {
	d, err := dfpdeployment.Start(s.deploymentConfig(cfg, v))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	bad := badServers(cfg, s, d)
	if v.removeBad {
		for _, vm := range bad {
			if err := vm.StopGracefully(); err != nil {
				return nil, err
			}
		}
	}
	load := dfpload.New(s.loadConfig(cfg, d))
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		s.causeFault(faultCtx, cfg, d, bad, v)
		return nil
	})
	started := time.Now()
	result, err := load.Run(ctx)
	elapsed := time.Since(started)
	cancel()
	_ = group.Wait() // causeFault returns no errors.
	if err != nil {
		return nil, err
	}
	ledgers := d.Ledgers()
	limits := make([]dfpaudit.Limit, 0, len(s.organisations))
	for _, o := range s.organisations {
		limits = append(limits, s.limit(o, cfg.Scale, rateFactor(cfg.Scenario)))
	}
	violations := dfpaudit.Check(dfpaudit.Evidence{Ledgers: ledgers, Result: result, Limits: limits, Elapsed: elapsed})
	if violations == nil {
		violations = []dfpaudit.Violation{}
	}
	f := analysis{cfg: cfg, spec: s, result: result, ledgers: ledgers, elapsed: elapsed}
	return &VariantReport{Variant: v.name, Figures: f.figures(), Rows: result.Rows, Violations: violations, result: result}, nil
}

// loadConfig returns the configuration of the callers' load.
func (s *deploymentSpec) loadConfig(cfg Config, d *dfpdeployment.Deployment) dfpload.Config {
	retry := dfpload.Retry{MaxRetries: moderateRetries, Backoff: moderateBackoff, HonourRetryAfter: true}
	if cfg.Scenario == ScenarioSurge || cfg.Scenario == ScenarioSlow {
		retry = dfpload.Retry{MaxRetries: aggressiveRetries, Backoff: aggressiveBackoff}
	}
	link := dfpforwarder.New(dfpforwarder.Conditions{Delay: s.callerDelay})
	l := dfpload.Config{
		Duration: cfg.duration(), Seed: cfg.Seed, Timeout: callerTimeout, MaxInFlight: maxInFlight, Dial: link.Dial,
		KeepOperations: true, KeepCompleted: true, Phases: s.phases(cfg),
	}
	var routes []dfpload.Route
	for _, r := range s.routes {
		routes = append(routes, dfpload.Route{Method: r.method, Path: r.path, Importance: r.importance, Idempotent: r.idempotent, Weight: r.perSecond})
	}
	for _, o := range s.organisations {
		l.Organisations = append(l.Organisations, dfpload.Organisation{
			Name: o.name, Key: o.key, Rate: s.perSecond(cfg.Scale) * o.fraction,
			Routes: routes, Retry: retry, Targets: d.CallerURLs(""),
		})
	}
	return l
}

func (s *deploymentSpec) phases(cfg Config) []dfpload.Phase {
	switch cfg.Scenario {
	case ScenarioSurge:
		return []dfpload.Phase{{From: cfg.Before, Factor: surgeFactor}, {From: cfg.Before + cfg.Fault, Factor: 1}}
	case ScenarioNoisy:
		noisy := s.organisations[0].name
		return []dfpload.Phase{
			{From: cfg.Before, Organisation: noisy, Factor: noisyFactor},
			{From: cfg.Before + cfg.Fault, Organisation: noisy, Factor: 1},
		}
	}
	return nil
}

// badServers returns the VMs whose backend servers are faulty in ScenarioMislead: one of each of the first
// three services, each in a different zone. In other scenarios there are none.
func badServers(cfg Config, s *deploymentSpec, d *dfpdeployment.Deployment) []*dfpdeployment.VM {
	if cfg.Scenario != ScenarioMislead {
		return nil
	}
	var bad []*dfpdeployment.VM
	for i := range 3 {
		for _, vm := range d.VMs {
			if vm.Zone == s.zones[i] && vm.Service == s.services[i].name {
				bad = append(bad, vm)
				break
			}
		}
	}
	return bad
}

// causeFault waits until the fault is due, causes the scenario's fault and ends it. In ScenarioSurge and
// ScenarioNoisy the load's phases are the fault.
func (s *deploymentSpec) causeFault(ctx context.Context, cfg Config, d *dfpdeployment.Deployment, bad []*dfpdeployment.VM, v variant) {
	if !wait(ctx, cfg.Before) {
		return
	}
	switch cfg.Scenario {
	case ScenarioSlow:
		setFault(s.deepServers(d), dfpbackendserver.Fault{SlowFactor: slowFactor})
		wait(ctx, cfg.Fault)
		setFault(s.deepServers(d), dfpbackendserver.Fault{})
	case ScenarioMislead:
		if v.removeBad {
			return
		}
		bad[0].Backend.SetFault(dfpbackendserver.Fault{FailFast: true, FalseHealth: true})
		bad[1].Backend.SetFault(dfpbackendserver.Fault{Hang: true, FalseHealth: true})
		bad[2].Backend.SetFault(dfpbackendserver.Fault{SlowFactor: slowFactor, FalseHealth: true})
		wait(ctx, cfg.Fault)
		setFault(bad, dfpbackendserver.Fault{})
	case ScenarioCut:
		s.cut(ctx, cfg, d)
	}
}

// cut disconnects a zone, reconnects it, waits for cutGap and then disconnects the region without the
// platform's store. Both cuts last equally long; together with the gap they fill cfg.Fault.
func (s *deploymentSpec) cut(ctx context.Context, cfg Config, d *dfpdeployment.Deployment) {
	half := (cfg.Fault - cutGap) / 2
	zone, region := s.zones[1].Name, s.zones[len(s.zones)-1].Region
	d.CutZone(zone, true)
	wait(ctx, half)
	d.CutZone(zone, false)
	wait(ctx, cutGap)
	d.CutRegion(region, true)
	wait(ctx, half)
	d.CutRegion(region, false)
}

func (s *deploymentSpec) deepServers(d *dfpdeployment.Deployment) []*dfpdeployment.VM {
	var deep []*dfpdeployment.VM
	for _, vm := range d.VMs {
		if vm.Service == s.deep {
			deep = append(deep, vm)
		}
	}
	return deep
}

func setFault(vms []*dfpdeployment.VM, fault dfpbackendserver.Fault) {
	for _, vm := range vms {
		vm.Backend.SetFault(fault)
	}
}

// wait waits for d. It reports false if ctx was done first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
