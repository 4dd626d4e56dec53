package dfproute

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpvm"
)

// Router chooses backend servers. See the package comment.
type Router struct {
	cfg         Config
	snapshot    atomic.Pointer[snapshot]
	crossRegion byteBudget
	// mu serializes SetVMs; nothing else takes it.
	mu sync.Mutex
}

// snapshot is an immutable index of the fleet.
type snapshot struct {
	services  map[string]*service
	byAddress map[string]*entry
	// nodes is the number of VMs that have not left.
	nodes int
}

// service lists the VMs of one service that take new work, by tier.
type service struct {
	tiers [3][]*entry
	stats *serviceStats
}

// entry is a VM in a snapshot.
type entry struct {
	vm      dfpvm.VM
	state   *vmState
	service *serviceStats
}

// The tiers of a service: VMs of the node's own zone, of the rest of its region, and of other regions.
const (
	tierZone = iota
	tierRegion
	tierCrossRegion
)

// maxDraws is the number of VMs examined in one tier before the next tier is tried. With
// half of the VMs ejected, all draws miss once in 65536 times.
const maxDraws = 16

// New returns a router without VMs.
func New(cfg Config) *Router {
	if cfg.CrossRegionBytesPerSecond == 0 {
		cfg.CrossRegionBytesPerSecond = DefaultCrossRegionBytesPerSecond
	}
	r := &Router{cfg: cfg}
	r.snapshot.Store(&snapshot{})
	r.crossRegion.setRate(cfg.CrossRegionBytesPerSecond)
	return r
}

// SetVMs replaces the fleet. Drained is the set of VMs, by node address, that the rules
// drain. The state of a VM is kept while its incarnation and service stay the same.
func (r *Router) SetVMs(vms []dfpvm.VM, drained map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.snapshot.Load()
	next := &snapshot{services: make(map[string]*service), byAddress: make(map[string]*entry, len(vms))}
	regionNodes := 0
	for _, vm := range vms {
		if !vm.Left {
			next.nodes++
		}
		if vm.Region == r.cfg.Region && !vm.Left {
			regionNodes++
		}
		if vm.Service != "" && !vm.Left {
			r.addVM(next, old, vm, drained[vm.Address])
		}
	}
	next.updateCounts()
	if r.cfg.CrossRegionBytesPerSecond > 0 {
		r.crossRegion.setRate(r.cfg.CrossRegionBytesPerSecond / float64(max(regionNodes, 1)))
	}
	r.snapshot.Store(next)
}

// Nodes returns the number of VMs that have not left.
func (r *Router) Nodes() int { return r.snapshot.Load().nodes }

// addVM adds a VM to the next snapshot, with its state from the old one.
func (r *Router) addVM(next, old *snapshot, vm dfpvm.VM, drained bool) {
	s, ok := next.services[vm.Service]
	if !ok {
		s = &service{stats: &serviceStats{}}
		if prev, ok := old.services[vm.Service]; ok {
			s.stats = prev.stats
		}
		next.services[vm.Service] = s
	}
	e := &entry{vm: vm, state: &vmState{}, service: s.stats}
	if prev, ok := old.byAddress[vm.Address]; ok && prev.vm.Incarnation == vm.Incarnation && prev.vm.Service == vm.Service {
		e.state = prev.state
	}
	next.byAddress[vm.Address] = e
	if drained || vm.Draining {
		return
	}
	tier := r.tier(vm)
	s.tiers[tier] = append(s.tiers[tier], e)
}

func (r *Router) tier(vm dfpvm.VM) int {
	switch {
	case vm.Zone == r.cfg.Zone:
		return tierZone
	case vm.Region == r.cfg.Region:
		return tierRegion
	default:
		return tierCrossRegion
	}
}

// updateCounts updates each service's numbers of VMs and of ejected VMs.
func (s *snapshot) updateCounts() {
	for _, svc := range s.services {
		n, ejected := int64(0), int64(0)
		for _, tier := range svc.tiers {
			n += int64(len(tier))
			for _, e := range tier {
				if e.state.ejectedUntil.Load() != 0 {
					ejected++
				}
			}
		}
		svc.stats.vms.Store(n)
		svc.stats.ejected.Store(ejected)
	}
}

// Choose picks the VM for a call, or refuses the call. A refusal for overload means
// that VMs were drawn but recently reported that they do not admit such a call, or that the
// byte budget for other regions is used up.
func (r *Router) Choose(now time.Time, rnd *rand.Rand, q Query) Choice {
	s, ok := r.snapshot.Load().services[q.Service]
	if !ok {
		return &Refusal{Reason: dfpcall.ReasonNoBackendServer, RetryAfter: jitter(rnd, noServerRetryAfter)}
	}
	local, tier := r.drawRegion(now, rnd, s, &q)
	refusing, level, limited := local.refusing, local.level, local.limited
	if r.mayCrossRegion(local) {
		if d := r.drawTier(now, rnd, s, tierCrossRegion, &q); d.best != nil && d.score < local.score && (local.best == nil || d.score < roomScore) {
			if reserved, ok := r.crossRegion.reserve(now, q.Importance, s.stats.expectedBytes()); ok {
				return r.target(now, s, d, tierCrossRegion, reserved, q.Class)
			}
			refusing = true
		} else {
			refusing, level, limited = refusing || d.refusing, min(level, d.level), min(limited, d.limited)
		}
	}
	if local.best != nil {
		return r.target(now, s, local, tier, 0, q.Class)
	}
	if refusing {
		return &Refusal{Reason: dfpcall.ReasonOverload, RetryAfter: jitter(rnd, overloadRetryAfter), Level: level % dfpcall.MaxLevel}
	}
	if limited < dfpcall.MaxLevel {
		return &Refusal{Reason: dfpcall.ReasonServerLimit, RetryAfter: jitter(rnd, overloadRetryAfter), Level: limited}
	}
	return &Refusal{Reason: dfpcall.ReasonNoBackendServer, RetryAfter: jitter(rnd, noServerRetryAfter)}
}

// drawRegion draws from the node's own zone, and from the rest of its region if the zone has no VM for the
// call or, with SpillWhenFull, is full. It returns the better draw and its tier.
func (r *Router) drawRegion(now time.Time, rnd *rand.Rand, s *service, q *Query) (drawResult, int) {
	zone := r.drawTier(now, rnd, s, tierZone, q)
	if zone.best != nil && (!r.cfg.SpillWhenFull || zone.score < fullScore || zone.trial) {
		return zone, tierZone
	}
	region := r.drawTier(now, rnd, s, tierRegion, q)
	if region.best != nil && region.score < zone.score {
		return region, tierRegion
	}
	zone.refusing, zone.level = zone.refusing || region.refusing, min(zone.level, region.level)
	zone.limited = min(zone.limited, region.limited)
	return zone, tierZone
}

// mayCrossRegion reports whether a call may go to another region, given the draw from the node's own region.
func (r *Router) mayCrossRegion(local drawResult) bool {
	if local.best == nil {
		return !local.refusing || !r.cfg.StayInRegion
	}
	return r.cfg.StayInRegion && local.score >= queueScore && !local.trial
}

// Scores are calls in progress, the next one included, divided by the VM's limit.
const (
	// fullScore is the score from which on a zone counts as full: one more call would queue.
	fullScore = 1
	// queueScore is the score from which on a call may go to another region: it would queue here for a third
	// of a service time, which is longer than the round trip to another region.
	queueScore = 1.3
	// roomScore is the score below which a VM in another region has room for such a call.
	roomScore = 0.85
)

const (
	// noServerRetryAfter and overloadRetryAfter are the means of RetryAfter.
	noServerRetryAfter = time.Second
	overloadRetryAfter = time.Second
)

// jitter returns a random duration between half and one and a half of mean.
func jitter(rnd *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rnd.Int64N(int64(mean)))
}

// drawResult is the result of drawing VMs from a tier.
type drawResult struct {
	best  *entry
	trial bool
	// score is the load score of best; 0 for a trial, infinite if best is nil.
	score float64
	// refusing reports that a VM was skipped because it does not admit the call. Level is the
	// lowest admission level of the VMs skipped for that.
	refusing bool
	level    dfpcall.Level
	// limited is the lowest admission level of the VMs skipped for a rate that their backend servers name; MaxLevel
	// if there are none. Unlike an overload, a limit says nothing about the others, so calls may go to other tiers
	// as if such a VM were not there.
	limited dfpcall.Level
}

// drawTier draws up to two VMs that admit the call from a tier, or one that is due for a trial call.
func (r *Router) drawTier(now time.Time, rnd *rand.Rand, s *service, tier int, q *Query) drawResult {
	d := drawResult{level: dfpcall.MaxLevel, limited: dfpcall.MaxLevel, score: math.Inf(1)}
	entries := s.tiers[tier]
	class := s.stats.class(q.Class)
	n := len(entries)
	if n == 0 {
		return d
	}
	found := 0
	order := newDrawOrder(rnd, n)
	for i := range min(n, maxDraws) {
		e := entries[order.at(rnd, i)]
		if slices.Contains(q.Exclude, e.vm.Address) {
			continue
		}
		usable, trial := r.usable(now, rnd, e)
		if !usable {
			continue
		}
		if trial {
			return drawResult{best: e, trial: true, level: dfpcall.MaxLevel, limited: dfpcall.MaxLevel}
		}
		if level, limited := e.state.limited(now, class, q.Importance, q.Cohort); limited {
			d.limited = min(d.limited, level)
			continue
		}
		if level, refuses := e.state.refuses(now, class, q.Importance, q.Cohort); refuses && !r.cfg.NoEarlyRefusal {
			d.refusing, d.level = true, min(d.level, level)
			continue
		}
		score := e.state.score(now, e.vm.Slots)
		if score < d.score {
			d.best, d.score = e, score
		}
		if found++; found == 2 || r.cfg.RandomOnly {
			break
		}
	}
	return d
}

// drawOrder is a random order in which n VMs are drawn: each once if n is at most maxDraws, else
// independent draws.
type drawOrder struct{ n, first, step int }

func newDrawOrder(rnd *rand.Rand, n int) drawOrder {
	o := drawOrder{n: n, first: rnd.IntN(n), step: 1}
	if n > 2 && n <= maxDraws {
		o.step = 1 + rnd.IntN(n-1)
		for coprime := false; !coprime; coprime = gcd(o.step, n) == 1 {
			o.step = 1 + o.step%(n-1)
		}
	}
	return o
}

func (o drawOrder) at(rnd *rand.Rand, i int) int {
	if o.n > maxDraws {
		return rnd.IntN(o.n)
	}
	return (o.first + i*o.step) % o.n
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// usable reports whether a VM may be chosen, and whether the call would be its trial after
// an ejection. It ejects a VM that hangs.
func (r *Router) usable(now time.Time, rnd *rand.Rand, e *entry) (usable, trial bool) {
	if r.cfg.NoEjection {
		return true, false
	}
	s := e.state
	if l, ok := s.freshLoad(now); ok && l.load.Draining {
		return false, false
	}
	until := s.ejectedUntil.Load()
	if until == 0 && s.hangs(now) {
		if s.eject(now, rnd, e.service) {
			r.notifyChange(now, e.vm, s, e.service, false)
		}
		until = s.ejectedUntil.Load()
	}
	if until == 0 {
		return true, false
	}
	if now.UnixNano() < until {
		return false, false
	}
	trial = s.trialInFlight.CompareAndSwap(0, 1)
	return trial, trial
}

func (r *Router) target(now time.Time, s *service, d drawResult, tier int, reserved int64, className string) *Target {
	e := d.best
	class := s.stats.class(className)
	e.state.callStarted(now, class)
	return &Target{
		VM: e.vm, CrossRegion: tier == tierCrossRegion,
		service: s.stats, class: class, state: e.state, trial: d.trial, reservedBytes: reserved,
	}
}

// Independent reports whether calls of a class to a service are known not to depend on nested calls.
func (r *Router) Independent(service, class string) bool {
	s, ok := r.snapshot.Load().services[service]
	return ok && s.stats.class(class).independent.Load()
}

// Observe records a load that the guard of the VM at address reported.
func (r *Router) Observe(now time.Time, address string, load dfpcall.Load) {
	e, ok := r.snapshot.Load().byAddress[address]
	if !ok {
		return
	}
	if load.Notice == nil || !load.Notice.Limited {
		e.state.limitedUntil.Store(0)
	}
	e.state.load.Store(packLoad(load))
	e.state.outstandingAtLoad.Store(e.state.outstanding.Load())
	e.state.loadAt.Store(now.UnixNano())
}

// Report records how the call to a target ended.
func (r *Router) Report(now time.Time, rnd *rand.Rand, t *Target, result Result) {
	s := t.state
	s.callEnded(now, !result.TimedOut)
	if result.Dependence != dfpcall.DependenceUnknown {
		t.class.independent.Store(result.Dependence == dfpcall.Independent)
	}
	if result.LimitedFor > 0 {
		s.limitedUntil.Store(now.Add(min(result.LimitedFor, MaxLimitedTime)).UnixNano())
	}
	if result.Bytes > 0 {
		updateMean(&t.service.bytes, float64(result.Bytes), serviceWeight)
	}
	if t.CrossRegion {
		r.crossRegion.settle(int64(result.Bytes) - t.reservedBytes)
	}
	if t.trial {
		r.reportTrial(now, rnd, t, result)
		return
	}
	if result.Inconclusive || result.TimedOut || s.ejectedUntil.Load() != 0 {
		return
	}
	s.record(t.service, t.class, result)
	if !r.cfg.NoEjection && s.isOutlier() && s.eject(now, rnd, t.service) {
		r.notifyChange(now, t.VM, s, t.service, false)
	}
}

// notifyChange calls OnEjectionChange.
func (r *Router) notifyChange(now time.Time, vm dfpvm.VM, s *vmState, stats *serviceStats, restored bool) {
	if r.cfg.OnEjectionChange == nil {
		return
	}
	change := EjectionChange{
		At: now, VM: vm, Restored: restored, FailureRate: loadFloat(&s.failureRate),
		Latency: seconds(loadFloat(&s.latency)), ServiceLatency: seconds(loadFloat(&stats.latency)),
	}
	if until := s.ejectedUntil.Load(); until != 0 {
		change.NextTrial = time.Unix(0, until)
	}
	r.cfg.OnEjectionChange(change)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// record adds a finished call to the moving averages of the VM, its service and the call's class.
func (s *vmState) record(stats *serviceStats, class *classStats, result Result) {
	if s.calls.Add(1) == recoveredCalls {
		s.ejectionCount.Store(0)
	}
	failed := 1.0
	if result.Failed {
		s.consecutiveFailures.Add(1)
	} else {
		failed = 0
		s.consecutiveFailures.Store(0)
		took := result.Took.Seconds()
		if expected := class.expected(); expected > 0 {
			s.slowness.add(took/expected, vmWeight)
		}
		class.latency.add(took, serviceWeight)
		updateMean(&s.latency, took, vmWeight)
		updateMean(&stats.latency, result.Took.Seconds(), serviceWeight)
	}
	rate := loadFloat(&s.failureRate)
	storeFloat(&s.failureRate, rate+vmWeight*(failed-rate))
}

// reportTrial records how a trial call ended. A call that failed, timed out or was slow extends the
// ejection; any other outcome restores the VM.
func (r *Router) reportTrial(now time.Time, rnd *rand.Rand, t *Target, result Result) {
	slow := result.Took.Seconds() > max(minSlowSeconds, slowFactor*t.class.latency.of(1))
	if result.Failed || result.TimedOut || slow && !result.Inconclusive {
		t.state.ejectedUntil.Store(t.state.nextTrial(now, rnd))
	} else {
		t.state.restore(t.service)
		r.notifyChange(now, t.VM, t.state, t.service, true)
	}
	t.state.trialInFlight.Store(0)
}
