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
	cfg      Config
	snapshot atomic.Pointer[snapshot]
	cross    byteBudget
	// mu serves SetVMs alone.
	mu sync.Mutex
}

// snapshot is an immutable index of the fleet.
type snapshot struct {
	services  map[string]*service
	byAddress map[string]*entry
	// nodes is the number of VMs that have not left.
	nodes int
}

// service lists the VMs of one service that take new work, by distance: those
// of the node's own zone, of the rest of its region, and of other regions.
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

// The tiers of a service.
const (
	tierZone = iota
	tierRegion
	tierCross
)

// maxDraws is the number of VMs looked at in one tier before the next is tried. With
// half of the VMs set aside, all draws miss once in 65536 times.
const maxDraws = 16

// New returns a router that knows no VM yet.
func New(cfg Config) *Router {
	if cfg.CrossRegionBytesPerSecond == 0 {
		cfg.CrossRegionBytesPerSecond = DefaultCrossRegionBytesPerSecond
	}
	r := &Router{cfg: cfg}
	r.snapshot.Store(&snapshot{})
	r.cross.setRate(cfg.CrossRegionBytesPerSecond)
	return r
}

// SetVMs replaces the fleet. Drained names, by node address, VMs that the rules
// drain. What was learned of a VM is kept while its incarnation stays.
func (r *Router) SetVMs(vms []dfpvm.VM, drained map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.snapshot.Load()
	next := &snapshot{services: make(map[string]*service), byAddress: make(map[string]*entry, len(vms))}
	region := 0
	for _, vm := range vms {
		if !vm.Left {
			next.nodes++
		}
		if vm.Region == r.cfg.Region && !vm.Left {
			region++
		}
		if vm.Service != "" && !vm.Left {
			r.place(next, old, vm, drained[vm.Address])
		}
	}
	next.count()
	if r.cfg.CrossRegionBytesPerSecond > 0 {
		r.cross.setRate(r.cfg.CrossRegionBytesPerSecond / float64(max(region, 1)))
	}
	r.snapshot.Store(next)
}

// Nodes returns the number of VMs that have not left.
func (r *Router) Nodes() int { return r.snapshot.Load().nodes }

func (r *Router) place(next, old *snapshot, vm dfpvm.VM, drained bool) {
	s, ok := next.services[vm.Service]
	if !ok {
		s = &service{stats: &serviceStats{}}
		if was, ok := old.services[vm.Service]; ok {
			s.stats = was.stats
		}
		next.services[vm.Service] = s
	}
	e := &entry{vm: vm, state: &vmState{}, service: s.stats}
	if was, ok := old.byAddress[vm.Address]; ok && was.vm.Incarnation == vm.Incarnation && was.vm.Service == vm.Service {
		e.state = was.state
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
		return tierCross
	}
}

// count brings the services' numbers of VMs and of those set aside up to date.
func (s *snapshot) count() {
	for _, svc := range s.services {
		n, aside := int64(0), int64(0)
		for _, tier := range svc.tiers {
			n += int64(len(tier))
			for _, e := range tier {
				if e.state.asideUntil.Load() != 0 {
					aside++
				}
			}
		}
		svc.stats.vms.Store(n)
		svc.stats.aside.Store(aside)
	}
}

// Choose picks the VM for a call, or refuses it. A refusal for overload says
// that every VM drawn was lately reported as not admitting such a call.
func (r *Router) Choose(now time.Time, rnd *rand.Rand, q Query) Choice {
	s, ok := r.snapshot.Load().services[q.Service]
	if !ok {
		return &Refusal{Reason: dfpcall.ReasonNoBackendServer, RetryAfter: spread(rnd, noServerRetryAfter)}
	}
	best, tier := r.nearest(now, rnd, s, &q)
	refusing, level := best.refusing, best.level
	if r.mayCross(best) {
		if d := r.draw(now, rnd, s, tierCross, &q); d.best != nil && d.score < best.score && (best.best == nil || d.score < roomScore) {
			if reserved, ok := r.cross.reserve(now, q.Importance, s.stats.expectedBytes()); ok {
				return r.target(now, s, d, tierCross, reserved)
			}
			refusing = true
		} else {
			refusing, level = refusing || d.refusing, min(level, d.level)
		}
	}
	if best.best != nil {
		return r.target(now, s, best, tier, 0)
	}
	if refusing {
		return &Refusal{Reason: dfpcall.ReasonOverload, RetryAfter: spread(rnd, overloadRetryAfter), Level: level % dfpcall.MaxLevel}
	}
	return &Refusal{Reason: dfpcall.ReasonNoBackendServer, RetryAfter: spread(rnd, noServerRetryAfter)}
}

// nearest draws from the node's own zone, and from the rest of its region if that has nobody or is
// full.
func (r *Router) nearest(now time.Time, rnd *rand.Rand, s *service, q *Query) (drawing, int) {
	zone := r.draw(now, rnd, s, tierZone, q)
	if zone.best != nil && (!r.cfg.SpillWhenFull || zone.score < spillScore || zone.trial) {
		return zone, tierZone
	}
	region := r.draw(now, rnd, s, tierRegion, q)
	if region.best != nil && region.score < zone.score {
		return region, tierRegion
	}
	zone.refusing, zone.level = zone.refusing || region.refusing, min(zone.level, region.level)
	return zone, tierZone
}

// mayCross reports whether a call may go over the paid link, with what was drawn in the own region.
func (r *Router) mayCross(d drawing) bool {
	if d.best == nil {
		return !d.refusing || !r.cfg.StayInRegion
	}
	return r.cfg.StayInRegion && d.score >= crossScore && !d.trial
}

const (
	// spillScore is the load, as a part of the limit, from which on a zone counts as full: one more
	// call would wait. crossScore is one at which it would wait for a third of a service time, more
	// than the way to another region and back takes, and roomScore one of a VM there that has room.
	spillScore = 1
	crossScore = 1.3
	roomScore  = 0.85
)

const (
	// noServerRetryAfter and overloadRetryAfter are the means of RetryAfter.
	noServerRetryAfter = time.Second
	overloadRetryAfter = time.Second
)

// spread returns a time between half and one and a half of mean.
func spread(rnd *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rnd.Int64N(int64(mean)))
}

// drawing is the result of looking at some VMs of a tier.
type drawing struct {
	best  *entry
	trial bool
	// score is the load of best; infinite without one.
	score float64
	// refusing says that one was passed over because it admits no such call, and level is the
	// lowest level of those.
	refusing bool
	level    dfpcall.Level
}

func (r *Router) draw(now time.Time, rnd *rand.Rand, s *service, tier int, q *Query) drawing {
	d := drawing{level: dfpcall.MaxLevel, score: math.Inf(1)}
	entries := s.tiers[tier]
	n := len(entries)
	if n == 0 {
		return d
	}
	found := 0
	order := newOrder(rnd, n)
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
			return drawing{best: e, trial: true, level: dfpcall.MaxLevel}
		}
		if level, refuses := e.state.refuses(now, q.Importance, q.Cohort); refuses && !r.cfg.NoEarlyRefusal {
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

// order is a random order of looking at n VMs: each once if they are few, else
// independent draws.
type order struct{ n, first, step int }

func newOrder(rnd *rand.Rand, n int) order {
	o := order{n: n, first: rnd.IntN(n), step: 1}
	if n > 2 && n <= maxDraws {
		o.step = 1 + rnd.IntN(n-1)
		for coprime := false; !coprime; coprime = gcd(o.step, n) == 1 {
			o.step = 1 + o.step%(n-1)
		}
	}
	return o
}

func (o order) at(rnd *rand.Rand, i int) int {
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

// usable reports whether a VM may be chosen, and whether as a trial after
// it was set aside.
func (r *Router) usable(now time.Time, rnd *rand.Rand, e *entry) (usable, trial bool) {
	if r.cfg.NoEjection {
		return true, false
	}
	s := e.state
	if l, ok := s.fresh(now); ok && l.load.Draining {
		return false, false
	}
	until := s.asideUntil.Load()
	if until == 0 && s.hangs(now, e.service) {
		if s.setAside(now, rnd, e.service) {
			r.changed(now, e.vm, s, e.service, false)
		}
		until = s.asideUntil.Load()
	}
	if until == 0 {
		return true, false
	}
	if now.UnixNano() < until {
		return false, false
	}
	trial = s.probing.CompareAndSwap(0, 1)
	return trial, trial
}

func (r *Router) target(now time.Time, s *service, d drawing, tier int, reserved int64) *Target {
	e := d.best
	e.state.sent(now)
	return &Target{
		VM: e.vm, CrossRegion: tier == tierCross,
		service: s.stats, state: e.state, trial: d.trial, cross: reserved,
	}
}

// Observe takes in a load that the guard at address reported.
func (r *Router) Observe(now time.Time, address string, load dfpcall.Load) {
	e, ok := r.snapshot.Load().byAddress[address]
	if !ok {
		return
	}
	e.state.load.Store(packLoad(load))
	e.state.outstandingAtLoad.Store(e.state.outstanding.Load())
	e.state.loadAt.Store(now.UnixNano())
}

// Report takes in how the call to a target ended.
func (r *Router) Report(now time.Time, rnd *rand.Rand, t *Target, result Result) {
	s := t.state
	s.ended(now, !result.TimedOut)
	if result.Bytes > 0 {
		blend(&t.service.bytes, float64(result.Bytes), serviceWeight)
	}
	if t.CrossRegion {
		r.cross.settle(int64(result.Bytes) - t.cross)
	}
	if t.trial {
		r.reportTrial(now, rnd, t, result)
		return
	}
	if result.Inconclusive || result.TimedOut || s.asideUntil.Load() != 0 {
		return
	}
	s.record(t.service, result)
	if !r.cfg.NoEjection && s.judge(t.service) && s.setAside(now, rnd, t.service) {
		r.changed(now, t.VM, s, t.service, false)
	}
}

func (r *Router) changed(now time.Time, vm dfpvm.VM, s *vmState, stats *serviceStats, back bool) {
	if r.cfg.OnEjectionChange == nil {
		return
	}
	change := EjectionChange{
		At: now, VM: vm, Restored: back, FailureRate: loadFloat(&s.failures),
		Latency: seconds(loadFloat(&s.latency)), ServiceLatency: seconds(loadFloat(&stats.latency)),
	}
	if until := s.asideUntil.Load(); until != 0 {
		change.NextTrial = time.Unix(0, until)
	}
	r.cfg.OnEjectionChange(change)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// record takes a finished call into the VM's and the service's means.
func (s *vmState) record(stats *serviceStats, result Result) {
	if s.seen.Add(1) == goodSeen {
		s.asideCount.Store(0)
	}
	failed := 1.0
	if result.Failed {
		s.failedInRow.Add(1)
	} else {
		failed = 0
		s.failedInRow.Store(0)
		blend(&s.latency, result.Took.Seconds(), vmWeight)
		blend(&stats.latency, result.Took.Seconds(), serviceWeight)
	}
	rate := loadFloat(&s.failures)
	storeFloat(&s.failures, rate+vmWeight*(failed-rate))
}

// reportTrial ends a trial: a success puts the VM back, anything else sets it aside for longer.
func (r *Router) reportTrial(now time.Time, rnd *rand.Rand, t *Target, result Result) {
	slow := result.Took.Seconds() > max(slowFloor, slowFactor*loadFloat(&t.service.latency))
	if result.Failed || result.TimedOut || slow && !result.Inconclusive {
		t.state.asideUntil.Store(t.state.nextTrial(now, rnd))
	} else {
		t.state.putBack(t.service)
		r.changed(now, t.VM, t.state, t.service, true)
	}
	t.state.probing.Store(0)
}
