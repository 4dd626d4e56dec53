package dfpquota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/zone/dfpquota"
)

var epoch = time.Unix(1000, 0)

var config = dfpquota.Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// simulation is a fleet of limiters in virtual time whose messages take linkDelay.
type simulation struct {
	now      time.Time
	limiters map[string]*dfpquota.Limiter
	// disconnected nodes neither send nor receive messages.
	disconnected map[string]bool
	inTransit    []delivery
	waiting      []waiting
	// allocator is the address that new processes report to.
	allocator string
	// changes holds each node's pending change of allocator.
	changes map[string]allocatorChange
	// grantedAt holds the times at which requests were granted, by organisation.
	grantedAt map[string][]time.Time
	// requests counts all requests.
	requests int
	store    recordStore
}

// recordStore is a store that holds the record of advances.
type recordStore struct {
	record   []dfpquota.Amount
	revision int
	down     bool
	// known is the revision that each process last read or wrote.
	known map[*dfpquota.Limiter]int
	calls []storeCall
	// writes counts the calls that write.
	writes int
}

// storeCall is a call to the store on its way. Its answer arrives storeDelay after it was sent.
type storeCall struct {
	arrives time.Time
	limiter *dfpquota.Limiter
	call    dfpquota.StoreCall
	answer  func()
}

// storeDelay is the time from a call to the store to its answer, from another region than the store's.
const storeDelay = 45 * time.Millisecond

// advanceStore sends the calls that are due, and carries out those that arrive.
func (sim *simulation) advanceStore() {
	for i := range len(sim.limiters) {
		limiter := sim.limiters[name(i)]
		if call := limiter.StoreCall(sim.now); call != nil {
			sim.store.calls = append(sim.store.calls, storeCall{arrives: sim.now.Add(storeDelay / 2), limiter: limiter, call: call})
		}
	}
	rest := sim.store.calls[:0]
	for _, c := range sim.store.calls {
		switch {
		case c.answer == nil && !c.arrives.After(sim.now):
			c.answer = sim.store.carryOut(sim, c)
			rest = append(rest, c)
		case c.answer != nil && !c.arrives.Add(storeDelay/2).After(sim.now):
			c.answer()
		default:
			rest = append(rest, c)
		}
	}
	sim.store.calls = rest
}

// carryOut carries out a call at the store and returns what its answer causes.
func (s *recordStore) carryOut(sim *simulation, c storeCall) (answer func()) {
	switch call := c.call.(type) {
	case *dfpquota.ReadRecord:
		if s.down {
			return func() { c.limiter.HandleRecord(sim.now, nil, false) }
		}
		s.known[c.limiter] = s.revision
		record := s.record
		return func() { c.limiter.HandleRecord(sim.now, record, true) }
	case *dfpquota.WriteRecord:
		if s.down || s.known[c.limiter] != s.revision {
			return func() { c.limiter.HandleWritten(sim.now, false) }
		}
		s.revision++
		s.writes++
		s.known[c.limiter], s.record = s.revision, call.Record
		return func() { c.limiter.HandleWritten(sim.now, true) }
	}
	panic("unknown call")
}

// waiting is a request for which Take is called again when it is due.
type waiting struct {
	due          time.Time
	organisation string
	node         string
	try          int
	refused      func()
}

// allocatorChange is a change of allocator that one node has not seen yet.
type allocatorChange struct {
	due       time.Time
	allocator string
}

// delivery is a message in transit.
type delivery struct {
	due      time.Time
	from, to string
	message  dfpquota.Message
}

const (
	linkDelay        = 20 * time.Millisecond
	step             = 10 * time.Millisecond
	testOrganisation = "waldspiel"
)

func name(i int) string { return fmt.Sprintf("node-%02d", i) }

func newSimulation(nodes int, organisations ...dfpquota.Organisation) *simulation {
	sim := &simulation{
		now: epoch, allocator: name(0), limiters: map[string]*dfpquota.Limiter{}, disconnected: map[string]bool{},
		changes: map[string]allocatorChange{}, grantedAt: map[string][]time.Time{},
		store: recordStore{known: map[*dfpquota.Limiter]int{}},
	}
	for i := range nodes {
		sim.start(name(i), nodes, organisations...)
	}
	return sim
}

// start starts a node, or replaces its process by a new one.
func (sim *simulation) start(node string, nodes int, organisations ...dfpquota.Organisation) {
	cfg := config
	cfg.Self = node
	limiter := dfpquota.New(sim.now, cfg)
	limiter.SetRules(sim.now, organisations)
	limiter.SetFleet(sim.now, dfpquota.Fleet{Nodes: nodes, Allocator: sim.allocator})
	sim.limiters[node] = limiter
}

func (sim *simulation) send(from string, sends []dfpquota.Send) {
	for _, s := range sends {
		if !sim.disconnected[from] && !sim.disconnected[s.To] {
			sim.inTransit = append(sim.inTransit, delivery{sim.now.Add(linkDelay), from, s.To, s.Message})
		}
	}
}

// maxChangeDelay is the longest time that a node takes to learn of another allocator.
const maxChangeDelay = 500 * time.Millisecond

// changeAllocator makes another node the allocator. Each node learns of it after a random delay.
func (sim *simulation) changeAllocator(allocator string, rnd *rand.Rand) {
	sim.allocator = allocator
	for i := range len(sim.limiters) {
		sim.changes[name(i)] = allocatorChange{sim.now.Add(time.Duration(rnd.Int64N(int64(maxChangeDelay)))), allocator}
	}
}

// advance moves the time forward by one step.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(step)
	sim.advanceStore()
	for i := range len(sim.limiters) {
		if change, found := sim.changes[name(i)]; found && !change.due.After(sim.now) {
			delete(sim.changes, name(i))
			sim.send(name(i), sim.limiters[name(i)].SetFleet(sim.now, dfpquota.Fleet{Nodes: len(sim.limiters), Allocator: change.allocator}))
		}
	}
	due := sim.inTransit
	sim.inTransit = nil
	for _, d := range due {
		switch {
		case sim.disconnected[d.from] || sim.disconnected[d.to]:
		case d.due.After(sim.now):
			sim.inTransit = append(sim.inTransit, d)
		default:
			sim.send(d.to, sim.limiters[d.to].Handle(sim.now, d.from, d.message))
		}
	}
	again := sim.waiting
	sim.waiting = nil
	for _, r := range again {
		if r.due.After(sim.now) {
			sim.waiting = append(sim.waiting, r)
		} else {
			sim.decide(r)
		}
	}
	if sim.now.Sub(epoch)%dfpquota.TickInterval != 0 {
		return
	}
	for i := range len(sim.limiters) {
		sim.send(name(i), sim.limiters[name(i)].Tick(sim.now))
	}
}

// request makes one request of testOrganisation at a node. If the request has to wait, Take is called
// again after the answer's arrival.
func (sim *simulation) request(node string) { sim.requestOf(testOrganisation, node, nil) }

// requestOf makes one request of an organisation, and calls refused, if not nil, if it does not run.
func (sim *simulation) requestOf(organisation, node string, refused func()) {
	sim.requests++
	sim.decide(waiting{organisation: organisation, node: node, refused: refused})
}

func (sim *simulation) decide(r waiting) {
	result, sends := sim.limiters[r.node].Take(sim.now, r.organisation, r.try > 0)
	sim.send(r.node, sends)
	switch result.(type) {
	case *dfpquota.Granted:
		sim.grantedAt[r.organisation] = append(sim.grantedAt[r.organisation], sim.now)
		return
	case *dfpquota.Waiting:
		if r.try < 2 {
			r.due, r.try = sim.now.Add(2*linkDelay+step), r.try+1
			sim.waiting = append(sim.waiting, r)
			return
		}
	}
	if r.refused != nil {
		r.refused()
	}
}

// maxPerWindow returns the largest number of requests of testOrganisation that ran in one window.
func (sim *simulation) maxPerWindow() int { return sim.maxPerWindowOf(testOrganisation) }

func (sim *simulation) maxPerWindowOf(organisation string) int {
	return maxInWindow(sim.grantedAt[organisation])
}

// maxInWindow returns the largest number of times in one window.
func maxInWindow(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= config.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowed returns the number of requests that a window may run.
func allowed(o dfpquota.Organisation) int {
	return int((o.Rate*config.Window.Seconds()+o.Burst)*(1+config.Overage) + config.Slack)
}

// TestSurgeStaysWithinRate overloads a fleet while nodes are disconnected, restart, or all restart at
// once, and while the allocator changes: no window may run more than the rate and its tolerance allow.
func TestSurgeStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := dfpquota.Organisation{Name: testOrganisation, Rate: float64(rapid.IntRange(10, 300).Draw(t, "rate"))}
		o.Burst = o.Rate
		nodes := rapid.IntRange(2, 20).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sim := newSimulation(nodes, o)
		for range 1200 {
			sim.advance()
			switch p := rnd.Float64(); {
			case p < 0.001:
				for i := range nodes {
					sim.start(name(i), nodes, o)
				}
				sim.inTransit = nil
			case p < 0.004:
				sim.start(name(rnd.IntN(nodes)), nodes, o)
			case p < 0.008:
				node := name(rnd.IntN(nodes))
				sim.disconnected[node] = !sim.disconnected[node]
			case p < 0.011:
				sim.changeAllocator(name(rnd.IntN(nodes)), rnd)
			}
			for range 1 + int(3*o.Rate*step.Seconds()) {
				sim.request(name(rnd.IntN(nodes)))
			}
		}
		if most := sim.maxPerWindow(); most > allowed(o) {
			t.Fatalf("%d requests ran in a window that allows %d (%d nodes, rate %g)", most, allowed(o), nodes, o.Rate)
		}
	})
}

// TestAllocatorReconnects disconnects the allocator in a surge: its reserve, unused in that time, must
// not add to the floors that the other nodes used.
func TestAllocatorReconnects(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		o := dfpquota.Organisation{Name: testOrganisation, Rate: 130, Burst: 130}
		sim := newSimulation(5, o)
		for sim.now.Sub(epoch) < 25*time.Second {
			sim.advance()
			since := sim.now.Sub(epoch) - 10*time.Second
			sim.disconnected[name(0)] = since >= 0 && since < outage
			for i := range 4 {
				sim.request(name(i + 1))
			}
		}
		assert.Assert(t, sim.maxPerWindow() <= allowed(o), "%d of %d ran after %v", sim.maxPerWindow(), allowed(o), outage)
	}
}

// refusedAround sends four fifths of a rate of 100 to 12 nodes, calls event 15 s after the start, and
// returns the fraction of requests that was refused between two times. The test fails if a window runs
// more than allowed.
func refusedAround(t *testing.T, event func(sim *simulation, rnd *rand.Rand), from, to time.Duration) float64 {
	t.Helper()
	o := dfpquota.Organisation{Name: testOrganisation, Rate: 100, Burst: 100}
	const nodes = 12
	sim := newSimulation(nodes, o)
	rnd := rand.New(rand.NewPCG(3, 3))
	requests, ran := 0, 0
	due := 0.0
	for sim.now.Sub(epoch) < to {
		if sim.now.Sub(epoch) == 15*time.Second {
			event(sim, rnd)
		}
		if sim.now.Sub(epoch) == from {
			requests, ran = sim.requests, len(sim.grantedAt[testOrganisation])
		}
		sim.advance()
		if sim.now.Sub(epoch) < 8*time.Second {
			continue
		}
		for due += step.Seconds() * 0.8 * (o.Rate + o.Burst/config.Window.Seconds()) * 2 * rnd.Float64(); due >= 1; due-- {
			sim.request(name(rnd.IntN(nodes)))
		}
	}
	assert.Assert(t, sim.maxPerWindow() <= allowed(o))
	return 1 - float64(len(sim.grantedAt[testOrganisation])-ran)/float64(sim.requests-requests)
}

// TestPlannedAllocatorChange replaces the allocator: its successor must grant from its reserve at once,
// so that few requests are refused.
func TestPlannedAllocatorChange(t *testing.T) {
	refused := refusedAround(t, func(sim *simulation, rnd *rand.Rand) { sim.changeAllocator(name(5), rnd) }, 15*time.Second, 20*time.Second)
	assert.Assert(t, refused < 0.05, "%.3f refused", refused)
}

// TestPlannedAllocatorChangeTwice replaces the allocator, and its successor in turn before that is established, as when
// nodes are stopped and started one after another: the handovers must bridge the whole time.
func TestPlannedAllocatorChangeTwice(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 1600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			change := func(sim *simulation, rnd *rand.Rand) {
				sim.changeAllocator(name(5), rnd)
				for end := sim.now.Add(pause); sim.now.Before(end); {
					sim.advance()
					sim.request(name(rnd.IntN(len(sim.limiters))))
				}
				sim.changeAllocator(name(2), rnd)
			}
			refused := refusedAround(t, change, 15*time.Second+pause, 21*time.Second)
			assert.Assert(t, refused < 0.05, "%.3f refused", refused)
		})
	}
}

// TestWholeFleetRestarts restarts all nodes at once, as after a power failure: they must not be limited
// to their floors for long.
func TestWholeFleetRestarts(t *testing.T) {
	restart := func(sim *simulation, _ *rand.Rand) {
		nodes := len(sim.limiters)
		for i := range nodes {
			sim.start(name(i), nodes, dfpquota.Organisation{Name: testOrganisation, Rate: 100, Burst: 100})
		}
		sim.inTransit, sim.waiting = nil, nil
	}
	refused := refusedAround(t, restart, 15500*time.Millisecond, 18*time.Second)
	assert.Assert(t, refused < 0.1, "%.3f refused", refused)
}

// TestFloodIsServedEvenly overloads a fleet for 22 s: after the first window no second may run much more
// than its even part, so that a window stays within the rate if all nodes restart at any time in it. That
// holds also if the allocator hands over its reserves meanwhile.
func TestFloodIsServedEvenly(t *testing.T) {
	for _, tc := range []struct {
		name       string
		handedOver bool
	}{
		{"one allocator", false},
		{"handed over", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := dfpquota.Organisation{Name: testOrganisation, Rate: 150, Burst: 150}
			const nodes = 12
			sim := newSimulation(nodes, o)
			rnd := rand.New(rand.NewPCG(9, 9))
			for sim.now.Sub(epoch) < 30*time.Second {
				sim.advance()
				if sim.now.Sub(epoch) < 8*time.Second {
					continue
				}
				if tc.handedOver && sim.now.Sub(epoch) == 18*time.Second {
					sim.changeAllocator(name(5), rnd)
				}
				for range 1 + int(6*o.Rate*step.Seconds()) {
					sim.request(name(rnd.IntN(nodes)))
				}
			}
			even := o.Rate + o.Burst/config.Window.Seconds()
			perSecond := map[int]int{}
			for _, at := range sim.grantedAt[testOrganisation] {
				perSecond[int(at.Sub(epoch)/time.Second)]++
			}
			for second := 14; second < 30; second++ {
				assert.Assert(t, float64(perSecond[second]) < 1.5*even, "%d ran in second %d, evenly %.0f", perSecond[second], second, even)
			}
			assert.Assert(t, sim.maxPerWindow() <= allowed(o))
		})
	}
}

// TestFewAreRefusedWithinRate sends nine tenths of the rate in batches to random nodes: fewer than 2 %
// may be refused.
func TestFewAreRefusedWithinRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rate  float64
		nodes int
		batch int
	}{
		{"one at a time", 60, 18, 1},
		{"in batches", 60, 18, 8},
		{"small rate", 20, 18, 2},
		{"large rate", 300, 18, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := dfpquota.Organisation{Name: testOrganisation, Rate: tc.rate, Burst: tc.rate}
			sim := newSimulation(tc.nodes, o)
			rnd := rand.New(rand.NewPCG(7, 7))
			for sim.now.Sub(epoch) < 10*time.Second {
				sim.advance()
			}
			due := 0.0
			for sim.now.Sub(epoch) < 60*time.Second {
				sim.advance()
				due += step.Seconds() * 0.9 * tc.rate / float64(tc.batch) * 2 * rnd.Float64()
				for ; due >= 1; due-- {
					node := name(rnd.IntN(tc.nodes))
					for range tc.batch {
						sim.request(node)
					}
				}
			}
			refused := 1 - float64(len(sim.grantedAt[testOrganisation]))/float64(sim.requests)
			assert.Assert(t, refused < 0.02, "%.3f of %d refused", refused, sim.requests)
			assert.Assert(t, sim.maxPerWindow() <= allowed(o))
		})
	}
}

func TestNoLimitRefusesNothing(t *testing.T) {
	limiter := dfpquota.New(epoch, config)
	limiter.SetRules(epoch, []dfpquota.Organisation{{Name: testOrganisation}})
	for _, organisation := range []string{testOrganisation, "nobody"} {
		for range 100 {
			result, sends := limiter.Take(epoch, organisation, false)
			assert.DeepEqual(t, result, &dfpquota.Granted{At: epoch})
			assert.Equal(t, len(sends), 0)
		}
	}
}

// TestUnknownFleetGrantsNothing runs a node that has rules but does not know the fleet, as after all
// nodes have lost power: it must not use the whole fleet's rate by itself.
func TestUnknownFleetGrantsNothing(t *testing.T) {
	limiter := dfpquota.New(epoch, config)
	limiter.SetRules(epoch, []dfpquota.Organisation{{Name: testOrganisation, Rate: 100, Burst: 100}})
	ran := 0
	for now := epoch; now.Sub(epoch) < 2*time.Second; now = now.Add(step) {
		limiter.SetFleet(now, dfpquota.Fleet{})
		result, _ := limiter.Take(now, testOrganisation, false)
		if _, ok := result.(*dfpquota.Granted); ok {
			ran++
		}
		limiter.Tick(now)
	}
	assert.Equal(t, ran, 0)
}

func TestNewProcessStartsWithEmptyBucket(t *testing.T) {
	limiter := dfpquota.New(epoch, config)
	limiter.SetRules(epoch, []dfpquota.Organisation{{Name: testOrganisation, Rate: 100, Burst: 100}})
	result, _ := limiter.Take(epoch, testOrganisation, false)
	refused, ok := result.(*dfpquota.Refused)
	assert.Assert(t, ok)
	assert.Assert(t, refused.RetryAfter > 0)
}

func TestLoweredRateAppliesAtOnce(t *testing.T) {
	o := dfpquota.Organisation{Name: testOrganisation, Rate: 400, Burst: 400}
	sim := newSimulation(4, o)
	for sim.now.Sub(epoch) < 10*time.Second {
		sim.advance()
	}
	o.Rate, o.Burst = 4, 4
	for _, limiter := range sim.limiters {
		limiter.SetRules(sim.now, []dfpquota.Organisation{o})
	}
	lowered := sim.now
	for sim.now.Sub(lowered) < 20*time.Second {
		sim.advance()
		sim.request(name(int(sim.now.UnixNano()/int64(step)) % 4))
	}
	late := 0
	for _, at := range sim.grantedAt[testOrganisation] {
		if at.Sub(lowered) > config.Window {
			late++
		}
	}
	windows := math.Ceil(15 / config.Window.Seconds())
	assert.Assert(t, float64(late) <= windows*float64(allowed(o)), "%d ran", late)
}
