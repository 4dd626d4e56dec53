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
	// removeBad says that the bad backend servers are taken out by hand.
	removeBad bool
	// ignoreCancellation says that the backend servers aren't told, or don't heed,
	// that a caller has gone or a deadline has passed.
	ignoreCancellation bool
}

// The variants' names.
const (
	variantDragonflyport = "dragonflyport"
	variantNoControl     = "no_control"
	variantFIFO          = "fixed_limit_fifo"
	variantBadRemoved    = "taken_out_by_hand"
)

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
			return nil, fmt.Errorf("%w: no variant %q", ErrConfig, name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

const (
	// bindingRateFactor is an organisation's rate against what it offers where the rate
	// is meant to bind, freeRate where it is not.
	bindingRateFactor = 1.25
	looseRateFactor   = 6
	// burstSeconds is an organisation's burst against its rate.
	burstSeconds = 2
)

func rateFactor(s Scenario) float64 {
	if s == ScenarioNoisy {
		return bindingRateFactor
	}
	return looseRateFactor
}

// limit returns what an organisation may send.
func (s *deploymentSpec) limit(o organisation, scale, rateFactor float64) dfpaudit.Limit {
	rate := s.perSecond(scale) * o.fraction * rateFactor
	return dfpaudit.Limit{Organisation: o.name, Rate: rate, Burst: math.Round(burstSeconds * rate)}
}
