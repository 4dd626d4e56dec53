package dfpguard

import (
	"fmt"
	"math"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Guard admits requests to one backend server. See the package comment.
type Guard struct {
	cfg       Config
	limiter   *limiter
	admission admission
	steer     steer
	queue     *queue
	running   map[Handle]struct{}
	service   estimate
	pressure  pressure
	progress  progress
	rampFrom  time.Time
	draining  bool
	// now is the latest time seen; it never goes back.
	now time.Time
}

// New returns a guard whose backend server has just appeared; its ramp begins at
// the first call.
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

// SetBackend says that the backend server was announced anew with so many slots: the limit ramps
// up from the beginning. It also ends a drain.
func (g *Guard) SetBackend(now time.Time, slots int) Effects {
	var fx Effects
	g.advance(now, &fx)
	g.cfg.Slots = max(slots, 1)
	g.limiter.setSlots(g.now, g.cfg.Slots)
	g.rampFrom = g.now
	g.service = estimate{}
	g.progress = progress{at: g.now}
	g.draining = false
	g.dispatch(&fx)
	return fx
}

// Drain refuses all that waits and all that arrives from now on. What runs goes on.
func (g *Guard) Drain(now time.Time) Effects {
	var fx Effects
	g.advance(now, &fx)
	g.draining = true
	for {
		t, ok := g.queue.pop()
		if !ok {
			break
		}
		fx.Refuse = append(fx.Refuse, g.refusal(t.Handle, dfpcall.ReasonDraining))
	}
	return fx
}

// Arrive decides on a new ticket. Effects lists other tickets that its arrival
// starts or displaces, never this one.
func (g *Guard) Arrive(now time.Time, t Request) (Decision, Effects) {
	g.checkTicket(t)
	var fx Effects
	g.advance(now, &fx)
	if g.draining {
		return g.refuse(dfpcall.ReasonDraining), fx
	}
	switch g.cfg.Mode {
	case ModeOff:
		return g.start(t), fx
	case ModeFixed:
		return g.arriveFixed(t), fx
	case ModeAdaptive:
	default:
		panic(fmt.Sprintf("dfpguard: unknown mode %d", g.cfg.Mode))
	}
	return g.arriveAdaptive(t, &fx), fx
}

func (g *Guard) checkTicket(t Request) {
	if t.Importance >= dfpcall.ImportanceCount || t.Cohort >= dfpcall.Cohorts {
		panic(fmt.Sprintf("dfpguard: ticket %d with importance %d, cohort %d", t.Handle, t.Importance, t.Cohort))
	}
	_, runs := g.running[t.Handle]
	if _, waits := g.queue.byID[t.Handle]; runs || waits {
		panic(fmt.Sprintf("dfpguard: handle %d arrived twice", t.Handle))
	}
}

func (g *Guard) arriveFixed(t Request) Decision {
	if len(g.running) < g.limit() {
		return g.start(t)
	}
	if g.queue.len() >= g.queueLimit() {
		return g.refuse(dfpcall.ReasonOverload)
	}
	g.queue.push(fifo(t))
	return wait
}

// fifo strips a ticket of all by which the queue would order it.
func fifo(t Request) Request {
	return Request{Handle: t.Handle, Deadline: t.Deadline}
}

func (g *Guard) arriveAdaptive(t Request, fx *Effects) Decision {
	free := len(g.running) < g.limit()
	if g.stalled() && !g.mayProbe(free) {
		return g.refuse(dfpcall.ReasonNoBackendServer)
	}
	g.admission.arrive(t)
	if g.cfg.QueueNested && t.Importance == dfpcall.Critical {
		return g.enter(t, free, fx)
	}
	// What waits since before the level rose must not outlast more important arrivals.
	if !g.mayEnter(t, free) {
		return g.refuse(dfpcall.ReasonOverload)
	}
	return g.enter(t, free, fx)
}

// enter starts an arrival or puts it into the queue, unless it would be too late or there is no room.
func (g *Guard) enter(t Request, free bool, fx *Effects) Decision {
	ahead := 0
	if !free {
		ahead = g.queue.ahead(t.Importance, t.Organisation) + 1
	}
	if g.tooLate(t.Deadline, g.waitFor(ahead)) {
		return g.refuse(dfpcall.ReasonDeadline)
	}
	if free {
		return g.start(t)
	}
	g.limiter.saturated = true
	if g.queue.len() >= g.queueLimit() {
		victim, ok := g.queue.displace(t)
		if !ok {
			g.admission.overflowed(t.Importance)
			return g.refuse(dfpcall.ReasonOverload)
		}
		g.admission.overflowed(victim.Importance)
		fx.Refuse = append(fx.Refuse, g.refusal(victim.Handle, dfpcall.ReasonOverload))
	}
	g.queue.push(t)
	return wait
}

// mayEnter reports whether the admission level, or an exception to it, lets a ticket in. A free
// slot is given to requests of the importance at which the level stands, too, but not to less
// important ones. What waits since before the level rose must not outlast more important
// arrivals.
func (g *Guard) mayEnter(t Request, free bool) bool {
	if int(rankOf(t)) < int(g.steer.level) {
		return false
	}
	return g.admission.admits(t) || g.queue.holdsBelow(t.Importance) ||
		free && t.Importance >= g.admission.importance()
}

// Done says that a started request has ended after running for took; failed says
// that the backend server did not do its work.
func (g *Guard) Done(now time.Time, h Handle, took time.Duration, failed bool) Effects {
	var fx Effects
	g.moveClock(now)
	g.end(h)
	g.limiter.observe(took, failed)
	g.admission.completed++
	g.service.done(took, failed)
	if failed {
		g.progress.failures++
	} else {
		g.progress.succeeded(now)
	}
	g.advance(now, &fx)
	return fx
}

// Cancel withdraws a ticket whose caller has gone, whether it waits or runs. What
// runs must have been stopped: its slot is free from now on.
func (g *Guard) Cancel(now time.Time, h Handle) Effects {
	var fx Effects
	g.moveClock(now)
	if !g.queue.take(h) {
		g.end(h)
		g.admission.completed++
	}
	g.advance(now, &fx)
	return fx
}

// Tick advances the control windows, starts what may start and refuses
// what has become too late.
func (g *Guard) Tick(now time.Time) Effects {
	var fx Effects
	g.advance(now, &fx)
	g.refuseLate(&fx)
	return fx
}

func (g *Guard) start(t Request) Decision {
	g.progress.started(g.now, len(g.running))
	g.running[t.Handle] = struct{}{}
	return start
}

func (g *Guard) end(h Handle) {
	if _, ok := g.running[h]; !ok {
		panic(fmt.Sprintf("dfpguard: handle %d ended without running", h))
	}
	delete(g.running, h)
}

// moveClock accounts for what ran until now.
func (g *Guard) moveClock(now time.Time) {
	if !now.After(g.now) {
		return
	}
	if g.cfg.Mode == ModeAdaptive && !g.now.IsZero() {
		g.admission.occupy(now.Sub(g.now), len(g.running), g.limit())
	}
	g.now = now
}

// advance moves the clock on, closes control windows and fills free slots.
func (g *Guard) advance(now time.Time, fx *Effects) {
	g.moveClock(now)
	if g.rampFrom.IsZero() {
		g.rampFrom = g.now
	}
	g.pressure.advance(g.now)
	if g.cfg.Mode == ModeAdaptive {
		g.limiter.advance(g.now)
		if g.cfg.QueueNested {
			g.steer.advance(g.now, g.cfg.Window, g.waitFor(g.queue.len()), float64(len(g.running))/float64(g.limit()))
		}
		g.admission.advance(g.now, g.window(), g.queue, g.queueLimit())
		if g.cfg.QueueNested {
			// What it counts are nested calls, which its level must not refuse.
			g.admission.level = 0
		}
	}
	if g.stalled() {
		g.refuseStalled(fx)
	}
	g.dispatch(fx)
}

func (g *Guard) dispatch(fx *Effects) {
	for len(g.running) < g.limit() {
		t, ok := g.queue.pop()
		if !ok {
			return
		}
		if g.cfg.Mode == ModeAdaptive && g.tooLate(t.Deadline, 0) {
			fx.Refuse = append(fx.Refuse, g.refusal(t.Handle, dfpcall.ReasonDeadline))
			continue
		}
		g.start(t)
		fx.Start = append(fx.Start, t.Handle)
	}
}

// refuseLate refuses all that waits and can no longer finish in time.
func (g *Guard) refuseLate(fx *Effects) {
	if g.cfg.Mode != ModeAdaptive {
		return
	}
	for _, t := range g.queue.tickets() {
		if g.tooLate(t.Deadline, 0) {
			g.queue.take(t.Handle)
			fx.Refuse = append(fx.Refuse, g.refusal(t.Handle, dfpcall.ReasonDeadline))
		}
	}
}

// limit returns the number that may be in flight now.
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

// ramp returns the limit of a backend server that is still cold.
func (g *Guard) ramp() int {
	if g.cfg.RampTime < 0 {
		return g.cfg.Slots
	}
	part := float64(g.now.Sub(g.rampFrom)) / float64(g.cfg.RampTime)
	if part >= 1 {
		return g.cfg.Slots
	}
	return max(1, int((RampStartFraction+(1-RampStartFraction)*part)*float64(g.cfg.Slots)))
}

// window returns the control interval of the admission level: long enough that what it admits
// shows in what is completed.
func (g *Guard) window() time.Duration {
	return min(max(g.cfg.Window, windowServices*g.service.mean), maxWindow)
}

func (g *Guard) queueLimit() int {
	if g.cfg.QueueLimit > 0 {
		return g.cfg.QueueLimit
	}
	if g.cfg.QueueNested {
		return max(MinQueueLimit, nestedQueue*g.cfg.Slots)
	}
	return max(MinQueueLimit, g.cfg.Slots)
}
