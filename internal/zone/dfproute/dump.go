package dfproute

import (
	"cmp"
	"slices"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// VMState is what the router knows of one VM, for dumps.
type VMState struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Load is the last one reported, with queued counted as in flight, and LoadAgeMs its
	// age in milliseconds; -1 if none was.
	Load        dfpcall.Load `json:"load"`
	LoadAgeMs   int64        `json:"load_age_ms"`
	Outstanding int64        `json:"outstanding"`
	// LatencyMs is the mean time of successful calls, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// FailureRate is the moving part of failed calls.
	FailureRate float64 `json:"failed_part"`
	// NextTrialMs is the time until the next trial of a VM that is set aside, in
	// milliseconds, or 0 while it is in service.
	NextTrialMs int64 `json:"set_aside_ms"`
}

// State returns what the router knows of the VMs that it has sent calls to or heard of,
// by service and address. It takes time with the size of the fleet and is not for the request path.
func (r *Router) State(now time.Time) []VMState {
	var states []VMState
	for address, e := range r.snapshot.Load().byAddress {
		if e.state.load.Load() != 0 || e.state.seen.Load() != 0 || e.state.outstanding.Load() != 0 {
			states = append(states, e.dump(now, address))
		}
	}
	slices.SortFunc(states, func(a, b VMState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return states
}

func (e *entry) dump(now time.Time, address string) VMState {
	s := e.state
	d := VMState{
		Address: address, Service: e.vm.Service, LoadAgeMs: -1,
		Outstanding: s.outstanding.Load(),
		LatencyMs:   1000 * loadFloat(&s.latency),
		FailureRate: loadFloat(&s.failures),
	}
	if word := s.load.Load(); word != 0 {
		l := unpackLoad(word)
		d.Load = l.load
		d.Load.InFlight, d.Load.Limit = int(l.busy), int(l.limit)
		d.LoadAgeMs = (now.UnixNano() - s.loadAt.Load()) / int64(time.Millisecond)
	}
	if until := s.asideUntil.Load(); until != 0 {
		d.NextTrialMs = max(1, (until-now.UnixNano())/int64(time.Millisecond))
	}
	return d
}
