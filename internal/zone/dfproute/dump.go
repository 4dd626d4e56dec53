package dfproute

import (
	"cmp"
	"slices"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// VMState is the router's state of one VM, for dumps.
type VMState struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Load is the last load reported, with queued calls counted as in flight. LoadAgeMs is its
	// age in milliseconds; -1 if none was reported.
	Load        dfpcall.Load `json:"load"`
	LoadAgeMs   int64        `json:"load_age_ms"`
	Outstanding int64        `json:"outstanding"`
	// LatencyMs is the moving average of the duration of successful calls, in milliseconds.
	LatencyMs float64 `json:"latency_ms"`
	// FailureRate is the moving average of the fraction of calls that failed.
	FailureRate float64 `json:"failed_part"`
	// NextTrialMs is the time until the next trial call to an ejected VM, in
	// milliseconds; 0 for a VM in service.
	NextTrialMs int64 `json:"set_aside_ms"`
}

// State returns the state of every VM that the router has sent calls to or has a load of,
// sorted by service and address. Its time grows with the fleet, so it is not for the request path.
func (r *Router) State(now time.Time) []VMState {
	var states []VMState
	for address, e := range r.snapshot.Load().byAddress {
		if e.state.load.Load() != 0 || e.state.calls.Load() != 0 || e.state.outstanding.Load() != 0 {
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
		FailureRate: loadFloat(&s.failureRate),
	}
	if word := s.load.Load(); word != 0 {
		l := unpackLoad(word)
		d.Load = l.load
		d.Load.InFlight, d.Load.Limit = int(l.inFlight), int(l.limit)
		d.LoadAgeMs = (now.UnixNano() - s.loadAt.Load()) / int64(time.Millisecond)
	}
	if until := s.ejectedUntil.Load(); until != 0 {
		d.NextTrialMs = max(1, (until-now.UnixNano())/int64(time.Millisecond))
	}
	return d
}
