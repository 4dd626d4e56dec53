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

// world is a fleet of keepers in virtual time whose messages take linkDelay.
type world struct {
	now     time.Time
	keepers map[string]*dfpquota.Limiter
	// cut nodes send and get no message.
	cut     map[string]bool
	wire    []letter
	waiting []waiting
	// allotter is the one that new processes find.
	allotter string
	// appointed is when each node hears of another allotter, and of which.
	appointed map[string]appointment
	// runs are the times at which requests ran.
	runs []time.Time
	// asked counts requests.
	asked int
}

// waiting is a request that is decided on again when it is due.
type waiting struct {
	due  time.Time
	node string
	try  int
}

// appointment is the news of an allotter on its way to one node.
type appointment struct {
	due      time.Time
	allotter string
}

type letter struct {
	due      time.Time
	from, to string
	message  dfpquota.Message
}

const (
	linkDelay = 20 * time.Millisecond
	step      = 10 * time.Millisecond
	buyer     = "waldspiel"
)

func name(i int) string { return fmt.Sprintf("node-%02d", i) }

func newWorld(nodes int, o dfpquota.Organisation) *world {
	w := &world{now: epoch, allotter: name(0), keepers: map[string]*dfpquota.Limiter{}, cut: map[string]bool{}, appointed: map[string]appointment{}}
	for i := range nodes {
		w.start(name(i), nodes, o)
	}
	return w
}

// start puts a new process in a node's place.
func (w *world) start(node string, nodes int, o dfpquota.Organisation) {
	cfg := config
	cfg.Self = node
	k := dfpquota.New(w.now, cfg)
	k.SetRules(w.now, []dfpquota.Organisation{o})
	k.SetFleet(w.now, dfpquota.Fleet{Nodes: nodes, Allocator: w.allotter})
	w.keepers[node] = k
}

func (w *world) send(from string, sends []dfpquota.Send) {
	for _, s := range sends {
		if !w.cut[from] && !w.cut[s.To] {
			w.wire = append(w.wire, letter{w.now.Add(linkDelay), from, s.To, s.Message})
		}
	}
}

// newsTime is how long nodes take at most to hear of another allotter.
const newsTime = 500 * time.Millisecond

// appoint makes another node the allotter; each hears of it at a time of its own.
func (w *world) appoint(allotter string, rnd *rand.Rand) {
	w.allotter = allotter
	for i := range len(w.keepers) {
		w.appointed[name(i)] = appointment{w.now.Add(time.Duration(rnd.Int64N(int64(newsTime)))), allotter}
	}
}

// advance moves the time on by one step.
func (w *world) advance() {
	w.now = w.now.Add(step)
	for i := range len(w.keepers) {
		if news, found := w.appointed[name(i)]; found && !news.due.After(w.now) {
			delete(w.appointed, name(i))
			w.send(name(i), w.keepers[name(i)].SetFleet(w.now, dfpquota.Fleet{Nodes: len(w.keepers), Allocator: news.allotter}))
		}
	}
	due := w.wire
	w.wire = nil
	for _, l := range due {
		switch {
		case w.cut[l.from] || w.cut[l.to]:
		case l.due.After(w.now):
			w.wire = append(w.wire, l)
		default:
			w.send(l.to, w.keepers[l.to].Handle(w.now, l.from, l.message))
		}
	}
	again := w.waiting
	w.waiting = nil
	for _, r := range again {
		if r.due.After(w.now) {
			w.waiting = append(w.waiting, r)
		} else {
			w.decide(r.node, r.try)
		}
	}
	if w.now.Sub(epoch)%dfpquota.TickInterval != 0 {
		return
	}
	for i := range len(w.keepers) {
		w.send(name(i), w.keepers[name(i)].Tick(w.now))
	}
}

// ask makes one request at a node. One that waits is decided on again when the answer has come.
func (w *world) ask(node string) {
	w.asked++
	w.decide(node, 0)
}

func (w *world) decide(node string, try int) {
	verdict, sends := w.keepers[node].Take(w.now, buyer, try > 0)
	w.send(node, sends)
	switch verdict.(type) {
	case *dfpquota.Granted:
		w.runs = append(w.runs, w.now)
	case *dfpquota.Waiting:
		if try < 2 {
			w.waiting = append(w.waiting, waiting{w.now.Add(2*linkDelay + step), node, try + 1})
		}
	}
}

// worst returns the most requests that ran in one window.
func (w *world) worst() int {
	most, first := 0, 0
	for last := range w.runs {
		for w.runs[last].Sub(w.runs[first]) >= config.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(o dfpquota.Organisation) int {
	return int((o.Rate*config.Window.Seconds()+o.Burst)*(1+config.Overage) + config.Slack)
}

// TestSurgeStaysWithinRate floods a fleet while nodes are cut off, restart, or all restart at once.
func TestSurgeStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := dfpquota.Organisation{Name: buyer, Rate: float64(rapid.IntRange(10, 300).Draw(t, "rate"))}
		o.Burst = o.Rate
		nodes := rapid.IntRange(2, 20).Draw(t, "nodes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newWorld(nodes, o)
		for range 1200 {
			w.advance()
			switch p := rnd.Float64(); {
			case p < 0.001:
				for i := range nodes {
					w.start(name(i), nodes, o)
				}
				w.wire = nil
			case p < 0.004:
				w.start(name(rnd.IntN(nodes)), nodes, o)
			case p < 0.008:
				node := name(rnd.IntN(nodes))
				w.cut[node] = !w.cut[node]
			case p < 0.011:
				w.appoint(name(rnd.IntN(nodes)), rnd)
			}
			for range 1 + int(3*o.Rate*step.Seconds()) {
				w.ask(name(rnd.IntN(nodes)))
			}
		}
		if most := w.worst(); most > allowed(o) {
			t.Fatalf("%d requests ran in a window that allows %d (%d nodes, rate %g)", most, allowed(o), nodes, o.Rate)
		}
	})
}

// TestAllotterThatComesBack cuts the allotter off in a surge: its reserve, unspent meanwhile, must not come
// on top of the floors that the others used.
func TestAllotterThatComesBack(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		o := dfpquota.Organisation{Name: buyer, Rate: 130, Burst: 130}
		w := newWorld(5, o)
		for w.now.Sub(epoch) < 25*time.Second {
			w.advance()
			since := w.now.Sub(epoch) - 10*time.Second
			w.cut[name(0)] = since >= 0 && since < away
			for i := range 4 {
				w.ask(name(i + 1))
			}
		}
		assert.Assert(t, w.worst() <= allowed(o), "%d of %d ran after %v", w.worst(), allowed(o), away)
	}
}

// refusedAround sends four fifths of a rate of 100 to 12 nodes, lets something happen 15 s after the start, and returns
// the part that was refused between two times. No window may have more than the rate.
func refusedAround(t *testing.T, happen func(w *world, rnd *rand.Rand), from, to time.Duration) float64 {
	t.Helper()
	o := dfpquota.Organisation{Name: buyer, Rate: 100, Burst: 100}
	const nodes = 12
	w := newWorld(nodes, o)
	rnd := rand.New(rand.NewPCG(3, 3))
	asked, ran := 0, 0
	due := 0.0
	for w.now.Sub(epoch) < to {
		if w.now.Sub(epoch) == 15*time.Second {
			happen(w, rnd)
		}
		if w.now.Sub(epoch) == from {
			asked, ran = w.asked, len(w.runs)
		}
		w.advance()
		if w.now.Sub(epoch) < 8*time.Second {
			continue
		}
		for due += step.Seconds() * 0.8 * (o.Rate + o.Burst/config.Window.Seconds()) * 2 * rnd.Float64(); due >= 1; due-- {
			w.ask(name(rnd.IntN(nodes)))
		}
	}
	assert.Assert(t, w.worst() <= allowed(o))
	return 1 - float64(len(w.runs)-ran)/float64(w.asked-asked)
}

// TestPlannedChangeOfAllotter lets the node that divides the rate leave: its reserve must go on.
func TestPlannedChangeOfAllotter(t *testing.T) {
	refused := refusedAround(t, func(w *world, rnd *rand.Rand) { w.appoint(name(5), rnd) }, 15*time.Second, 20*time.Second)
	assert.Assert(t, refused < 0.05, "%.3f refused", refused)
}

// TestFleetThatLostAllPower starts all nodes anew at once: they must not be on their floors for long.
func TestFleetThatLostAllPower(t *testing.T) {
	restart := func(w *world, _ *rand.Rand) {
		nodes := len(w.keepers)
		for i := range nodes {
			w.start(name(i), nodes, dfpquota.Organisation{Name: buyer, Rate: 100, Burst: 100})
		}
		w.wire, w.waiting = nil, nil
	}
	refused := refusedAround(t, restart, 15500*time.Millisecond, 18*time.Second)
	assert.Assert(t, refused < 0.1, "%.3f refused", refused)
}

// TestFloodIsServedEvenly floods a fleet for long: after the first window no second has much more than its part, so
// that a loss of all power at any moment leaves a window within the rate.
func TestFloodIsServedEvenly(t *testing.T) {
	o := dfpquota.Organisation{Name: buyer, Rate: 150, Burst: 150}
	const nodes = 12
	w := newWorld(nodes, o)
	rnd := rand.New(rand.NewPCG(9, 9))
	for w.now.Sub(epoch) < 30*time.Second {
		w.advance()
		if w.now.Sub(epoch) < 8*time.Second {
			continue
		}
		for range 1 + int(6*o.Rate*step.Seconds()) {
			w.ask(name(rnd.IntN(nodes)))
		}
	}
	even := o.Rate + o.Burst/config.Window.Seconds()
	perSecond := map[int]int{}
	for _, at := range w.runs {
		perSecond[int(at.Sub(epoch)/time.Second)]++
	}
	for second := 14; second < 30; second++ {
		assert.Assert(t, float64(perSecond[second]) < 1.5*even, "%d ran in second %d, evenly %.0f", perSecond[second], second, even)
	}
	assert.Assert(t, w.worst() <= allowed(o))
}

// TestFewAreRefusedWithinRate sends nine tenths of the rate in clumps to nodes at random.
func TestFewAreRefusedWithinRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rate  float64
		nodes int
		clump int
	}{
		{"one at a time", 60, 18, 1},
		{"in clumps", 60, 18, 8},
		{"small rate", 20, 18, 2},
		{"large rate", 300, 18, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := dfpquota.Organisation{Name: buyer, Rate: tc.rate, Burst: tc.rate}
			w := newWorld(tc.nodes, o)
			rnd := rand.New(rand.NewPCG(7, 7))
			for w.now.Sub(epoch) < 10*time.Second {
				w.advance()
			}
			due := 0.0
			for w.now.Sub(epoch) < 60*time.Second {
				w.advance()
				due += step.Seconds() * 0.9 * tc.rate / float64(tc.clump) * 2 * rnd.Float64()
				for ; due >= 1; due-- {
					node := name(rnd.IntN(tc.nodes))
					for range tc.clump {
						w.ask(node)
					}
				}
			}
			refused := 1 - float64(len(w.runs))/float64(w.asked)
			assert.Assert(t, refused < 0.02, "%.3f of %d refused", refused, w.asked)
			assert.Assert(t, w.worst() <= allowed(o))
		})
	}
}

func TestWithoutLimitNothingIsRefused(t *testing.T) {
	k := dfpquota.New(epoch, config)
	k.SetRules(epoch, []dfpquota.Organisation{{Name: buyer}})
	for _, organisation := range []string{buyer, "nobody"} {
		for range 100 {
			verdict, sends := k.Take(epoch, organisation, false)
			assert.DeepEqual(t, verdict, &dfpquota.Granted{})
			assert.Equal(t, len(sends), 0)
		}
	}
}

// TestNodeThatKnowsNoFleetHasNoPart starts a fleet of nodes that have rules before they know of each other, as when all have
// lost power: each must not take the whole fleet's part for its own.
func TestNodeThatKnowsNoFleetHasNoPart(t *testing.T) {
	k := dfpquota.New(epoch, config)
	k.SetRules(epoch, []dfpquota.Organisation{{Name: buyer, Rate: 100, Burst: 100}})
	ran := 0
	for now := epoch; now.Sub(epoch) < 2*time.Second; now = now.Add(step) {
		k.SetFleet(now, dfpquota.Fleet{})
		verdict, _ := k.Take(now, buyer, false)
		if _, ok := verdict.(*dfpquota.Granted); ok {
			ran++
		}
		k.Tick(now)
	}
	assert.Equal(t, ran, 0)
}

func TestNewProcessStartsEmpty(t *testing.T) {
	k := dfpquota.New(epoch, config)
	k.SetRules(epoch, []dfpquota.Organisation{{Name: buyer, Rate: 100, Burst: 100}})
	verdict, _ := k.Take(epoch, buyer, false)
	refused, ok := verdict.(*dfpquota.Refused)
	assert.Assert(t, ok)
	assert.Assert(t, refused.RetryAfter > 0)
}

func TestLoweredRateBindsAtOnce(t *testing.T) {
	o := dfpquota.Organisation{Name: buyer, Rate: 400, Burst: 400}
	w := newWorld(4, o)
	for w.now.Sub(epoch) < 10*time.Second {
		w.advance()
	}
	o.Rate, o.Burst = 4, 4
	for _, k := range w.keepers {
		k.SetRules(w.now, []dfpquota.Organisation{o})
	}
	lowered := w.now
	for w.now.Sub(lowered) < 20*time.Second {
		w.advance()
		w.ask(name(int(w.now.UnixNano()/int64(step)) % 4))
	}
	late := 0
	for _, at := range w.runs {
		if at.Sub(lowered) > config.Window {
			late++
		}
	}
	windows := math.Ceil(15 / config.Window.Seconds())
	assert.Assert(t, float64(late) <= windows*float64(allowed(o)), "%d ran", late)
}
