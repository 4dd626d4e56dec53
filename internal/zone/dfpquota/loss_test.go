package dfpquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/zone/dfpquota"
)

// kill replaces the processes of some nodes. The others learn of another allocator if it was among the killed.
func (sim *simulation) kill(killed []int, rnd *rand.Rand, organisations ...dfpquota.Organisation) {
	nodes := len(sim.limiters)
	for _, i := range killed {
		sim.start(name(i), nodes, organisations...)
	}
	rest := sim.inTransit[:0]
	for _, d := range sim.inTransit {
		lost := false
		for _, i := range killed {
			lost = lost || d.from == name(i) || d.to == name(i)
		}
		if !lost {
			rest = append(rest, d)
		}
	}
	sim.inTransit = rest
	if sim.allocator == name(killed[0]) && len(killed) < nodes {
		sim.changeAllocator(name((killed[0]+1)%nodes), rnd)
	}
}

// TestFloodBeforeNodesAreKilled guards against two holders of one allowance in a window: a flood begins, and within
// a window of its beginning nodes are killed, once or more often, the allocator among them. What ran before is then known
// to the store and to the survivors only (QUOTA).
func TestFloodBeforeNodesAreKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := dfpquota.Organisation{Name: testOrganisation, Rate: float64(rapid.IntRange(2, 300).Draw(t, "rate"))}
		o.Burst = o.Rate * rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "burst")
		nodes := rapid.IntRange(4, 20).Draw(t, "nodes")
		share := rapid.SampledFrom([]float64{0.3, 0.55, 0.8, 1}).Draw(t, "share")
		flood := rapid.SampledFrom([]float64{2, 5, 8}).Draw(t, "flood")
		calm := rapid.SampledFrom([]float64{0, 0.6}).Draw(t, "calm")
		losses := rapid.SliceOfN(rapid.IntRange(1, 500), 1, 3).Draw(t, "losses")
		storeDown := rapid.IntRange(0, 3).Draw(t, "storeDown") == 0
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sim := newSimulation(nodes, o)
		const floodAt = warmUp + 2*time.Second
		due := 0.0
		for sim.now.Sub(epoch) < floodAt+14*time.Second {
			sim.advance()
			for _, loss := range losses {
				if sim.now.Sub(epoch) == floodAt+time.Duration(loss)*step {
					first := 0
					for name(first) != sim.allocator {
						first++
					}
					killed := []int{first}
					for i := 1; float64(i) < share*float64(nodes); i++ {
						killed = append(killed, (first+i)%nodes)
					}
					sim.kill(killed, rnd, o)
				}
			}
			// The store fails around the first loss.
			since := sim.now.Sub(epoch) - floodAt - time.Duration(losses[0])*step
			sim.store.down = storeDown && since > -300*time.Millisecond && since < 2*time.Second
			perSecond := flood * o.Rate
			if sim.now.Sub(epoch) < floodAt {
				perSecond = calm * o.Rate
			}
			for due += perSecond * step.Seconds(); due >= 1; due-- {
				sim.request(name(rnd.IntN(nodes)))
			}
		}
		if most := sim.maxPerWindow(); most > allowed(o) {
			t.Fatalf("%d requests ran in a window that allows %d", most, allowed(o))
		}
	})
}

// TestCalmOrganisationsAfterLossOfAllNodes checks that only organisations that were ahead of their rate pay for a loss:
// the others are served as soon as there is an allocator.
func TestCalmOrganisationsAfterLossOfAllNodes(t *testing.T) {
	for _, nodes := range []int{16, 96} {
		for _, rate := range []float64{4, 12, 100} {
			t.Run(fmt.Sprintf("%d nodes, rate %g", nodes, rate), func(t *testing.T) {
				flood := &load{organisation: dfpquota.Organisation{Name: "flood", Rate: 100, Burst: 100}, perSecond: 800, clump: 3, to: 1}
				calm := &load{organisation: dfpquota.Organisation{Name: "kiosk", Rate: rate, Burst: rate}, perSecond: rate / 1.6, clump: 2, to: 1}
				const lostAt = warmUp + 1600*time.Millisecond
				sent, refused := 0, 0
				runLoads(t, nodes, []*load{flood, calm}, lostAt+8*time.Second, func(sim *simulation, rnd *rand.Rand) {
					switch sim.now.Sub(epoch) {
					case lostAt:
						var all []int
						for i := range nodes {
							all = append(all, i)
						}
						sim.kill(all, rnd, flood.organisation, calm.organisation)
						sim.waiting = nil
					case lostAt + time.Second:
						sent, refused = calm.sent, calm.refused
					}
				})
				fraction := float64(calm.refused-refused) / float64(calm.sent-sent)
				assert.Assert(t, fraction <= 1.0/50, "%.3f refused after a second", fraction)
			})
		}
	}
}

// TestCalmDaysNeedNoRecord checks that organisations within their rates hardly ever need a call to the store.
func TestCalmDaysNeedNoRecord(t *testing.T) {
	var loads []*load
	for i := range 20 {
		rate := []float64{4, 12, 100}[i%3]
		o := dfpquota.Organisation{Name: fmt.Sprintf("kiosk-%d", i), Rate: rate, Burst: rate}
		loads = append(loads, &load{organisation: o, perSecond: rate / 1.6, clump: 1 + i%2, to: 1})
	}
	sim := runLoads(t, 16, loads, 60*time.Second, nil)
	for _, l := range loads {
		assert.Assert(t, l.refusedFraction() <= 1.0/100, "%s: %d of %d refused", l.organisation.Name, l.refused, l.sent)
	}
	assert.Assert(t, sim.store.writes <= 60, "%d writes in a minute", sim.store.writes)
}

// TestEvenRateWithoutStore checks what is left while the store is down: requests at an even rate are served.
func TestEvenRateWithoutStore(t *testing.T) {
	for _, rate := range []float64{5, 12, 100} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			l := &load{organisation: dfpquota.Organisation{Name: "kiosk", Rate: rate, Burst: rate}, perSecond: rate / 1.6, clump: 2, to: 1}
			runLoads(t, 16, []*load{l}, 40*time.Second, func(sim *simulation, _ *rand.Rand) {
				sim.store.down = sim.now.Sub(epoch) > warmUp/2
			})
			assert.Assert(t, l.refusedFraction() <= 1.0/20, "%d of %d refused", l.refused, l.sent)
		})
	}
}

// TestRecordOutlivesSilentTerm lets an allocator lose its term and gain it again, while another one has granted an advance
// in between: the record must keep that until the even rate has made up for it, though no request comes and the
// allocator's own count of the organisation is old.
func TestRecordOutlivesSilentTerm(t *testing.T) {
	o := dfpquota.Organisation{Name: testOrganisation, Rate: 100, Burst: 300}
	const nodes = 5
	sim := newSimulation(nodes, o)
	rnd := rand.New(rand.NewPCG(1, 1))
	run := func(d time.Duration, perStep int) {
		for end := sim.now.Add(d); sim.now.Before(end); {
			sim.advance()
			for range perStep {
				sim.request(name(2 + rnd.IntN(nodes-2)))
			}
		}
	}
	run(warmUp, 1)
	sim.disconnected[name(0)] = true
	sim.changeAllocator(name(1), rnd)
	delete(sim.changes, name(0)) // It learns of no other allocator, and keeps its counts.
	run(8*time.Second, 0)
	run(500*time.Millisecond, 10)
	assert.Equal(t, len(sim.store.record), 1)
	sim.disconnected[name(0)], sim.disconnected[name(1)] = false, true
	sim.changeAllocator(name(0), rnd)
	lost := sim.now
	for len(sim.store.record) > 0 {
		run(step, 0)
	}
	even := o.Rate + o.Burst/config.Window.Seconds()
	least := time.Duration(o.Burst / even * 0.9 * float64(time.Second))
	assert.Assert(t, sim.now.Sub(lost) >= dfpquota.ConfirmationTTL+least, "the record was dropped after %v", sim.now.Sub(lost))
	run(6*time.Second, 10)
	assert.Assert(t, sim.maxPerWindow() <= allowed(o), "%d of %d", sim.maxPerWindow(), allowed(o))
}
