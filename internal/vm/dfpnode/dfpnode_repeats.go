package dfpnode

import (
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpretry"
)

// fleetBudgets holds this node's retry budget for each service.
type fleetBudgets struct {
	cfg dfpretry.FleetBudgetConfig

	mu       sync.Mutex
	services map[string]*dfpretry.FleetBudget
}

// newFleetBudgets returns nil, which sets no limit, if cfg is nil.
func newFleetBudgets(cfg *dfpretry.FleetBudgetConfig) *fleetBudgets {
	if cfg == nil {
		return nil
	}
	return &fleetBudgets{cfg: *cfg, services: map[string]*dfpretry.FleetBudget{}}
}

func (f *fleetBudgets) count(service string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Count(time.Now())
}

func (f *fleetBudgets) take(service string, nodes int) bool {
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Take(time.Now(), nodes)
}

// budget returns a service's retry budget. f.mu must be held.
func (f *fleetBudgets) budget(service string) *dfpretry.FleetBudget {
	b := f.services[service]
	if b == nil {
		b = dfpretry.NewFleetBudget(f.cfg)
		f.services[service] = b
	}
	return b
}
