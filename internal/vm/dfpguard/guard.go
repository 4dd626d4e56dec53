package dfpguard

import (
	"fmt"
	"math"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Guard decides on the requests to one backend server. See the package comment.
type Guard struct {
	cfg         Config
	limiter     *limiter
	admission   admission
	waitControl waitController
	queue       *queue
	running     map[Handle]struct{}
	service     serviceEstimate
	refusals    refusalCounter
	stall       stallDetector
	rate        rateLimit
	rampStart   time.Time
	draining    bool
	// now is the latest time passed to any method; it never goes back.
	now time.Time
}

// New returns a guard for a backend server that has just started; its ramp begins at the first call. New
// panics if Config.Rand is nil.
func New(cfg Config) *Guard {
	if cfg.Rand == nil {
		panic("dfpguard: Config.Rand is required")
	}
	if cfg.Window == 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.RampTime == 0 {
		cfg.RampTime = DefaultRampTime
	}
	cfg.Slots = max(cfg.Slots, 1)
	return &Guard{
		cfg:     cfg,
		limiter: newLimiter(time.Time{}, cfg.Slots),
		queue:   newQueue(),
		running: make(map[Handle]struct{}),
	}
}

// SetBackend sets the slots of a backend server that was announced anew. The limit ramps up from the
// beginning, and a drain ends.
func (g *Guard) SetBackend(now time.Time, slots int) Effects {
	var effects Effects
	g.advance(now, &effects)
	g.cfg.Slots = max(slots, 1)
	g.limiter.setSlots(g.now, g.cfg.Slots)
	g.rampStart = g.now
	g.service = serviceEstimate{}
	g.stall = stallDetector{lastProgress: g.now}
	g.draining = false
	g.dispatch(&effects)
	return effects
}

// Drain refuses all waiting requests and all later arrivals. Running requests continue.
func (g *Guard) Drain(now time.Time) Effects {
	var effects Effects
	g.advance(now, &effects)
	g.draining = true
	for {
		req, ok := g.queue.pop()
		if !ok {
			break
		}
		effects.Refuse = append(effects.Refuse, g.refusal(req.Handle, dfpcall.ReasonDraining))
	}
	return effects
}

// Arrive decides on a new request. The returned Effects lists other requests that the arrival starts or
// displaces, never this one. Arrive panics if the handle is in use or if the importance or cohort is out of
// range.
func (g *Guard) Arrive(now time.Time, req Request) (Decision, Effects) {
	g.checkRequest(req)
	var effects Effects
	g.advance(now, &effects)
	if g.draining {
		return g.refuse(dfpcall.ReasonDraining), effects
	}
	switch g.cfg.Mode {
	case ModeOff:
		return g.start(req), effects
	case ModeFixed:
		return g.arriveFixed(req), effects
	case ModeAdaptive:
	default:
		panic(fmt.Sprintf("dfpguard: unknown mode %d", g.cfg.Mode))
	}
	return g.arriveAdaptive(req, &effects), effects
}

func (g *Guard) checkRequest(req Request) {
	if req.Importance >= dfpcall.ImportanceCount || req.Cohort >= dfpcall.Cohorts {
		panic(fmt.Sprintf("dfpguard: handle %d has importance %d or cohort %d out of range", req.Handle, req.Importance, req.Cohort))
	}
	_, runs := g.running[req.Handle]
	if _, waits := g.queue.byHandle[req.Handle]; runs || waits {
		panic(fmt.Sprintf("dfpguard: handle %d arrived twice", req.Handle))
	}
}

func (g *Guard) arriveFixed(req Request) Decision {
	if g.free() {
		return g.start(req)
	}
	if g.queue.len() >= g.queueLimit() {
		return g.refuse(g.fullReason())
	}
	g.queue.push(withoutOrder(req))
	return wait
}

// withoutOrder returns the request without the properties that determine its place in the queue.
func withoutOrder(req Request) Request {
	return Request{Handle: req.Handle, Deadline: req.Deadline}
}

func (g *Guard) arriveAdaptive(req Request, effects *Effects) Decision {
	free := g.free()
	if g.stalled() && !g.mayProbe(free) {
		return g.refuse(dfpcall.ReasonNoBackendServer)
	}
	g.admission.recordArrival(req)
	g.waitControl.arrivals++
	if g.cfg.QueueNested && req.Importance == dfpcall.Critical {
		return g.startOrQueue(req, free, effects)
	}
	if !g.mayAdmit(req, free) {
		return g.refuse(dfpcall.ReasonOverload)
	}
	return g.startOrQueue(req, free, effects)
}

// startOrQueue starts an arrival or queues it. It refuses the arrival if it cannot meet its deadline, or if
// the queue is full and no waiting request can be displaced.
func (g *Guard) startOrQueue(req Request, free bool, effects *Effects) Decision {
	ahead := 0
	if !free {
		ahead = g.queue.ahead(req.Importance, req.Organisation) + 1
	}
	if g.tooLate(req.Deadline, g.queueDelay(ahead)) {
		return g.refuse(dfpcall.ReasonDeadline)
	}
	if free {
		return g.start(req)
	}
	if len(g.running) >= g.limit() {
		g.limiter.saturated = true
	}
	if g.queue.len() >= g.queueLimit() {
		g.waitControl.overflowed = true
		victim, ok := g.queue.displace(req)
		if !ok {
			g.admission.recordOverflow(req.Importance)
			g.waitControl.refused = g.rate.limited
			return g.refuse(g.fullReason())
		}
		g.admission.recordOverflow(victim.Importance)
		effects.Refuse = append(effects.Refuse, g.refusal(victim.Handle, g.fullReason()))
	}
	g.queue.push(req)
	return wait
}

// fullReason returns why a request is refused when the queue is full.
func (g *Guard) fullReason() dfpcall.Reason {
	if g.rate.limited {
		return dfpcall.ReasonServerLimit
	}
	return dfpcall.ReasonOverload
}

// mayAdmit reports whether a request is admitted by the admission level or by one of two exceptions. A free
// slot also goes to requests of the importance at which the level stands, but not to less important ones.
// And a request is admitted while a less important one waits: requests queued before the level rose must not
// be preferred to more important arrivals.
func (g *Guard) mayAdmit(req Request, free bool) bool {
	if int(rankOf(req)) < int(g.waitControl.level) {
		return false
	}
	return g.admission.admits(req) || g.queue.hasLessImportant(req.Importance) ||
		free && req.Importance >= g.admission.importance()
}

// Done records that a started request has ended after running for took. failed means that the backend server
// failed to do its work.
func (g *Guard) Done(now time.Time, h Handle, took time.Duration, failed bool) Effects {
	var effects Effects
	g.setClock(now)
	g.end(h)
	g.limiter.observe(took, failed)
	g.admission.completed++
	g.service.observe(took, failed)
	if failed {
		g.stall.failures++
	} else {
		g.stall.recordSuccess(now)
	}
	g.advance(now, &effects)
	return effects
}

// Cancel removes a waiting or running request whose caller has gone. The node must have stopped a running
// request before the call, because its slot is free from then on.
func (g *Guard) Cancel(now time.Time, h Handle) Effects {
	var effects Effects
	g.setClock(now)
	if !g.queue.removeHandle(h) {
		g.end(h)
		g.admission.completed++
	}
	g.advance(now, &effects)
	return effects
}

// Tick advances the control windows, starts waiting requests if slots are free, and refuses those that can
// no longer meet their deadline.
func (g *Guard) Tick(now time.Time) Effects {
	var effects Effects
	g.advance(now, &effects)
	g.refuseLate(&effects)
	return effects
}

// free reports whether a request may start now.
func (g *Guard) free() bool { return len(g.running) < g.limit() && g.rate.allows() }

func (g *Guard) start(req Request) Decision {
	g.rate.take()
	g.stall.recordStart(g.now, len(g.running))
	g.running[req.Handle] = struct{}{}
	return start
}

func (g *Guard) end(h Handle) {
	if _, ok := g.running[h]; !ok {
		panic(fmt.Sprintf("dfpguard: handle %d ended but was not running", h))
	}
	delete(g.running, h)
	g.waitControl.ended++
}

// setClock moves the clock on and records the slot usage since its last reading.
func (g *Guard) setClock(now time.Time) {
	if !now.After(g.now) {
		return
	}
	if g.cfg.Mode == ModeAdaptive && !g.now.IsZero() {
		g.admission.recordUsage(now.Sub(g.now), len(g.running), g.limit())
	}
	g.now = now
}

// advance moves the clock on, closes control windows that are over and fills free slots.
func (g *Guard) advance(now time.Time, effects *Effects) {
	g.setClock(now)
	if g.rampStart.IsZero() {
		g.rampStart = g.now
	}
	g.refusals.advance(g.now)
	g.rate.advance(g.now)
	if g.cfg.Mode == ModeAdaptive {
		g.limiter.advance(g.now)
		if g.cfg.QueueNested {
			g.waitControl.advance(g.now, g.cfg.Window, backendState{
				waiting: g.slotDelay(g.queue.len()), usage: g.usage(), perSecond: g.capacityPerSecond(),
			})
		}
		g.admission.advance(g.now, g.window(), g.queue, g.queueLimit())
		if g.cfg.QueueNested {
			// The arrivals that this level counts are nested calls, which it must not refuse.
			g.admission.level = 0
		}
	}
	if g.stalled() {
		g.refuseStalled(effects)
	}
	g.dispatch(effects)
}

// usage returns the fraction of the slots in use. Under a limit that the backend server names, idle slots show
// nothing: it is all while the limit is used up, and else so much that the level falls slowly.
func (g *Guard) usage() float64 {
	switch {
	case !g.rate.allows():
		return 1
	case g.rate.limited:
		return busyFraction
	}
	return float64(len(g.running)) / float64(g.limit())
}

// capacityPerSecond returns how many requests a second the limit on those in flight allows, or the rate that the backend
// server names, if any; 0 if it is not known yet.
func (g *Guard) capacityPerSecond() float64 {
	switch {
	case g.rate.limited:
		return g.rate.perSecond
	case g.service.mean == 0:
		return 0
	}
	return float64(g.limit()) / g.service.mean.Seconds()
}

func (g *Guard) dispatch(effects *Effects) {
	for g.free() {
		req, ok := g.queue.pop()
		if !ok {
			return
		}
		if g.cfg.Mode == ModeAdaptive && g.tooLate(req.Deadline, 0) {
			effects.Refuse = append(effects.Refuse, g.refusal(req.Handle, dfpcall.ReasonDeadline))
			continue
		}
		g.start(req)
		effects.Start = append(effects.Start, req.Handle)
	}
}

// refuseLate refuses all waiting requests that can no longer meet their deadline.
func (g *Guard) refuseLate(effects *Effects) {
	if g.cfg.Mode != ModeAdaptive {
		return
	}
	for _, req := range g.queue.requests() {
		if g.tooLate(req.Deadline, 0) {
			g.queue.removeHandle(req.Handle)
			effects.Refuse = append(effects.Refuse, g.refusal(req.Handle, dfpcall.ReasonDeadline))
		}
	}
}

// limit returns the number of requests that may be in flight now.
func (g *Guard) limit() int {
	switch g.cfg.Mode {
	case ModeOff:
		return math.MaxInt
	case ModeFixed:
		return g.cfg.Slots
	}
	if g.cfg.SlotsFraction > 0 {
		return min(max(1, int(g.cfg.SlotsFraction*float64(g.cfg.Slots))), g.ramp())
	}
	return min(g.limiter.current(), g.ramp())
}

// ramp returns the limit set by the time since the backend server was announced.
func (g *Guard) ramp() int {
	if g.cfg.RampTime < 0 {
		return g.cfg.Slots
	}
	fraction := float64(g.now.Sub(g.rampStart)) / float64(g.cfg.RampTime)
	if fraction >= 1 {
		return g.cfg.Slots
	}
	return max(1, int((RampStartFraction+(1-RampStartFraction)*fraction)*float64(g.cfg.Slots)))
}

// window returns the control interval of the admission level. It is long enough for requests admitted in it
// to show in its completions.
func (g *Guard) window() time.Duration {
	return min(max(g.cfg.Window, windowServiceTimes*g.service.mean), maxWindow)
}

func (g *Guard) queueLimit() int {
	if g.rate.limited {
		return min(g.slotsQueueLimit(), max(1, int(g.rate.perSecond*maxRateWait.Seconds())))
	}
	return g.slotsQueueLimit()
}

// slotsQueueLimit returns the limit of the queue of a backend server that names no limit.
func (g *Guard) slotsQueueLimit() int {
	if g.cfg.QueueLimit > 0 {
		return g.cfg.QueueLimit
	}
	if g.cfg.QueueNested {
		return max(MinQueueLimit, nestedQueueFactor*g.cfg.Slots)
	}
	return max(MinQueueLimit, g.cfg.Slots)
}
