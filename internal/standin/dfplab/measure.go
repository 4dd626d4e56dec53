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

const (
	hardRetries   = 5
	hardPause     = 50 * time.Millisecond
	softRetries   = 1
	softPause     = 200 * time.Millisecond
	surgeFactor   = 3 / usual
	noisyFactor   = 5 * boundRate
	slowFactor    = 5
	callerTimeout = 5 * time.Second
	// maxInFlight keeps the process within a usual limit of open files.
	maxInFlight = 3000
	// cutGap is how long the return after the first cut is watched.
	cutGap = 3 * time.Second
)

// measure runs one variant.
func measure(ctx context.Context, cfg Config, s *site, v variant) (*VariantReport, error) {
	d, err := dfpdeployment.Start(s.deployment(cfg, v))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	bad := badServers(cfg, s, d)
	if v.takenOut {
		for _, vm := range bad {
			if err := vm.StopGracefully(); err != nil {
				return nil, err
			}
		}
	}
	load := dfpload.New(s.load(cfg, d))
	scriptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		s.script(scriptCtx, cfg, d, bad, v)
		return nil
	})
	started := time.Now()
	result, err := load.Run(ctx)
	elapsed := time.Since(started)
	cancel()
	_ = group.Wait() // The script has no errors.
	if err != nil {
		return nil, err
	}
	accounts := d.Ledgers()
	limits := make([]dfpaudit.Limit, 0, len(s.organisations))
	for _, o := range s.organisations {
		limits = append(limits, s.limit(o, cfg.Scale, rateFactor(cfg.Scenario)))
	}
	broken := dfpaudit.Check(dfpaudit.Evidence{Ledgers: accounts, Result: result, Limits: limits, Elapsed: elapsed})
	if broken == nil {
		broken = []dfpaudit.Violation{}
	}
	f := figures{cfg: cfg, site: s, result: result, accounts: accounts, elapsed: elapsed}
	return &VariantReport{Variant: v.name, Figures: f.all(), Rows: result.Rows, Broken: broken, result: result}, nil
}

// load returns the callers' load.
func (s *site) load(cfg Config, d *dfpdeployment.Deployment) dfpload.Config {
	retry := dfpload.Retry{Count: softRetries, Pause: softPause, HonourRetryAfter: true}
	if cfg.Scenario == ScenarioSurge || cfg.Scenario == ScenarioSlow {
		retry = dfpload.Retry{Count: hardRetries, Pause: hardPause}
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
			Name: o.name, Key: o.key, Rate: s.perSecond(cfg.Scale) * o.part,
			Routes: routes, Retry: retry, Targets: d.CallerURLs(""),
		})
	}
	return l
}

func (s *site) phases(cfg Config) []dfpload.Phase {
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

// badServers returns the backend servers that misbehave: one of three services,
// each in another zone.
func badServers(cfg Config, s *site, d *dfpdeployment.Deployment) []*dfpdeployment.VM {
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

// script causes and ends the scenario's fault.
func (s *site) script(ctx context.Context, cfg Config, d *dfpdeployment.Deployment, bad []*dfpdeployment.VM, v variant) {
	if !wait(ctx, cfg.Before) {
		return
	}
	switch cfg.Scenario {
	case ScenarioSlow:
		setFault(s.deepServers(d), dfpbackendserver.Fault{SlowFactor: slowFactor})
		wait(ctx, cfg.Fault)
		setFault(s.deepServers(d), dfpbackendserver.Fault{})
	case ScenarioMislead:
		if v.takenOut {
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

// cut cuts a zone off for a part of the fault, and then the region without the store.
func (s *site) cut(ctx context.Context, cfg Config, d *dfpdeployment.Deployment) {
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

func (s *site) deepServers(d *dfpdeployment.Deployment) []*dfpdeployment.VM {
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

// wait reports false if ctx was done first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
