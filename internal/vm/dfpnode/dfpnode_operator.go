package dfpnode

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/proto/dfpoperatorpb"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproster"
	"dragonflyport/internal/zone/dfproute"
)

// metrics holds a node's counters. They are not published under expvar's global names because several nodes
// may run in one process; GET /debug/vars on the operators' listener returns those of this node.
type metrics struct {
	callers          expvar.Int
	answered         expvar.Int
	notRun           expvar.Map // By reason.
	unknown          expvar.Map // By reason.
	nested           expvar.Int
	retries          expvar.Int
	refusedEarly     expvar.Int
	guardArrived     expvar.Int
	guardRefused     expvar.Int
	guardRan         expvar.Int
	backendCrashes   expvar.Int
	platformFailures expvar.Int
	platformRestores expvar.Int
	// egressRefused counts requests that the egress rejected as invalid.
	egressRefused expvar.Int
}

// countOutcome counts the outcome of a caller's request.
func (m *metrics) countOutcome(out dfpcall.Outcome) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		m.answered.Add(1)
	case *dfpcall.NotRun:
		m.notRun.Add(string(out.Reason), 1)
	case *dfpcall.Unknown:
		m.unknown.Add(string(out.Reason), 1)
	}
}

// vars returns the metrics as one expvar map.
func (n *Node) vars() *expvar.Map {
	m := &n.metrics
	vars := new(expvar.Map)
	for name, v := range map[string]expvar.Var{
		"callers_requests":   &m.callers,
		"answered":           &m.answered,
		"not_run":            &m.notRun,
		"unknown":            &m.unknown,
		"nested_calls":       &m.nested,
		"retries":            &m.retries,
		"refused_early":      &m.refusedEarly,
		"backend_crashes":    &m.backendCrashes,
		"guard_arrived":      &m.guardArrived,
		"guard_refused":      &m.guardRefused,
		"guard_ran":          &m.guardRan,
		"platform_failures":  &m.platformFailures,
		"platform_restores":  &m.platformRestores,
		"egress_refused":     &m.egressRefused,
		"link":               expvar.Func(func() any { return n.mesh.Stats() }),
		"rules_version":      expvar.Func(func() any { return n.config.version() }),
		"bad_requests":       expvar.Func(func() any { return n.callers.Counters.BadRequests.Load() }),
		"slow_bodies":        expvar.Func(func() any { return n.callers.Counters.SlowBodies.Load() }),
		"keys_exposed":       expvar.Func(func() any { return n.callers.Counters.KeysExposed.Load() }),
		"server_errors":      &n.serverLog.errors,
		"callers_in_process": expvar.Func(func() any { return n.entry.inProgress.Load() }),
	} {
		vars.Set(name, v)
	}
	vars.Set("connections", n.connectionVars())
	return vars
}

// connectionVars returns the connection counters of each listener.
func (n *Node) connectionVars() *expvar.Map {
	vars := new(expvar.Map)
	for _, side := range []struct {
		name string
		open *connections
	}{{"link", &n.open.link}, {"callers", &n.open.callers}, {"egress", &n.open.egress}, {"operator", &n.open.operator}} {
		counts := new(expvar.Map)
		counts.Set("open", expvar.Func(func() any { return side.open.count() }))
		counts.Set("evicted", &side.open.evicted)
		counts.Set("refused", &side.open.refused)
		vars.Set(side.name, counts)
	}
	return vars
}

// State is a snapshot of a node for operators. It contains no secrets.
type State struct {
	VM           dfpvm.VM            `json:"vm"`
	Stopping     bool                `json:"stopping"`
	RulesVersion uint64              `json:"rules_version"`
	Backend      Announcement        `json:"backend_server"`
	Guard        dfpguard.State      `json:"guard"`
	Load         dfpcall.Load        `json:"load"`
	Roster       []dfproster.Member  `json:"roster"`
	Peers        []dfppeer.PeerState `json:"peers"`
	Routing      []dfproute.VMState  `json:"routing"`
	Rates        any                 `json:"rates,omitempty"`
	Claims       any                 `json:"claims,omitempty"`
	Metrics      json.RawMessage     `json:"metrics"`
}

// State returns a snapshot of the node.
func (n *Node) State() State {
	state := State{
		Stopping:     n.stopping.Load(),
		RulesVersion: n.config.version(),
		Load:         n.guard.load(),
		Peers:        n.mesh.State(),
		Routing:      n.router.State(time.Now()),
		Metrics:      json.RawMessage(n.vars().String()),
	}
	n.roster.mu.Lock()
	state.VM, state.Roster = n.roster.roster.Self(), n.roster.roster.Members()
	n.roster.mu.Unlock()
	state.Backend, state.Guard = n.guard.state()
	state.Rates = n.rates.dump()
	state.Claims = n.claims.state()
	return state
}

// operatorService implements the operators' connect-go service.
type operatorService struct{ n *Node }

// State returns a snapshot of the node as JSON.
func (s operatorService) State(context.Context, *connect.Request[dfpoperatorpb.StateRequest]) (*connect.Response[dfpoperatorpb.StateResponse], error) {
	dump, err := json.Marshal(s.n.State())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&dfpoperatorpb.StateResponse{StateJson: dump}), nil
}

// Drain drains the backend server of this VM.
func (s operatorService) Drain(context.Context, *connect.Request[dfpoperatorpb.DrainRequest]) (*connect.Response[dfpoperatorpb.DrainResponse], error) {
	s.n.Drain()
	return connect.NewResponse(&dfpoperatorpb.DrainResponse{}), nil
}

func (n *Node) newOperatorServer() *http.Server {
	mux := http.NewServeMux()
	path, handler := dfpoperatorpb.NewOperatorServiceHandler(operatorService{n})
	mux.Handle(path, handler)
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(n.vars().String()))
	})
	return newLocalServer(http.MaxBytesHandler(mux, maxEgressBody))
}
