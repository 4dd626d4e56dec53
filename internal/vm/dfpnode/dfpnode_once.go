package dfpnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/vm/dfpvm"
)

const (
	claimsTickInterval = 50 * time.Millisecond
	// claimsHandoverTimeout limits how long a graceful shutdown waits until other nodes have taken over
	// this node's slots of claims.
	claimsHandoverTimeout = 4 * time.Second
)

// onceMessage is the message that the claims of two nodes exchange.
type onceMessage struct {
	Claim *dfponce.Envelope `cbor:"claim,omitempty"`
	// Zone is the sender's zone and Version the version of that zone's slot table.
	Zone    string `cbor:"zone"`
	Version uint64 `cbor:"version,omitempty"`
	// Pull requests the slot table of the receiver's zone; Table is the reply.
	Pull  bool               `cbor:"pull,omitempty"`
	Table *dfponce.SlotTable `cbor:"homes,omitempty"`
}

// claimsLoop runs this node's part of the claims of idempotency keys.
type claimsLoop struct {
	n     *Node
	zones atomic.Pointer[[]string]
	// peers holds the VMs by zone.
	peers     atomic.Pointer[map[string][]dfpvm.VM]
	slotTable slotTableLoop

	mu     sync.Mutex // Guards claims, waiting and stopped.
	claims *dfponce.ClaimManager
	// waiting holds the requests whose attempt is undecided.
	waiting map[dfpcall.RequestID]chan dfponce.Decision
	// stopped is set when this node no longer takes part in claims.
	stopped bool
}

func (l *claimsLoop) init(n *Node) {
	l.n = n
	l.peers.Store(new(map[string][]dfpvm.VM))
	l.zones.Store(new([]string))
	l.waiting = make(map[dfpcall.RequestID]chan dfponce.Decision)
	l.claims = dfponce.NewClaimManager(time.Now(), dfponce.Config{Self: l.self(), Zone: n.cfg.VM.Zone})
	l.slotTable.init(l)
}

func (l *claimsLoop) self() dfponce.Member {
	return dfponce.Member{Address: l.n.cfg.VM.Address, Incarnation: l.n.cfg.VM.Incarnation}
}

// run ticks the claims until the node ends.
func (l *claimsLoop) run() error {
	l.n.group.Go(l.slotTable.run)
	ticker := time.NewTicker(claimsTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case now := <-ticker.C:
			l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.Tick(now) })
		}
	}
}

// do makes one decision and carries out its effects. from is the peer whose message caused the decision,
// or empty.
func (l *claimsLoop) do(from string, decide func(*dfponce.ClaimManager) dfponce.Effects) {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	fx := decide(l.claims)
	sends := fx.Sends
	for _, d := range fx.Decisions {
		sends = append(sends, l.deliver(d)...)
	}
	version := l.claims.SlotTable().Version
	l.mu.Unlock()
	for _, s := range sends {
		envelope := dfponce.NewEnvelope(s.Message)
		l.n.notify(s.To, dfppeer.TopicOnce, onceMessage{Claim: &envelope, Zone: l.n.cfg.VM.Zone, Version: version})
	}
	l.slotTable.observe(from, fx)
}

// deliver passes a decision to the request that waits for it. If that request has been cancelled, deliver
// finishes the attempt as not run. l.mu must be held.
func (l *claimsLoop) deliver(d dfponce.Decision) []dfponce.Send {
	waiter := l.waiting[d.Attempt]
	delete(l.waiting, d.Attempt)
	if waiter != nil {
		waiter <- d
		return nil
	}
	if !d.Run {
		return nil
	}
	return l.claims.Finish(time.Now(), d.Attempt, &dfpcall.NotRun{Reason: dfpcall.ReasonCancelled}).Sends
}

// runOnce runs a request at most once per idempotency key. Idempotent requests and requests without a key
// need no claim and run immediately.
func (l *claimsLoop) runOnce(ctx context.Context, req *dfpcall.Request, key string, run func(context.Context) dfpcall.Outcome) dfpcall.Outcome {
	if req.Idempotent || key == "" || l.n.cfg.NoClaims {
		return run(ctx)
	}
	claimRequest := l.newClaimRequest(req, key)
	decision, outcome := l.claim(ctx, claimRequest)
	if outcome != nil {
		return withBudget(outcome, req.Budget)
	}
	if !decision.Run {
		return withBudget(decision.Outcome, req.Budget)
	}
	out := run(ctx)
	l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.Finish(time.Now(), claimRequest.Attempt, out) })
	return out
}

func (l *claimsLoop) newClaimRequest(req *dfpcall.Request, key string) dfponce.ClaimRequest {
	scope := req.Organisation
	if req.Depth > 0 {
		// A backend server may pass its caller's key on, so each service has its own claims.
		scope += "\x00" + req.Service
	}
	zones := *l.zones.Load()
	zone := dfponce.HomeZone(scope, key, zones)
	if zone == "" {
		zone = l.n.cfg.VM.Zone
	}
	return dfponce.ClaimRequest{
		Organisation: scope, Key: key, Zone: zone, Contact: l.contact(zone), Attempt: l.n.newID(),
		Fingerprint: dfponce.Fingerprint(req.Method, req.Path, req.Body),
	}
}

// contact returns the address of a random VM of a zone, or "" if none is known.
func (l *claimsLoop) contact(zone string) string {
	vms := (*l.peers.Load())[zone]
	if len(vms) == 0 {
		return ""
	}
	return vms[l.n.requestRand().IntN(len(vms))].Address
}

// claim starts an attempt and waits for its decision. The outcome is not nil if ctx ends first or the
// claims have stopped.
func (l *claimsLoop) claim(ctx context.Context, claimRequest dfponce.ClaimRequest) (dfponce.Decision, dfpcall.Outcome) {
	decided := make(chan dfponce.Decision, 1)
	l.mu.Lock()
	stopped := l.stopped
	l.waiting[claimRequest.Attempt] = decided
	l.mu.Unlock()
	if stopped {
		return dfponce.Decision{}, &dfpcall.NotRun{Reason: dfpcall.ReasonDraining}
	}
	l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.Begin(time.Now(), claimRequest) })
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.waiting, claimRequest.Attempt)
	l.mu.Unlock()
	select {
	case d := <-decided: // Decided before the request was withdrawn.
		return d, nil
	default:
		return dfponce.Decision{}, &dfpcall.NotRun{Reason: dfpcall.EndReason(ctx)}
	}
}

// stop hands this node's claims over to other nodes. It returns when that is done or ctx ends. Afterwards
// this node does not vote any more.
func (l *claimsLoop) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimsHandoverTimeout)
	defer cancel()
	l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.Stop(time.Now()) })
	for l.needed() && l.slotTable.canHandOver() && ctx.Err() == nil {
		l.slotTable.plan()
		select {
		case <-ctx.Done():
		case <-time.After(claimsTickInterval):
		}
	}
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
}

// ready reports whether the zone's slot table is known.
func (l *claimsLoop) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims.SlotTable().Version > 0
}

func (l *claimsLoop) needed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims.Needed()
}

func (l *claimsLoop) setPeers(vms []dfpvm.VM) {
	byZone := make(map[string][]dfpvm.VM)
	for _, vm := range vms {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	l.peers.Store(&byZone)
}

func (l *claimsLoop) setRules(rules *dfprules.Ruleset) {
	var zones []string
	for _, z := range rules.Zones {
		zones = append(zones, z.Name)
	}
	l.zones.Store(&zones)
}

// handle handles a peer's message.
func (l *claimsLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	m, err := dfppeer.Decode[onceMessage](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	if m.Table != nil {
		l.slotTable.adopt(*m.Table)
	}
	if m.Claim != nil {
		message, err := m.Claim.Message()
		if err != nil {
			return dfppeer.Control{}, err
		}
		l.do(from, func(c *dfponce.ClaimManager) dfponce.Effects { return c.Handle(time.Now(), from, message) })
	}
	if m.Zone == l.n.cfg.VM.Zone {
		l.slotTable.observe(from, dfponce.Effects{NewerVersion: m.Version})
	}
	if !m.Pull {
		return dfppeer.Control{Topic: msg.Topic}, nil
	}
	table := l.slotTable.current()
	return dfppeer.Encode(msg.Topic, onceMessage{Table: &table})
}

// claimsState is the claims' part of a node's State.
type claimsState struct {
	dfponce.Status
	Waiting int `json:"waiting"`
}

func (l *claimsLoop) state() claimsState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return claimsState{Status: l.claims.Status(), Waiting: len(l.waiting)}
}

// withBudget returns a copy of an outcome with the given remaining retry budget. It copies because a
// recorded outcome may be returned to several repeats at once.
func withBudget(out dfpcall.Outcome, remaining int) dfpcall.Outcome {
	switch out := out.(type) {
	case *dfpcall.Answer:
		answer := *out
		answer.Budget = remaining
		return &answer
	case *dfpcall.NotRun:
		refusal := *out
		refusal.Budget = remaining
		return &refusal
	case *dfpcall.Unknown:
		unknown := *out
		unknown.Budget = remaining
		return &unknown
	default:
		panic("dfpnode: claim ended without an outcome")
	}
}
