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

// fullRetryAfter is when a caller should come back to an entry whose places
// are all taken.
const fullRetryAfter = time.Second

// entryState counts the callers' requests in progress, so that one organisation's
// flood at one VM leaves room for the others.
type entryState struct {
	max           int64
	inProgress    atomic.Int64
	organisations sync.Map // name string -> *atomic.Int64
}

func (e *entryState) init(n *Node) { e.max = int64(n.cfg.MaxRequests) }

// enter takes a place for an organisation's request. The returned function
// frees it; it is nil if there is no place.
func (e *entryState) enter(organisation string, share float64) func() {
	counted, ok := e.organisations.Load(organisation)
	if !ok {
		counted, _ = e.organisations.LoadOrStore(organisation, new(atomic.Int64))
	}
	own := counted.(*atomic.Int64)
	leave := func() {
		own.Add(-1)
		e.inProgress.Add(-1)
	}
	all, mine := e.inProgress.Add(1), own.Add(1)
	if all > e.max || float64(mine) > share*float64(e.max) {
		leave()
		return nil
	}
	return leave
}

// AdmitCaller takes a place for a caller's request before its body is read, so that
// an organisation's slow or large bodies count against its share of the places. It returns what frees
// the place, or a refusal.
func (n *Node) AdmitCaller(in *dfpcaller.Incoming) (leave func(), refusal dfpcall.Outcome) {
	t, notRun := n.targetOf(in)
	if notRun == nil {
		if service, ok := t.rules.Service(t.route.Service); ok {
			in.MaxBody = min(service.MaxBody, dfppeer.MaxFrameBytes)
		}
		if leave := n.entry.enter(t.organisation, callersShare(t.rules, t.organisation)); leave != nil {
			return leave, nil
		}
		notRun = &dfpcall.NotRun{Reason: dfpcall.ReasonEntryFull, RetryAfter: fullRetryAfter}
	}
	n.metrics.callers.Add(1)
	n.metrics.countOutcome(notRun)
	return nil, notRun
}

// ServeCaller runs a caller's request that has a place. Each way out before dispatch is a truthful
// NotRun.
func (n *Node) ServeCaller(ctx context.Context, in *dfpcaller.Incoming) dfpcall.Outcome {
	n.metrics.callers.Add(1)
	started := time.Now()
	var served dfpcall.Request
	out := n.serveRoute(ctx, in, &served)
	n.metrics.countOutcome(out)
	n.account(in, &served, out, time.Since(started))
	return out
}

// target is what the rules say of a caller's request.
type target struct {
	rules *dfprules.Ruleset
	route *dfprules.Route
	// organisation is empty on an open route without a valid key.
	organisation string
}

func (n *Node) targetOf(in *dfpcaller.Incoming) (target, *dfpcall.NotRun) {
	rules := n.config.rules()
	if rules == nil {
		return target{}, &dfpcall.NotRun{Reason: dfpcall.ReasonNoRules, RetryAfter: time.Second}
	}
	route, found := rules.FindRoute(in.Method, in.Host, in.Path)
	if !found {
		return target{}, n.lacks(dfpcall.ReasonNoRoute)
	}
	if route.WhenStale == dfprules.Refuse && n.config.stale() {
		return target{}, &dfpcall.NotRun{Reason: dfpcall.ReasonConfigurationStale, RetryAfter: time.Second}
	}
	organisation, refusal := organisationOf(rules, route, in.Key)
	if refusal != nil {
		return target{}, n.lacks(refusal.Reason)
	}
	return target{rules, route, organisation}, nil
}

// lacks refuses a request for a route or key that the rules in force do not have. Unless they are
// known to be the newest, a newer version may have it: then the caller may come back.
func (n *Node) lacks(reason dfpcall.Reason) *dfpcall.NotRun {
	if age, known := n.config.age(); known && age < n.cfg.NotFoundStaleAfter {
		return &dfpcall.NotRun{Reason: reason}
	}
	return &dfpcall.NotRun{Reason: dfpcall.ReasonConfigurationStale, RetryAfter: time.Second}
}

// serveRoute runs a request whose body has been read. What the rules say is looked up
// again, since the key may have been withdrawn meanwhile.
// The request that it makes of it is left in served.
func (n *Node) serveRoute(ctx context.Context, in *dfpcaller.Incoming, served *dfpcall.Request) dfpcall.Outcome {
	t, refusal := n.targetOf(in)
	if refusal != nil {
		return refusal
	}
	if service, ok := t.rules.Service(t.route.Service); ok && int64(len(in.Body)) > service.MaxBody {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(t.route, in))
	defer cancel()
	*served = *n.newRootRequest(t, in)
	req := served
	if t.route.Open && n.cfg.OpenRoutesAreNested {
		out := n.dispatch(ctx, req)
		n.nested.learn(time.Now(), out)
		return out
	}
	return n.serveWithinPolicy(req, t.route.ID(), in.IdempotencyKey, func() dfpcall.Outcome {
		return n.serveWithinRate(ctx, req, in.IdempotencyKey)
	})
}

// serveWithinRate takes a token of the organisation's rate for the request, and
// gives it back if the request did not run.
func (n *Node) serveWithinRate(ctx context.Context, req *dfpcall.Request, idempotencyKey string) dfpcall.Outcome {
	giveBack, refusal := n.rates.take(ctx, req.Organisation)
	if refusal != nil {
		return refusal
	}
	out := n.claims.once(ctx, req, idempotencyKey, func(ctx context.Context) dfpcall.Outcome {
		return n.dispatch(ctx, req)
	})
	if _, ok := out.(*dfpcall.NotRun); ok {
		giveBack()
	}
	return out
}

// organisationOf returns whom a request runs for. On a route open to all a
// request without a valid key runs for no organisation.
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

// openShare is the part of an entry's places for requests of no organisation.
const openShare = 0.5

func callersShare(rules *dfprules.Ruleset, organisation string) float64 {
	if found, ok := rules.Organisation(organisation); ok {
		return found.CallersShare
	}
	return openShare
}

func timeoutOf(route *dfprules.Route, in *dfpcaller.Incoming) time.Duration {
	if in.Timeout > 0 {
		return min(in.Timeout, route.Deadline)
	}
	return route.Deadline
}

func (n *Node) newRootRequest(t target, in *dfpcaller.Incoming) *dfpcall.Request {
	root := n.newID()
	name := t.route.ServiceAt(spreadPoint(root.Counter))
	cohort := dfpcall.CohortOf(root)
	if n.policy.cameBack(t.route.ID(), in.Timeout) {
		cohort = 0 // The last of its importance to be refused: it was refused before.
	}
	importance, cohort := t.rules.Rank(t.route, t.organisation, cohort)
	budget := 0
	if service, ok := t.rules.Service(name); ok {
		budget = service.Retries
	}
	return &dfpcall.Request{
		Root:          root,
		Organisation:  t.organisation,
		Importance:    importance,
		Cohort:        cohort,
		Service:       name,
		Idempotent:    t.route.Idempotent,
		Budget:        budget,
		MaxAttempts:   t.route.Attempts,
		Objective:     t.route.Objective,
		CallerID:      in.CallerID,
		CallerService: n.cfg.CallerService,
		Host:          in.Host,
		Method:        in.Method,
		Path:          in.PathAndQuery,
		Header:        in.Header,
		Body:          in.Body,
	}
}

// spreadPoint maps successive numbers evenly onto [0, 1): multiples of the golden ratio modulo
// 1 leave no gap that chance would (Knuth, The Art of Computer Programming, volume 3, 6.4).
func spreadPoint(i uint64) float64 {
	const golden = 0.6180339887498949
	_, part := math.Modf(float64(i%(1<<32)) * golden)
	return part
}
