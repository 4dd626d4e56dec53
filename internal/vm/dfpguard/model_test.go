package dfpguard_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// scenario is one run of the model: Poisson arrivals of whole requests at one guard in front of
// one backend server, in virtual time. A request makes Stages calls in a
// row, the later ones as nested calls, and is whole when all have succeeded in time.
type scenario struct {
	name    string
	mode    dfpguard.Mode
	seed    uint64
	slots   int
	service time.Duration
	stages  int
	// classes are the kinds of requests; a rate is in whole requests per second.
	classes []traffic
	// From trigger to end, the rates grow by surge and service times by slow.
	trigger, end, stop time.Duration
	surge, slow        float64
	// retries is how often a caller repeats a request; pause is how long it waits before.
	retries int
	pause   time.Duration
	// obey makes callers wait for Retry-After.
	obey     bool
	deadline time.Duration
	// reports is how long an entry node's knowledge of the guard's load lags; 0 for no early refusal.
	reports time.Duration
}

// traffic is one stream of like requests.
type traffic struct {
	organisation string
	importance   dfpcall.Importance
	rate         float64
}

// result is what a run gave.
type result struct {
	// offered and whole count requests by importance that came during the trigger.
	offered, whole [dfpcall.ImportanceCount]int
	// perOrganisation counts whole requests during the trigger by organisation.
	perOrganisation map[string]int
	// runs and wasted count runs of the backend server and those of requests that failed.
	runs, wasted int
	// goodput is the number of whole requests ended in each tenth of a second.
	goodput []int
	// inversions counts refusals for overload of a critical request at the guard while low ones
	// were admitted.
	inversions int
	maxQueue   int
}

// model is the state of a run.
type model struct {
	sc      scenario
	rnd     *rand.Rand
	guard   *dfpguard.Guard
	now     time.Duration
	events  eventHeap
	serial  uint64
	handles uint64
	live    map[dfpguard.Handle]*attempt
	// busy counts runs on the backend server, backlog those that it queues itself
	// beyond its slots.
	busy    int
	backlog []*attempt
	loads   []reported
	res     result
}

type reported struct {
	at   time.Duration
	load dfpcall.Load
}

// attempt is one try of a whole request.
type attempt struct {
	class   *traffic
	cohort  uint8
	stage   int
	runs    int
	tries   int
	first   time.Duration
	started time.Duration
	handle  dfpguard.Handle
	running bool
	gone    bool
}

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// hopDelay is the time between a run and the next stage's call.
const hopDelay = 2 * time.Millisecond

const tenth = 100 * time.Millisecond

// simulate runs a scenario to its end.
func simulate(sc scenario) result {
	rnd := rand.New(rand.NewPCG(sc.seed, 1))
	m := &model{
		sc: sc, rnd: rnd, live: make(map[dfpguard.Handle]*attempt),
		guard: dfpguard.New(dfpguard.Config{
			Mode: sc.mode, Slots: sc.slots, RampTime: -1, Rand: rand.New(rand.NewPCG(sc.seed, 2)),
		}),
	}
	m.res.goodput = make([]int, sc.stop/tenth)
	m.res.perOrganisation = make(map[string]int)
	for i := range sc.classes {
		m.arriveNext(&sc.classes[i])
	}
	m.tick()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at >= sc.stop {
			break
		}
		m.now = e.at
		e.do()
	}
	return m.res
}

func (m *model) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.events, event{at: m.now + d, serial: m.serial, do: do})
}

func (m *model) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) triggered() bool { return m.now >= m.sc.trigger && m.now < m.sc.end }

func (m *model) tick() {
	m.carryOut(m.guard.Tick(m.clock()))
	m.after(10*time.Millisecond, m.tick)
}

func (m *model) arriveNext(class *traffic) {
	rate := class.rate
	if m.triggered() && m.sc.surge > 0 {
		rate *= m.sc.surge
	}
	m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.triggered() {
			m.res.offered[class.importance]++
		}
		m.try(&attempt{class: class, first: m.now})
		m.arriveNext(class)
	})
}

// try begins an attempt at the entry node, with a cohort of its own.
func (m *model) try(a *attempt) {
	a.cohort = uint8(m.rnd.IntN(dfpcall.Cohorts))
	a.started = m.now
	m.after(m.sc.deadline, func() { m.timeout(a) })
	if load, ok := m.reportedLoad(); ok && !load.Admits(a.class.importance, a.cohort) {
		m.fail(a, tenth*10)
		return
	}
	m.call(a)
}

// reportedLoad returns the guard's load as an entry node knows it.
func (m *model) reportedLoad() (dfpcall.Load, bool) {
	if m.sc.reports == 0 {
		return dfpcall.Load{}, false
	}
	m.loads = append(m.loads, reported{m.now, m.guard.Load(m.clock())})
	for len(m.loads) > 1 && m.loads[1].at <= m.now-m.sc.reports {
		m.loads = m.loads[1:]
	}
	return m.loads[0].load, m.loads[0].at <= m.now-m.sc.reports
}

func (m *model) call(a *attempt) {
	m.handles++
	a.handle = dfpguard.Handle(m.handles)
	m.live[a.handle] = a
	verdict, fx := m.guard.Arrive(m.clock(), dfpguard.Request{
		Handle: a.handle, Organisation: a.class.organisation, Importance: a.class.importance,
		Cohort: a.cohort, Depth: uint8(a.stage), Deadline: m.clock().Add(a.started + m.sc.deadline - m.now),
	})
	switch v := verdict.(type) {
	case *dfpguard.Start:
		m.run(a)
	case *dfpguard.Refuse:
		m.refuse(a, v.Reason, v.RetryAfter)
	}
	m.carryOut(fx)
	m.res.maxQueue = max(m.res.maxQueue, m.guard.Load(m.clock()).Queued)
}

func (m *model) carryOut(fx dfpguard.Effects) {
	for _, h := range fx.Start {
		m.run(m.live[h])
	}
	for _, r := range fx.Refuse {
		m.refuse(m.live[r.Handle], r.Reason, r.RetryAfter)
	}
}

func (m *model) refuse(a *attempt, reason dfpcall.Reason, retryAfter time.Duration) {
	delete(m.live, a.handle)
	if reason == dfpcall.ReasonOverload && a.class.importance == dfpcall.Critical &&
		m.guard.Load(m.clock()).Admits(dfpcall.Low, 0) {
		m.res.inversions++
	}
	if !a.gone {
		m.fail(a, retryAfter)
	}
}

// run starts a run on the backend server, which queues what is beyond its slots.
func (m *model) run(a *attempt) {
	a.running = true
	if m.busy >= m.sc.slots {
		m.backlog = append(m.backlog, a)
		return
	}
	m.busy++
	m.serve(a)
}

func (m *model) serve(a *attempt) {
	mean := float64(m.sc.service)
	if m.triggered() && m.sc.slow > 0 {
		mean *= m.sc.slow
	}
	took := time.Duration(m.rnd.ExpFloat64() * mean)
	handle := a.handle
	m.after(took, func() { m.served(a, handle, took) })
}

func (m *model) served(a *attempt, handle dfpguard.Handle, took time.Duration) {
	if m.live[handle] != a {
		return // It was cancelled.
	}
	delete(m.live, handle)
	a.running = false
	a.runs++
	m.res.runs++
	m.release()
	m.carryOut(m.guard.Done(m.clock(), handle, took, false))
	switch {
	case a.gone:
		m.res.wasted++
	case a.stage+1 < m.sc.stages:
		a.stage++
		m.after(hopDelay, func() {
			if !a.gone {
				m.call(a)
			}
		})
	default:
		m.succeed(a)
	}
}

func (m *model) release() {
	m.busy--
	if len(m.backlog) > 0 && m.busy < m.sc.slots {
		next := m.backlog[0]
		m.backlog = m.backlog[1:]
		m.busy++
		m.serve(next)
	}
}

func (m *model) succeed(a *attempt) {
	a.gone = true
	m.res.goodput[m.now/tenth]++
	if a.first >= m.sc.trigger && a.first < m.sc.end {
		m.res.whole[a.class.importance]++
		m.res.perOrganisation[a.class.organisation]++
	}
}

// timeout is the caller giving an attempt up. Only the whole policy cancels.
func (m *model) timeout(a *attempt) {
	if a.gone {
		return
	}
	if m.sc.mode == dfpguard.ModeAdaptive && m.live[a.handle] == a {
		delete(m.live, a.handle)
		if a.running {
			m.res.runs++
			m.res.wasted++
			m.release()
		}
		m.carryOut(m.guard.Cancel(m.clock(), a.handle))
	}
	m.fail(a, 0)
}

// fail ends an attempt; its caller may repeat the request.
func (m *model) fail(a *attempt, retryAfter time.Duration) {
	a.gone = true
	m.res.wasted += a.runs
	if a.tries >= m.sc.retries {
		return
	}
	pause := m.sc.pause/2 + time.Duration(m.rnd.Int64N(int64(m.sc.pause)))
	if m.sc.obey {
		pause = max(pause, retryAfter)
	}
	repeat := &attempt{class: a.class, tries: a.tries + 1, first: a.first}
	m.after(pause, func() { m.try(repeat) })
}
