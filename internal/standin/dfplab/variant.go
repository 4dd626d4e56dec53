package dfplab

import (
	"fmt"
	"math"
	"slices"

	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/vm/dfpnode"
	"dragonflyport/internal/zone/dfproute"
)

// variant is one way of running the nodes.
type variant struct {
	name string
	node dfpnode.Config
	// removeBad stops the VMs of the faulty backend servers before the load starts.
	removeBad bool
	// ignoreCancellation makes the backend servers continue to run requests whose caller has disconnected or
	// whose deadline has passed.
	ignoreCancellation bool
}

// The variants' names.
const (
	variantDragonflyport = "dragonflyport"
	// variantNoControl has no guard and no rates and routes at random.
	variantNoControl = "no_control"
	// variantFIFO has a guard with a fixed limit and routes at random.
	variantFIFO = "fixed_limit_fifo"
	// variantBadRemoved is dragonflyport with the faulty backend servers removed by hand.
	variantBadRemoved = "taken_out_by_hand"
)

// selectVariants returns the variants to run. The error wraps ErrConfig if one of cfg.Variants is unknown.
func selectVariants(cfg Config) ([]variant, error) {
	randomRouting := dfproute.Config{NoEjection: true, NoEarlyRefusal: true, RandomOnly: true}
	all := []variant{
		{name: variantDragonflyport, node: dfpnode.Config{GuardRamp: -1}},
		{name: variantNoControl, node: dfpnode.Config{GuardMode: dfpguard.ModeOff, NoRates: true, Route: randomRouting, GuardRamp: -1}, ignoreCancellation: true},
		{name: variantFIFO, node: dfpnode.Config{GuardMode: dfpguard.ModeFixed, Route: randomRouting, GuardRamp: -1}},
	}
	if cfg.Scenario == ScenarioMislead {
		all = append(all, variant{name: variantBadRemoved, node: dfpnode.Config{GuardRamp: -1}, removeBad: true})
	}
	if len(cfg.Variants) == 0 {
		return all, nil
	}
	var chosen []variant
	for _, name := range cfg.Variants {
		i := slices.IndexFunc(all, func(v variant) bool { return v.name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: unknown variant %q", ErrConfig, name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

const (
	// bindingRateFactor is the ratio of an organisation's rate to what it offers before a fault, where the
	// rate is meant to take effect; looseRateFactor is the ratio where it is not.
	bindingRateFactor = 1.25
	looseRateFactor   = 6
	// burstSeconds is the ratio of an organisation's burst to its rate.
	burstSeconds = 2
)

// rateFactor returns the ratio of an organisation's rate to what it offers before the fault.
func rateFactor(s Scenario) float64 {
	if s == ScenarioNoisy {
		return bindingRateFactor
	}
	return looseRateFactor
}

// limit returns an organisation's rate and burst.
func (s *deploymentSpec) limit(o organisation, scale, rateFactor float64) dfpaudit.Limit {
	rate := s.perSecond(scale) * o.fraction * rateFactor
	return dfpaudit.Limit{Organisation: o.name, Rate: rate, Burst: math.Round(burstSeconds * rate)}
}
