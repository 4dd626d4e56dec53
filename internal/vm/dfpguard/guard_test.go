package dfpguard_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

var epoch = time.Unix(1000, 0)

func newGuard(cfg dfpguard.Config) *dfpguard.Guard {
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	return dfpguard.New(cfg)
}

// warmUp gives the guard an estimate of the service time.
func warmUp(g *dfpguard.Guard, service time.Duration) {
	for h := dfpguard.Handle(1_000_000); h < 1_000_100; h++ {
		g.Arrive(epoch, dfpguard.Request{Handle: h, Importance: dfpcall.Critical})
		g.Done(epoch, h, service, false)
	}
}

func TestQueueOrder(t *testing.T) {
	request := func(h dfpguard.Handle, organisation string, importance dfpcall.Importance, depth uint8) dfpguard.Request {
		return dfpguard.Request{Handle: h, Organisation: organisation, Importance: importance, Depth: depth}
	}
	for _, tc := range []struct {
		name    string
		waiting []dfpguard.Request
		want    []dfpguard.Handle
	}{
		{"importance first", []dfpguard.Request{
			request(1, "a", dfpcall.Low, 9), request(2, "a", dfpcall.Critical, 0), request(3, "a", dfpcall.High, 0),
		}, []dfpguard.Handle{2, 3, 1}},
		{"then fair between organisations", []dfpguard.Request{
			request(1, "a", dfpcall.High, 0), request(2, "a", dfpcall.High, 0), request(3, "a", dfpcall.High, 0),
			request(4, "b", dfpcall.High, 0), request(5, "c", dfpcall.High, 0),
		}, []dfpguard.Handle{1, 4, 5, 2, 3}},
		{"then depth, then age", []dfpguard.Request{
			request(1, "a", dfpcall.High, 0), request(2, "a", dfpcall.High, 3), request(3, "a", dfpcall.High, 0), request(4, "a", dfpcall.High, 1),
		}, []dfpguard.Handle{2, 4, 1, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: 10})
			decision, _ := g.Arrive(epoch, request(100, "z", dfpcall.Critical, 0))
			assert.DeepEqual(t, decision, &dfpguard.Start{})
			for _, w := range tc.waiting {
				decision, _ := g.Arrive(epoch, w)
				assert.DeepEqual(t, decision, &dfpguard.Wait{})
			}
			var got []dfpguard.Handle
			last := dfpguard.Handle(100)
			for range tc.want {
				effects := g.Done(epoch, last, time.Millisecond, false)
				assert.Equal(t, len(effects.Start), 1)
				last = effects.Start[0]
				got = append(got, last)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func TestFullQueue(t *testing.T) {
	type arrival struct {
		organisation string
		importance   dfpcall.Importance
		depth        uint8
	}
	for _, tc := range []struct {
		name    string
		waiting []arrival
		arrival arrival
		// displaced is the index of the waiting request that is refused; -1 if the arrival is refused.
		displaced int
	}{
		{"a more important arrival displaces", []arrival{{"a", dfpcall.Low, 0}, {"a", dfpcall.High, 0}}, arrival{"b", dfpcall.Critical, 0}, 0},
		{"the newest of the least important is displaced", []arrival{{"a", dfpcall.Low, 0}, {"a", dfpcall.Low, 0}}, arrival{"b", dfpcall.High, 0}, 1},
		{"a less important arrival does not displace", []arrival{{"a", dfpcall.High, 0}, {"a", dfpcall.High, 0}}, arrival{"b", dfpcall.Low, 0}, -1},
		{"the organisation with the most waiting is displaced", []arrival{{"a", dfpcall.High, 0}, {"a", dfpcall.High, 5}}, arrival{"b", dfpcall.High, 0}, 0},
		{"no displacement among equals", []arrival{{"a", dfpcall.High, 0}, {"b", dfpcall.High, 0}}, arrival{"b", dfpcall.High, 0}, -1},
		{"a deeper call displaces a less deep one of its organisation", []arrival{{"a", dfpcall.High, 0}, {"b", dfpcall.High, 0}}, arrival{"b", dfpcall.High, 2}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: len(tc.waiting)})
			g.Arrive(epoch, dfpguard.Request{Handle: 100, Importance: dfpcall.Critical})
			for i, w := range tc.waiting {
				g.Arrive(epoch, dfpguard.Request{Handle: dfpguard.Handle(i), Organisation: w.organisation, Importance: w.importance, Depth: w.depth})
			}
			decision, effects := g.Arrive(epoch, dfpguard.Request{Handle: 50, Organisation: tc.arrival.organisation, Importance: tc.arrival.importance, Depth: tc.arrival.depth})
			if tc.displaced < 0 {
				refuse := decision.(*dfpguard.Refuse)
				assert.Equal(t, refuse.Reason, dfpcall.ReasonOverload)
				assert.Assert(t, refuse.RetryAfter > 0)
				assert.Equal(t, len(effects.Refuse), 0)
				return
			}
			assert.DeepEqual(t, decision, &dfpguard.Wait{})
			assert.Equal(t, len(effects.Refuse), 1)
			assert.Equal(t, effects.Refuse[0].Handle, dfpguard.Handle(tc.displaced))
			assert.Assert(t, effects.Refuse[0].RetryAfter > 0)
		})
	}
}

func TestDeadline(t *testing.T) {
	for _, tc := range []struct {
		name      string
		occupied  int
		remaining time.Duration
		want      dfpguard.Decision
	}{
		{"enough time", 4, 25 * time.Millisecond, &dfpguard.Wait{}},
		{"too late after the queue delay", 4, 12 * time.Millisecond, nil},
		{"too late for the service time", 3, 5 * time.Millisecond, nil},
		{"deadline has passed", 0, -time.Millisecond, nil},
		{"few running: the estimate is ignored", 0, 5 * time.Millisecond, &dfpguard.Start{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGuard(dfpguard.Config{Slots: 4, RampTime: -1})
			warmUp(g, 10*time.Millisecond)
			for h := range tc.occupied {
				g.Arrive(epoch, dfpguard.Request{Handle: dfpguard.Handle(h)})
			}
			decision, _ := g.Arrive(epoch, dfpguard.Request{Handle: 50, Deadline: epoch.Add(tc.remaining)})
			if tc.want != nil {
				assert.DeepEqual(t, decision, tc.want)
				return
			}
			assert.Equal(t, decision.(*dfpguard.Refuse).Reason, dfpcall.ReasonDeadline)
		})
	}
}

func TestWaitingBecomesTooLate(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 1, RampTime: -1})
	warmUp(g, 10*time.Millisecond)
	g.Arrive(epoch, dfpguard.Request{Handle: 1})
	decision, _ := g.Arrive(epoch, dfpguard.Request{Handle: 2, Deadline: epoch.Add(50 * time.Millisecond)})
	assert.DeepEqual(t, decision, &dfpguard.Wait{})
	assert.Equal(t, len(g.Tick(epoch.Add(30*time.Millisecond)).Refuse), 0)
	effects := g.Tick(epoch.Add(41 * time.Millisecond))
	assert.Equal(t, len(effects.Refuse), 1)
	assert.Equal(t, effects.Refuse[0].Reason, dfpcall.ReasonDeadline)
}

func TestRamp(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 100, RampTime: 10 * time.Second})
	g.SetBackend(epoch, 100)
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{0, 25}, {5 * time.Second, 62}, {10 * time.Second, 100}, {time.Minute, 100}} {
		g.Tick(epoch.Add(tc.after))
		assert.Equal(t, g.Load(epoch.Add(tc.after)).Limit, tc.want, "after %v", tc.after)
	}
	g.SetBackend(epoch.Add(time.Hour), 40)
	assert.Equal(t, g.Load(epoch.Add(time.Hour)).Limit, 10)
}

func TestDrain(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 1})
	g.Arrive(epoch, dfpguard.Request{Handle: 1})
	g.Arrive(epoch, dfpguard.Request{Handle: 2})
	effects := g.Drain(epoch)
	assert.Equal(t, len(effects.Refuse), 1)
	assert.Equal(t, effects.Refuse[0].Reason, dfpcall.ReasonDraining)
	decision, _ := g.Arrive(epoch, dfpguard.Request{Handle: 3, Importance: dfpcall.Critical})
	assert.Equal(t, decision.(*dfpguard.Refuse).Reason, dfpcall.ReasonDraining)
	assert.Assert(t, g.Load(epoch).Draining)
	g.Done(epoch, 1, time.Second, false)
	assert.Equal(t, g.Load(epoch).InFlight, 0)
}

// TestLevelSparesMoreImportant checks that a surplus of high requests does not get critical ones refused.
// While high requests wait, the level must not rise into the critical ranks, and a critical arrival
// displaces a high request. TestGuardInvariants found the failure.
func TestLevelSparesMoreImportant(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: 2})
	g.Arrive(epoch, dfpguard.Request{Handle: 1, Importance: dfpcall.Critical})
	g.Arrive(epoch, dfpguard.Request{Handle: 2, Importance: dfpcall.High})
	g.Arrive(epoch, dfpguard.Request{Handle: 3, Importance: dfpcall.High})
	for h := dfpguard.Handle(10); h < 400; h++ {
		g.Arrive(epoch, dfpguard.Request{Handle: h, Importance: dfpcall.High, Cohort: uint8(h % dfpcall.Cohorts)})
	}
	later := epoch.Add(time.Second)
	g.Tick(later)
	assert.Assert(t, !g.Load(later).Admits(dfpcall.High, 0), "%+v", g.Load(later))
	assert.Assert(t, g.Load(later).Admits(dfpcall.Critical, 127), "%+v", g.Load(later))
	decision, effects := g.Arrive(later, dfpguard.Request{Handle: 1000, Importance: dfpcall.Critical, Cohort: 127})
	assert.DeepEqual(t, decision, &dfpguard.Wait{})
	assert.Equal(t, len(effects.Refuse), 1)
}

// TestStall checks that a backend server that hangs or fails every request is found stalled, and that it
// recovers.
func TestStall(t *testing.T) {
	const mean = 100 * time.Millisecond
	for _, tc := range []struct {
		name  string
		fails bool
	}{{"hangs", false}, {"fails fast", true}} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGuard(dfpguard.Config{Slots: 8, RampTime: -1})
			warmUp(g, mean)
			now, ran := epoch, 0
			var last dfpguard.Handle
			for h := dfpguard.Handle(1); h <= 300; h++ {
				now = now.Add(10 * time.Millisecond)
				decision, _ := g.Arrive(now, dfpguard.Request{Handle: h, Importance: dfpcall.Critical})
				if _, ok := decision.(*dfpguard.Start); !ok {
					continue
				}
				ran, last = ran+1, h
				if tc.fails {
					g.Done(now, h, time.Millisecond, true)
				}
			}
			assert.Assert(t, g.State(now).Stalled)
			assert.Assert(t, !g.Load(now).Admits(dfpcall.Critical, 0))
			assert.Equal(t, g.Load(now).Queued, 0, "waiting requests were refused")
			if tc.fails {
				// Requests run until the stall is detected, then one per second.
				assert.Assert(t, ran <= 61+3, "%d ran", ran)
				last = 1000
				now = now.Add(time.Second)
				g.Arrive(now, dfpguard.Request{Handle: last, Importance: dfpcall.Critical})
			}
			g.Done(now, last, mean, false)
			decision, _ := g.Arrive(now, dfpguard.Request{Handle: 2000, Importance: dfpcall.Critical})
			assert.DeepEqual(t, decision, &dfpguard.Start{})
		})
	}
}

// TestNoStallWithoutCause checks that a backend server is not found stalled after an idle period, while all
// its requests are slow, or when requests fail without its fault.
func TestNoStallWithoutCause(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 8, RampTime: -1})
	warmUp(g, 100*time.Millisecond)
	now := epoch.Add(time.Hour)
	for h := dfpguard.Handle(1); h <= 8; h++ {
		decision, _ := g.Arrive(now, dfpguard.Request{Handle: h})
		assert.DeepEqual(t, decision, &dfpguard.Start{})
	}
	assert.Assert(t, !g.State(now.Add(500*time.Millisecond)).Stalled)
	for h := dfpguard.Handle(1); h <= 7; h++ {
		now = now.Add(500 * time.Millisecond)
		g.DoneWithoutFault(now, h)
		assert.Assert(t, !g.State(now).Stalled)
	}
}

// TestFreeSlotKeepsImportance checks that a free slot goes to a request below the level only if it has the
// importance at which the level stands: no less important request runs while critical ones are refused.
func TestFreeSlotKeepsImportance(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: 1})
	for h := range dfpguard.Handle(3) {
		g.Arrive(epoch, dfpguard.Request{Handle: h, Importance: dfpcall.Critical})
	}
	g.Cancel(epoch, 0)
	g.Cancel(epoch, 1)
	assert.Equal(t, g.Load(epoch).InFlight, 0)
	for h, tc := range []struct {
		importance dfpcall.Importance
		starts     bool
	}{{dfpcall.Low, false}, {dfpcall.High, false}, {dfpcall.Critical, true}} {
		decision, _ := g.Arrive(epoch, dfpguard.Request{Handle: dfpguard.Handle(10 + h), Importance: tc.importance, Cohort: 127})
		_, started := decision.(*dfpguard.Start)
		assert.Equal(t, started, tc.starts, "%v", tc.importance)
	}
}

// TestRetryAfterSpreads checks that RetryAfter spreads refused callers over the time in which the backend
// server can serve them.
func TestRetryAfterSpreads(t *testing.T) {
	g := newGuard(dfpguard.Config{Slots: 10, RampTime: -1})
	warmUp(g, 100*time.Millisecond)
	const arrivals = 500
	earliest, latest := time.Hour, time.Duration(0)
	for h := range arrivals {
		decision, _ := g.Arrive(epoch, dfpguard.Request{Handle: dfpguard.Handle(h)})
		if refuse, ok := decision.(*dfpguard.Refuse); ok && h >= arrivals/2 {
			earliest, latest = min(earliest, refuse.RetryAfter), max(latest, refuse.RetryAfter)
		}
	}
	// At 100 requests per second, 500 requests take 5 s.
	assert.Assert(t, earliest < 2500*time.Millisecond, "earliest %v", earliest)
	assert.Assert(t, latest > 5*time.Second && latest < 7500*time.Millisecond, "latest %v", latest)
}

// TestGuardInvariants runs random operations on a guard. The guard's own panics also fail the test.
func TestGuardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			g: dfpguard.New(dfpguard.Config{
				Slots:      rapid.IntRange(1, 6).Draw(t, "slots"),
				QueueLimit: rapid.IntRange(1, 6).Draw(t, "queue limit"),
				Rand:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			}),
			now:     epoch,
			waiting: make(map[dfpguard.Handle]dfpguard.Request),
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "done": m.done, "cancel": m.cancel, "tick": m.tick, "backend": m.backend, "limit": m.limit, "": m.check,
		})
	})
}

// machine runs operations on a guard and tracks the running and waiting requests to check it against.
type machine struct {
	g       *dfpguard.Guard
	now     time.Time
	next    dfpguard.Handle
	waiting map[dfpguard.Handle]dfpguard.Request
	running []dfpguard.Handle
	// limited reports that the backend server names a rate limit.
	limited bool
}

func (m *machine) arrive(t *rapid.T) {
	m.next++
	request := dfpguard.Request{
		Handle:       m.next,
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
		Importance:   dfpcall.Importance(rapid.IntRange(0, dfpcall.ImportanceCount-1).Draw(t, "importance")),
		Cohort:       uint8(rapid.IntRange(0, dfpcall.Cohorts-1).Draw(t, "cohort")),
		Depth:        uint8(rapid.IntRange(0, 3).Draw(t, "depth")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		request.Deadline = m.now.Add(time.Duration(rapid.IntRange(-1, 100).Draw(t, "deadline")) * time.Millisecond)
	}
	decision, effects := m.g.Arrive(m.now, request)
	switch v := decision.(type) {
	case *dfpguard.Start:
		m.running = append(m.running, request.Handle)
	case *dfpguard.Wait:
		m.waiting[request.Handle] = request
	case *dfpguard.Refuse:
		m.checkRefusal(t, request, v.Reason)
	}
	for _, r := range effects.Refuse {
		if isFull(r.Reason) && m.waiting[r.Handle].Importance > request.Importance {
			t.Fatalf("%+v displaced by a less important arrival", m.waiting[r.Handle])
		}
	}
	m.apply(t, effects)
}

// isFull reports whether a request is refused because others fill the backend server's capacity.
func isFull(reason dfpcall.Reason) bool {
	return reason == dfpcall.ReasonOverload || reason == dfpcall.ReasonServerLimit
}

// checkRefusal fails if the refused request is more important than one that still waits.
func (m *machine) checkRefusal(t *rapid.T, refused dfpguard.Request, reason dfpcall.Reason) {
	if !isFull(reason) {
		return
	}
	for _, w := range m.waiting {
		if w.Importance < refused.Importance {
			t.Fatalf("%+v refused while %+v waits", refused, w)
		}
	}
	if load := m.g.Load(m.now); refused.Importance == dfpcall.Critical && load.Admits(dfpcall.High, 0) {
		t.Fatalf("a critical request is refused while %+v admits high ones", load)
	}
}

func (m *machine) apply(t *rapid.T, effects dfpguard.Effects) {
	for _, h := range effects.Start {
		if _, ok := m.waiting[h]; !ok {
			t.Fatalf("handle %d started without waiting", h)
		}
		delete(m.waiting, h)
		m.running = append(m.running, h)
	}
	for _, r := range effects.Refuse {
		if _, ok := m.waiting[r.Handle]; !ok {
			t.Fatalf("handle %d refused without waiting", r.Handle)
		}
		if r.RetryAfter <= 0 {
			t.Fatalf("handle %d refused without RetryAfter", r.Handle)
		}
		delete(m.waiting, r.Handle)
	}
}

func (m *machine) pick(t *rapid.T) (dfpguard.Handle, bool) {
	if len(m.running) == 0 {
		return 0, false
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	h := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	return h, true
}

func (m *machine) done(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
	if h, ok := m.pick(t); ok {
		m.apply(t, m.g.Done(m.now, h, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond, rapid.Bool().Draw(t, "failed")))
	}
}

func (m *machine) cancel(t *rapid.T) {
	if h, ok := m.pick(t); ok {
		m.apply(t, m.g.Cancel(m.now, h))
	}
	for h := dfpguard.Handle(1); h <= m.next; h++ {
		if _, ok := m.waiting[h]; ok {
			delete(m.waiting, h)
			m.apply(t, m.g.Cancel(m.now, h))
			return
		}
	}
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.g.Tick(m.now))
}

func (m *machine) backend(t *rapid.T) {
	m.apply(t, m.g.SetBackend(m.now, rapid.IntRange(1, 6).Draw(t, "slots")))
}

func (m *machine) limit(t *rapid.T) {
	m.limited = rapid.Bool().Draw(t, "limited")
	m.apply(t, m.g.SetRateLimit(m.now, m.limited, rapid.Float64Range(0, 50).Draw(t, "rate")))
}

func (m *machine) check(t *rapid.T) {
	load := m.g.Load(m.now)
	if load.InFlight != len(m.running) || load.Queued != len(m.waiting) {
		t.Fatalf("%+v, but %d run and %d wait", load, len(m.running), len(m.waiting))
	}
	if load.Queued > 0 && load.InFlight < load.Limit && !m.limited {
		t.Fatalf("%+v: requests wait while slots are free", load)
	}
	if s := m.g.State(m.now); load.Queued > s.QueueLimit || load.Limit > s.Slots || load.Limit < 1 {
		t.Fatalf("queue longer than its limit, or limit not between 1 and the slots: %+v", s)
	}
}
