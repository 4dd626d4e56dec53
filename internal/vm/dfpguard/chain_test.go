package dfpguard_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/zone/dfproute"
)

// chainFleet simulates, in virtual time, entry nodes whose requests make calls in sequence to a deep service, by
// way of backend servers with room. The entry nodes know of the deep service only by the levels that come back
// with outcomes. Callers repeat once what was refused, after Retry-After.
type chainFleet struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	order   uint64
	handles dfpguard.Handle
	deep    []*deepServer
	// entries holds the levels that the requests of each entry node have met; entryCount is their number.
	entries    []*dfproute.ChainLevels
	entryCount int
	// hanging is the part of the calls to the deep service that are never answered.
	hanging float64
	// hops holds the levels that the calls of each backend server in between have met: those of the service that
	// calls the deep one first.
	hops   [chainHops][]*dfproute.ChainLevels
	routes []chainRoute
	// served and deepRuns count by second of virtual time: requests served, and calls that ran at the deep service.
	served, deepRuns []int
}

// chainRoute is one route of an entry node.
type chainRoute struct {
	name string
	// perSecond is the rate of requests over all entry nodes.
	perSecond float64
	// work is the time before the first call to the deep service.
	work time.Duration
	// chains is how many sequences of calls a request makes at once, and calls the number of calls in each.
	chains, calls int
	// hops is the number of services between entry and deep service.
	hops    int
	timeout time.Duration
}

// deepCalls is what is left of one sequence of calls to the deep service.
type deepCalls struct {
	number int
	// caller holds the levels of the backend server that makes the calls.
	caller *dfproute.ChainLevels
	// expires is when the request ends, in virtual time, and gone reports whether it has ended before.
	expires time.Duration
	gone    func() bool
	// end receives whether all calls succeeded.
	end func(ok bool)
}

// deepServer is one backend server of the deep service behind its guard.
type deepServer struct {
	guard *dfpguard.Guard
	// ended receives the outcome of each call.
	ended map[dfpguard.Handle]func(ok bool)
}

const (
	chainHops     = 3
	serversPerHop = 4
	deepSlots     = 35
	deepWork      = 40 * time.Millisecond
	deepTimeout   = 700 * time.Millisecond
	// betweenDeepCalls is the time from the end of one call of a sequence to the next.
	betweenDeepCalls = 4 * time.Millisecond
	chainRetry       = time.Second
	callerDeadline   = 5 * time.Second
	// minServed is the least part to be served of the requests for which the deep service has room.
	minServed = 0.7
)

func newChainFleet(seed uint64, entries, servers int, load float64, until time.Duration) *chainFleet {
	f := &chainFleet{entryCount: entries, rng: rand.New(rand.NewPCG(seed, 1))}
	seconds := int(until/time.Second) + 1
	f.served, f.deepRuns = make([]int, seconds), make([]int, seconds)
	f.routes = []chainRoute{
		{name: "browse", perSecond: 247 * load, work: 190 * time.Millisecond, chains: 1, calls: 4, hops: 3, timeout: 1200 * time.Millisecond},
		{name: "order", perSecond: 103 * load, work: 225 * time.Millisecond, chains: 2, calls: 4, hops: 2, timeout: 1200 * time.Millisecond},
	}
	for range servers {
		f.deep = append(f.deep, &deepServer{ended: map[dfpguard.Handle]func(bool){}})
	}
	f.restart()
	for i := range f.routes {
		f.arriveNext(&f.routes[i])
	}
	f.tick()
	return f
}

// restart replaces all nodes by new processes, which know nothing of before. The calls in progress are lost.
func (f *chainFleet) restart() {
	f.entries = nil
	for range f.entryCount {
		f.entries = append(f.entries, new(dfproute.ChainLevels))
	}
	for i := range f.hops {
		f.hops[i] = nil
		for range serversPerHop {
			f.hops[i] = append(f.hops[i], new(dfproute.ChainLevels))
		}
	}
	for _, d := range f.deep {
		ended := d.ended
		d.guard, d.ended = newGuard(dfpguard.Config{Slots: deepSlots, RampTime: -1, QueueNested: true, SlotsFraction: 0.95}), map[dfpguard.Handle]func(bool){}
		for _, handle := range slices.Sorted(maps.Keys(ended)) {
			ended[handle](false)
		}
	}
}

func (f *chainFleet) clock() time.Time { return epoch.Add(f.now) }

func (f *chainFleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now + d, sequence: f.order, do: do})
}

func (f *chainFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at < until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *chainFleet) tick() {
	for _, d := range f.deep {
		d.apply(f, d.guard.Tick(f.clock()))
	}
	f.after(100*time.Millisecond, f.tick)
}

func (f *chainFleet) arriveNext(r *chainRoute) {
	f.after(time.Duration(f.rng.ExpFloat64()/r.perSecond*float64(time.Second)), func() {
		f.request(r, f.rng.IntN(f.entryCount), 1, f.now+callerDeadline)
		f.arriveNext(r)
	})
}

// request sends a request to an entry node.
func (f *chainFleet) request(r *chainRoute, entry, repeats int, deadline time.Duration) {
	rank := f.rng.IntN(int(dfpcall.Critical) * dfpcall.Cohorts)
	importance, cohort := dfpcall.Importance(rank/dfpcall.Cohorts), uint8(dfpcall.Cohorts-1-rank%dfpcall.Cohorts)
	levels := f.entries[entry]
	failed := func(after time.Duration) {
		if repeats > 0 && f.now+after < deadline {
			f.after(after, func() { f.request(r, f.rng.IntN(f.entryCount), repeats-1, deadline) })
		}
	}
	if !levels.Admits(f.clock(), r.name, importance, cohort) {
		failed(chainRetry/2 + time.Duration(f.rng.Int64N(int64(chainRetry))))
		return
	}
	expires := f.now + r.timeout
	open, ended := r.chains, false
	first := f.hops[r.hops-1][f.rng.IntN(serversPerHop)]
	end := func(ok bool) {
		if ended {
			return
		}
		if ok {
			if open--; open > 0 {
				return
			}
		}
		ended = true
		levels.Observe(f.clock(), r.name, first.Level(f.clock(), ""))
		if ok {
			f.served[f.now/time.Second]++
		} else {
			failed(0)
		}
	}
	f.after(r.timeout, func() { end(false) })
	f.after(time.Duration((0.5+f.rng.Float64())*float64(r.work)), func() {
		for range r.chains {
			path := []*dfproute.ChainLevels{first}
			for hop := r.hops - 2; hop >= 0; hop-- {
				path = append(path, f.hops[hop][f.rng.IntN(serversPerHop)])
			}
			f.callDeep(deepCalls{
				number: r.calls, caller: path[len(path)-1], expires: expires, gone: func() bool { return ended },
				end: func(ok bool) {
					for i := len(path) - 2; i >= 0; i-- {
						path[i].Observe(f.clock(), "", path[i+1].Level(f.clock(), ""))
					}
					end(ok)
				},
			})
		}
	})
}

// callDeep makes the calls of a sequence, one after the other.
func (f *chainFleet) callDeep(calls deepCalls) {
	if calls.number == 0 {
		calls.end(true)
		return
	}
	if calls.gone() {
		return
	}
	d := f.deep[f.rng.IntN(len(f.deep))]
	f.handles++
	handle := f.handles
	d.ended[handle] = func(ok bool) {
		calls.caller.Observe(f.clock(), "", d.guard.Load(f.clock()).Level())
		if !ok {
			calls.end(false)
			return
		}
		calls.number--
		f.after(betweenDeepCalls, func() { f.callDeep(calls) })
	}
	timeout := min(deepTimeout, calls.expires-f.now)
	f.after(timeout, func() { d.cancel(f, handle) })
	decision, effects := d.guard.Arrive(f.clock(), dfpguard.Request{Handle: handle, Importance: dfpcall.Critical, Deadline: f.clock().Add(timeout)})
	d.apply(f, effects)
	switch decision.(type) {
	case *dfpguard.Start:
		d.start(f, handle)
	case *dfpguard.Refuse:
		d.end(handle, false)
	}
}

func (d *deepServer) start(f *chainFleet, handle dfpguard.Handle) {
	guard := d.guard
	if f.rng.Float64() < f.hanging {
		return
	}
	took := time.Duration((0.5 + f.rng.Float64()) * float64(deepWork))
	f.after(took, func() {
		if d.guard != guard || d.ended[handle] == nil {
			return
		}
		f.deepRuns[f.now/time.Second]++
		end := d.ended[handle]
		delete(d.ended, handle)
		d.apply(f, guard.Done(f.clock(), handle, took, false))
		end(true)
	})
}

func (d *deepServer) end(handle dfpguard.Handle, ok bool) {
	if end := d.ended[handle]; end != nil {
		delete(d.ended, handle)
		end(ok)
	}
}

func (d *deepServer) cancel(f *chainFleet, handle dfpguard.Handle) {
	if d.ended[handle] != nil {
		d.apply(f, d.guard.Cancel(f.clock(), handle))
		d.end(handle, false)
	}
}

func (d *deepServer) apply(f *chainFleet, effects dfpguard.Effects) {
	for _, h := range effects.Start {
		d.start(f, h)
	}
	for _, r := range effects.Refuse {
		d.end(r.Handle, false)
	}
}

// TestDeepServiceBeyondCapacity guards against an overload of a deep service that entry nodes sustain, by probes or by
// a level that swings, also after a restart of all nodes: each of several calls in sequence is late then, and nearly
// all requests fail for one of them. It runs several times the load that few backend servers take.
func TestDeepServiceBeyondCapacity(t *testing.T) {
	for _, tc := range []struct {
		name             string
		entries, servers int
		// load is in multiples of the usual one.
		load float64
		// hanging is the part of the calls to the deep service that are never answered.
		hanging float64
	}{
		{"two backend servers", 16, 2, 1, 0},
		{"two backend servers, half more load", 16, 2, 1.5, 0},
		{"one backend server", 16, 1, 1, 0},
		{"one backend server, half more load", 16, 1, 1.5, 0},
		{"one backend server, half more load, many entry nodes", 48, 1, 1.5, 0},
		{"one backend server, thrice the load, many entry nodes", 96, 1, 3, 0},
		{"two backend servers, one call in fifty hangs", 16, 2, 1, 0.02},
		{"two backend servers, one call in ten hangs", 16, 2, 1, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const restart, stop = 20, 40
			f := newChainFleet(7, tc.entries, tc.servers, tc.load, stop*time.Second)
			f.hanging = tc.hanging
			f.run(restart * time.Second)
			f.restart()
			f.run(stop * time.Second)
			perRequest, rate := 0.0, 0.0
			for _, r := range f.routes {
				perRequest += r.perSecond * float64(r.chains*r.calls)
				rate += r.perSecond
			}
			meanWork := (1-tc.hanging)*deepWork.Seconds() + tc.hanging*deepTimeout.Seconds()
			capacity := float64(tc.servers) * 0.95 * deepSlots / meanWork
			possible := min(rate, capacity/(perRequest/rate))
			sum := func(counts []int, from, to int) float64 {
				n := 0
				for _, c := range counts[from:to] {
					n += c
				}
				return float64(n) / float64(to-from)
			}
			t.Logf("possible %.0f of %.0f a second; served %v; deep %v", possible, rate, f.served, f.deepRuns)
			t.Logf("before %.2f, 4 to 19 s after the restart %.2f of what is possible", sum(f.served, 8, restart)/possible, sum(f.served, restart+4, stop-1)/possible)
			assert.Check(t, sum(f.served, 8, restart) > minServed*possible)
			assert.Check(t, sum(f.served, restart+4, stop-1) > minServed*possible)
		})
	}
}
