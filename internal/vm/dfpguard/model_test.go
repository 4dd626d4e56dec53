package dfpguard_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// scenario configures one run of the model: Poisson arrivals of requests at one guard in front of one
// backend server, in virtual time. A request makes its calls in sequence, one per stage, and all but the
// first as nested calls. The request is completed when all calls have succeeded before its deadline.
type scenario struct {
	name    string
	mode    dfpguard.Mode
	seed    uint64
	slots   int
	service time.Duration
	stages  int
	// classes are the streams of requests; their rates are in requests per second, not in calls.
	classes []traffic
	// Between trigger and end, rates are multiplied by surge and service times by slow.
	trigger, end, stop time.Duration
	surge, slow        float64
	// retries is how often a caller repeats a request, and backoff the mean time before each repeat.
	retries int
	backoff time.Duration
	// honourRetryAfter makes callers wait for Retry-After before a repeat.
	honourRetryAfter bool
	deadline         time.Duration
	// reportDelay is the age of the guard's load at the entry node; 0 disables early refusal.
	reportDelay time.Duration
}

// traffic is one stream of similar requests.
type traffic struct {
	organisation string
	importance   dfpcall.Importance
	rate         float64
}

// result holds the measurements of a run.
type result struct {
	// offered and completed count requests by importance that arrived between trigger and end.
	offered, completed [dfpcall.ImportanceCount]int
	// perOrganisation is the same as completed, by organisation.
	perOrganisation map[string]int
	// runs counts calls that ran on the backend server, and wasted those whose request failed.
	runs, wasted int
	// goodput is the number of completed requests in each tenth of a second.
	goodput []int
	// priorityInversions counts critical requests that the guard refused for overload while it admitted low
	// ones.
	priorityInversions int
	maxQueue           int
}

// model is the state of a run.
type model struct {
	sc       scenario
	rng      *rand.Rand
	guard    *dfpguard.Guard
	now      time.Duration
	events   eventHeap
	sequence uint64
	handles  uint64
	live     map[dfpguard.Handle]*attempt
	// busy is the number of calls that run on the backend server; backlog holds those that it queues itself
	// because all its slots are in use.
	busy    int
	backlog []*attempt
	loads   []reported
	res     result
}

type reported struct {
	at   time.Duration
	load dfpcall.Load
}

// attempt is one attempt of a request, with all its stages.
type attempt struct {
	class   *traffic
	cohort  uint8
	stage   int
	runs    int
	repeats int
	first   time.Duration
	started time.Duration
	handle  dfpguard.Handle
	running bool
	ended   bool
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// nestedCallDelay is the time from the end of a run to the call of the next stage.
const nestedCallDelay = 2 * time.Millisecond

const tenth = 100 * time.Millisecond

// simulate runs a scenario until its stop time.
func simulate(sc scenario) result {
	rng := rand.New(rand.NewPCG(sc.seed, 1))
	m := &model{
		sc: sc, rng: rng, live: make(map[dfpguard.Handle]*attempt),
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
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, do: do})
}

func (m *model) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) triggered() bool { return m.now >= m.sc.trigger && m.now < m.sc.end }

func (m *model) tick() {
	m.apply(m.guard.Tick(m.clock()))
	m.after(10*time.Millisecond, m.tick)
}

func (m *model) arriveNext(class *traffic) {
	rate := class.rate
	if m.triggered() && m.sc.surge > 0 {
		rate *= m.sc.surge
	}
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.triggered() {
			m.res.offered[class.importance]++
		}
		m.try(&attempt{class: class, first: m.now})
		m.arriveNext(class)
	})
}

// try starts an attempt at the entry node, with a random cohort.
func (m *model) try(a *attempt) {
	a.cohort = uint8(m.rng.IntN(dfpcall.Cohorts))
	a.started = m.now
	m.after(m.sc.deadline, func() { m.timeout(a) })
	if load, ok := m.reportedLoad(); ok && !load.Admits(a.class.importance, a.cohort) {
		m.fail(a, tenth*10) // Refused at the entry node.
		return
	}
	m.call(a)
}

// reportedLoad returns the guard's load as the entry node knows it.
func (m *model) reportedLoad() (dfpcall.Load, bool) {
	if m.sc.reportDelay == 0 {
		return dfpcall.Load{}, false
	}
	m.loads = append(m.loads, reported{m.now, m.guard.Load(m.clock())})
	for len(m.loads) > 1 && m.loads[1].at <= m.now-m.sc.reportDelay {
		m.loads = m.loads[1:]
	}
	return m.loads[0].load, m.loads[0].at <= m.now-m.sc.reportDelay
}

func (m *model) call(a *attempt) {
	m.handles++
	a.handle = dfpguard.Handle(m.handles)
	m.live[a.handle] = a
	decision, effects := m.guard.Arrive(m.clock(), dfpguard.Request{
		Handle: a.handle, Organisation: a.class.organisation, Importance: a.class.importance,
		Cohort: a.cohort, Depth: uint8(a.stage), Deadline: m.clock().Add(a.started + m.sc.deadline - m.now),
	})
	switch v := decision.(type) {
	case *dfpguard.Start:
		m.run(a)
	case *dfpguard.Refuse:
		m.refuse(a, v.Reason, v.RetryAfter)
	}
	m.apply(effects)
	m.res.maxQueue = max(m.res.maxQueue, m.guard.Load(m.clock()).Queued)
}

func (m *model) apply(effects dfpguard.Effects) {
	for _, h := range effects.Start {
		m.run(m.live[h])
	}
	for _, r := range effects.Refuse {
		m.refuse(m.live[r.Handle], r.Reason, r.RetryAfter)
	}
}

func (m *model) refuse(a *attempt, reason dfpcall.Reason, retryAfter time.Duration) {
	delete(m.live, a.handle)
	if reason == dfpcall.ReasonOverload && a.class.importance == dfpcall.Critical &&
		m.guard.Load(m.clock()).Admits(dfpcall.Low, 0) {
		m.res.priorityInversions++
	}
	if !a.ended {
		m.fail(a, retryAfter)
	}
}

// run starts a call on the backend server, or queues it there if all slots are in use.
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
	took := time.Duration(m.rng.ExpFloat64() * mean)
	handle := a.handle
	m.after(took, func() { m.served(a, handle, took) })
}

func (m *model) served(a *attempt, handle dfpguard.Handle, took time.Duration) {
	if m.live[handle] != a {
		return // Cancelled.
	}
	delete(m.live, handle)
	a.running = false
	a.runs++
	m.res.runs++
	m.release()
	m.apply(m.guard.Done(m.clock(), handle, took, false))
	switch {
	case a.ended:
		m.res.wasted++
	case a.stage+1 < m.sc.stages:
		a.stage++
		m.after(nestedCallDelay, func() {
			if !a.ended {
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
	a.ended = true
	m.res.goodput[m.now/tenth]++
	if a.first >= m.sc.trigger && a.first < m.sc.end {
		m.res.completed[a.class.importance]++
		m.res.perOrganisation[a.class.organisation]++
	}
}

// timeout ends an attempt at its deadline. Only ModeAdaptive cancels its call.
func (m *model) timeout(a *attempt) {
	if a.ended {
		return
	}
	if m.sc.mode == dfpguard.ModeAdaptive && m.live[a.handle] == a {
		delete(m.live, a.handle)
		if a.running {
			m.res.runs++
			m.res.wasted++
			m.release()
		}
		m.apply(m.guard.Cancel(m.clock(), a.handle))
	}
	m.fail(a, 0)
}

// fail ends an attempt; the caller may repeat the request.
func (m *model) fail(a *attempt, retryAfter time.Duration) {
	a.ended = true
	m.res.wasted += a.runs
	if a.repeats >= m.sc.retries {
		return
	}
	backoff := m.sc.backoff/2 + time.Duration(m.rng.Int64N(int64(m.sc.backoff)))
	if m.sc.honourRetryAfter {
		backoff = max(backoff, retryAfter)
	}
	repeat := &attempt{class: a.class, repeats: a.repeats + 1, first: a.first}
	m.after(backoff, func() { m.try(repeat) })
}
