package dfpnode

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/link/dfppeer"
)

// Retry delays that a caller gets from the entry.
const (
	// entryFullRetryAfter is for requests beyond the entry's limit.
	entryFullRetryAfter = time.Second
	// stoppingRetryAfter is for requests that a stopping node refuses. Other nodes take them now.
	stoppingRetryAfter = 100 * time.Millisecond
)

// entryLimiter limits the callers' requests in progress, in total and per organisation, so that one
// organisation's flood at one VM does not exclude the others.
type entryLimiter struct {
	max           int64
	inProgress    atomic.Int64
	organisations sync.Map // name string -> *atomic.Int64
}

func (e *entryLimiter) init(n *Node) { e.max = int64(n.cfg.MaxRequests) }

// acquire counts a request of an organisation that may use at most the fraction share of the limit. It
// returns a function that releases the request, or nil if a limit is reached.
func (e *entryLimiter) acquire(organisation string, share float64) func() {
	loaded, ok := e.organisations.Load(organisation)
	if !ok {
		loaded, _ = e.organisations.LoadOrStore(organisation, new(atomic.Int64))
	}
	own := loaded.(*atomic.Int64)
	release := func() {
		own.Add(-1)
		e.inProgress.Add(-1)
	}
	total, ownTotal := e.inProgress.Add(1), own.Add(1)
	if total > e.max || float64(ownTotal) > share*float64(e.max) {
		release()
		return nil
	}
	return release
}

// AdmitCaller counts a caller's request against the entry's limits before its body is read, so that slow
// or large bodies count against their organisation's share. It returns either a function that
// releases the request or a refusal.
func (n *Node) AdmitCaller(in *dfpcaller.Incoming) (release func(), refusal dfpcall.Outcome) {
	match, notRun := n.matchRoute(in)
	if notRun == nil {
		if service, ok := match.rules.Service(match.route.Service); ok {
			in.MaxBody = min(service.MaxBody, dfppeer.MaxFrameBytes)
		}
		if release := n.entry.acquire(match.organisation, callersShare(match.rules, match.organisation)); release != nil {
			return release, nil
		}
		notRun = &dfpcall.NotRun{Reason: dfpcall.ReasonEntryFull, RetryAfter: entryFullRetryAfter}
	}
	n.metrics.callers.Add(1)
	n.metrics.countOutcome(notRun)
	return nil, notRun
}

// ServeCaller runs a caller's request that AdmitCaller admitted. A request that ends before dispatch ends with
// a NotRun, or with the recorded outcome of an earlier request that had the same idempotency key.
func (n *Node) ServeCaller(ctx context.Context, in *dfpcaller.Incoming) dfpcall.Outcome {
	n.metrics.callers.Add(1)
	started := time.Now()
	var served dfpcall.Request
	out := n.serveRoute(ctx, in, &served)
	n.metrics.countOutcome(out)
	n.recordOutcome(in, &served, out, time.Since(started))
	return out
}

// routeMatch holds the rules that apply to a caller's request.
type routeMatch struct {
	rules *dfprules.Ruleset
	route *dfprules.Route
	// organisation is empty for a request without a valid key on an open route.
	organisation string
}

func (n *Node) matchRoute(in *dfpcaller.Incoming) (routeMatch, *dfpcall.NotRun) {
	rules := n.config.rules()
	if rules == nil {
		return routeMatch{}, &dfpcall.NotRun{Reason: dfpcall.ReasonNoRules, RetryAfter: time.Second}
	}
	route, found := rules.FindRoute(in.Method, in.Host, in.Path)
	if !found {
		return routeMatch{}, n.refuseNotFound(dfpcall.ReasonNoRoute)
	}
	if route.WhenStale == dfprules.Refuse && n.config.stale() {
		return routeMatch{}, &dfpcall.NotRun{Reason: dfpcall.ReasonConfigurationStale, RetryAfter: time.Second}
	}
	organisation, refusal := organisationOf(rules, route, in.Key)
	if refusal != nil {
		return routeMatch{}, n.refuseNotFound(refusal.Reason)
	}
	return routeMatch{rules, route, organisation}, nil
}

// refuseNotFound refuses a request whose route or key is not in the rules in force. Unless the rules were
// recently known to be the newest, a newer version may contain it, so the caller is told to retry.
func (n *Node) refuseNotFound(reason dfpcall.Reason) *dfpcall.NotRun {
	if age, known := n.config.age(); known && age < n.cfg.NotFoundStaleAfter {
		return &dfpcall.NotRun{Reason: reason}
	}
	return &dfpcall.NotRun{Reason: dfpcall.ReasonConfigurationStale, RetryAfter: time.Second}
}

// serveRoute runs a request whose body has been read. It matches the rules again, since the key may have
// been withdrawn meanwhile. It stores the request that it builds in served.
func (n *Node) serveRoute(ctx context.Context, in *dfpcaller.Incoming, served *dfpcall.Request) dfpcall.Outcome {
	match, refusal := n.matchRoute(in)
	if refusal != nil {
		return refusal
	}
	if service, ok := match.rules.Service(match.route.Service); ok && int64(len(in.Body)) > service.MaxBody {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	timeout := timeoutOf(match.route, in)
	if n.outlastsShutdown(timeout) {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonDraining, RetryAfter: stoppingRetryAfter}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	*served = *n.newRootRequest(match, in)
	req := served
	if match.route.Open && n.cfg.OpenRoutesAreNested {
		nested := in.Timeout == 0 || n.parents.mayHaveMade(time.Now().Add(in.Timeout))
		out := n.dispatch(ctx, req)
		if nested {
			n.nested.observe(time.Now(), out, n.levelMet(req, out))
		}
		return out
	}
	return n.serveWithinPolicy(req, match.route.ID(), in.IdempotencyKey, func() dfpcall.Outcome {
		return n.serveWithinRate(ctx, req, in.IdempotencyKey)
	})
}

// outlastsShutdown reports whether a request that begins now, when the close notice of a shutdown has ended, could still
// run when the shutdown cuts requests. Requests that begin during the notice are served.
func (n *Node) outlastsShutdown(timeout time.Duration) bool {
	cutAt := n.cutAt.Load()
	return cutAt != nil && time.Until(*cutAt) < timeout
}

// serveWithinRate takes a token of the organisation's rate for the request and returns it if the request
// did not run.
func (n *Node) serveWithinRate(ctx context.Context, req *dfpcall.Request, idempotencyKey string) dfpcall.Outcome {
	returnToken, refusal := n.rates.take(ctx, req.Organisation)
	if refusal != nil {
		return refusal
	}
	out := n.claims.runOnce(ctx, req, idempotencyKey, func(ctx context.Context) dfpcall.Outcome {
		return n.dispatch(ctx, req)
	})
	if _, ok := out.(*dfpcall.NotRun); ok {
		returnToken()
	}
	return out
}

// organisationOf returns the organisation of a request. It is empty for a request without a valid key on
// an open route.
func organisationOf(rules *dfprules.Ruleset, route *dfprules.Route, key string) (string, *dfpcall.NotRun) {
	if key != "" {
		if organisation, ok := rules.OrganisationOf(dfpkey.Hash(key)); ok {
			return organisation, nil
		}
	}
	switch {
	case route.Open:
		return "", nil
	case key == "":
		return "", &dfpcall.NotRun{Reason: dfpcall.ReasonNoKey}
	default:
		return "", &dfpcall.NotRun{Reason: dfpcall.ReasonKeyUnknown}
	}
}

// openRouteShare is the fraction of the entry's request limit for requests without an organisation.
const openRouteShare = 0.5

func callersShare(rules *dfprules.Ruleset, organisation string) float64 {
	if found, ok := rules.Organisation(organisation); ok {
		return found.CallersShare
	}
	return openRouteShare
}

func timeoutOf(route *dfprules.Route, in *dfpcaller.Incoming) time.Duration {
	if in.Timeout > 0 {
		return min(in.Timeout, route.Deadline)
	}
	return route.Deadline
}

func (n *Node) newRootRequest(match routeMatch, in *dfpcaller.Incoming) *dfpcall.Request {
	root := n.newID()
	name := match.route.ServiceAt(spreadPoint(root.Counter))
	cohort := dfpcall.CohortOf(root)
	if n.policy.isRepeat(match.route.ID(), in.Timeout) {
		cohort = 0 // Within an importance, cohort 0 is refused last. This request was refused before.
	}
	importance, cohort := match.rules.Rank(match.route, match.organisation, cohort)
	budget := 0
	if service, ok := match.rules.Service(name); ok {
		budget = service.Retries
	}
	return &dfpcall.Request{
		Root:          root,
		Organisation:  match.organisation,
		Importance:    importance,
		Cohort:        cohort,
		Service:       name,
		Idempotent:    match.route.Idempotent,
		Budget:        budget,
		MaxAttempts:   match.route.Attempts,
		Objective:     match.route.Objective,
		Class:         match.route.ID(),
		CallerID:      in.CallerID,
		CallerService: n.cfg.CallerService,
		Host:          in.Host,
		Method:        in.Method,
		Path:          in.PathAndQuery,
		Header:        in.Header,
		Body:          in.Body,
	}
}

// spreadPoint maps consecutive numbers evenly onto [0, 1). Multiples of the golden ratio modulo 1 leave
// no large gaps, unlike random numbers (Knuth, The Art of Computer Programming, volume 3, 6.4).
func spreadPoint(i uint64) float64 {
	const golden = 0.6180339887498949
	_, part := math.Modf(float64(i%(1<<32)) * golden)
	return part
}
