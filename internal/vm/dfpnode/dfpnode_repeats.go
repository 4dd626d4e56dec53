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

func (r *fleetBudgets) count(service string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Count(time.Now())
}

func (r *fleetBudgets) take(service string, nodes int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Take(time.Now(), nodes)
}

// budget returns a service's retry budget. r.mu must be held.
func (r *fleetBudgets) budget(service string) *dfpretry.FleetBudget {
	b := r.services[service]
	if b == nil {
		b = dfpretry.NewFleetBudget(r.cfg)
		r.services[service] = b
	}
	return b
}
