package dfpshare_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyport/internal/standin/dfpratelab"
	"dragonflyport/internal/zone/dfpshare"
)

var places = []dfpratelab.Place{
	{Zone: "ost-1", Region: "ost", Nodes: 3}, {Zone: "ost-2", Region: "ost", Nodes: 2}, {Zone: "west-1", Region: "west", Nodes: 1},
}

var organisations = []dfpshare.OrganisationRate{
	{Name: "waldspiel", RatePerSecond: 20, Burst: 40},
	{Name: "opg-ivo", RatePerSecond: 20, Burst: 4},
	{Name: "kiosk", RatePerSecond: 2, Burst: 3},
	{Name: "schulverein", RatePerSecond: 2, Burst: 60},
}

// world is a fleet under faults, and the judges of what ran.
type world struct {
	fail    func(format string, args ...any)
	fleet   *dfpratelab.Fleet
	rules   dfpshare.Rules
	judges  map[string]*dfpratelab.Judge
	granted int
	roll    uint64
	over    float64 // the worst so far
	// isolated is the way between a node and another, or the platform, that is cut.
	isolated [2]string
}

func newWorld(seed uint64, weak dfpshare.UnsafeOptions, organisations []dfpshare.OrganisationRate, fail func(string, ...any)) *world {
	w := &world{fail: fail, judges: make(map[string]*dfpratelab.Judge), roll: seed}
	w.rules = dfpshare.Rules{Version: 1, Organisations: organisations}
	for _, p := range places {
		w.rules.Zones = append(w.rules.Zones, dfpshare.Zone{Name: p.Zone, Region: p.Region, Weight: 1})
	}
	w.fleet = dfpratelab.NewFleet(dfpratelab.FleetConfig{
		Seed: seed, Places: places, Rules: w.rules, Tick: 20 * time.Millisecond,
		Share: dfpshare.Config{Slots: 6, MaxMembers: 4, Unsafe: weak}, OnVerdict: w.verdict,
	})
	for _, o := range organisations {
		w.judges[o.Name] = dfpratelab.NewJudge(o.RatePerSecond, o.Burst, w.fleet.Now())
	}
	return w
}

// next is a cheap source of reproducible choices below n.
func (w *world) next(n int) int {
	w.roll = w.roll*6364136223846793005 + 1442695040888963407
	return int(w.roll>>33) % n
}

// verdict charges what ran; one request in eight doesn't run and gives its token back.
func (w *world) verdict(now time.Time, r dfpratelab.Request, granted bool) {
	if !granted {
		return
	}
	if w.next(8) == 0 {
		w.fleet.After(time.Duration(w.next(60))*time.Millisecond, func() {
			if r.Node.Alive() {
				r.Node.Share.ReturnToken(w.fleet.Now(), r.Token)
			}
		})
		return
	}
	w.granted++
	over := w.judges[r.Organisation].Charge(now)
	w.over = max(w.over, over)
	if over > 1e-6 {
		w.fail("%s is %.3f requests over rate*window+burst at %v", r.Organisation, over, now.Format("04:05.000"))
	}
}

// run offers three times each rate, in clumps at random nodes, for d.
func (w *world) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		for _, o := range organisations {
			for range w.next(1 + int(6*o.RatePerSecond*step.Seconds()+1)) {
				if n := w.fleet.Nodes[w.next(len(w.fleet.Nodes))]; n.Alive() {
					w.fleet.Offer(n, dfpratelab.Request{Organisation: o.Name})
				}
			}
		}
		w.fleet.Run(step)
	}
}

func (w *world) changeShares(shares []float64) {
	w.rules.Version++
	w.rules.Zones = append([]dfpshare.Zone(nil), w.rules.Zones...)
	for i := range w.rules.Zones {
		w.rules.Zones[i].Weight = shares[i]
	}
	rules := w.rules
	for _, n := range w.fleet.Nodes {
		// Each node hears at its own time, a cut-off one only much later.
		w.fleet.After(time.Duration(w.next(4000))*time.Millisecond, func() { w.fleet.SetRules(n, rules) })
	}
}

// renew brings the newest rules to a new process some time after it started with the first.
func (w *world) renew(n *dfpratelab.Node) {
	w.fleet.After(time.Duration(w.next(4000))*time.Millisecond, func() { w.fleet.SetRules(n, w.rules) })
}

var cutPairs = [][2]string{
	{"ost-1", "ost-2"}, {"ost-1", "west-1"}, {"ost-2", "west-1"},
	{"ost-1", dfpratelab.PlatformZone}, {"ost-2", dfpratelab.PlatformZone}, {"west-1", dfpratelab.PlatformZone},
}

// TestConservation: whatever happens, no organisation gets more than its rate and burst.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { conserve(t, dfpshare.UnsafeOptions{}) })
}

func conserve(t *rapid.T, weak dfpshare.UnsafeOptions) {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), weak, organisations, t.Fatalf)
	w.run(3 * time.Second)
	node := func(t *rapid.T) *dfpratelab.Node {
		return w.fleet.Nodes[rapid.IntRange(0, len(w.fleet.Nodes)-1).Draw(t, "node")]
	}
	duration := func(t *rapid.T) time.Duration {
		return rapid.SampledFrom([]time.Duration{100, 400, 1000, 2500, 6000, 15000}).Draw(t, "millis") * time.Millisecond
	}
	t.Repeat(map[string]func(*rapid.T){
		"run":     func(t *rapid.T) { w.run(duration(t)) },
		"kill":    func(t *rapid.T) { w.fleet.Kill(node(t)); w.run(duration(t)) },
		"replace": func(t *rapid.T) { w.renew(w.fleet.Replace(node(t))); w.run(duration(t)) },
		"start": func(t *rapid.T) {
			if len(w.fleet.Nodes) < 14 {
				p := rapid.SampledFrom(places).Draw(t, "place")
				w.renew(w.fleet.Start(p.Zone, p.Region))
			}
			w.run(duration(t))
		},
		"pause": func(t *rapid.T) { w.fleet.Pause(node(t), duration(t)); w.run(duration(t)) },
		"stop":  func(t *rapid.T) { w.fleet.Stop(node(t)); w.run(duration(t)) },
		"cut": func(t *rapid.T) {
			p := rapid.SampledFrom(cutPairs).Draw(t, "pair")
			w.fleet.Cut(p[0], p[1], rapid.Bool().Draw(t, "cut"))
			w.run(duration(t))
		},
		"isolate": func(t *rapid.T) {
			// One way at a time inside a zone. That a member which nobody in its zone
			// hears, nor the platform, may be taken for dead is conceded; see mayUse.
			w.fleet.Cut(w.isolated[0], w.isolated[1], false)
			one := w.fleet.Nodes[rapid.IntRange(0, 2).Draw(t, "one")].VM.Address
			others := []string{dfpratelab.PlatformZone, w.fleet.Nodes[0].VM.Address, w.fleet.Nodes[1].VM.Address}
			w.isolated = [2]string{one, rapid.SampledFrom(others).Draw(t, "other")}
			w.fleet.Cut(w.isolated[0], w.isolated[1], true)
			w.run(duration(t))
		},
		"platform": func(t *rapid.T) {
			w.fleet.PlatformDown = !w.fleet.PlatformDown
			w.run(duration(t))
		},
		"channel": func(t *rapid.T) {
			w.fleet.LossPart = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			w.fleet.RepeatPart = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeats")
			w.fleet.ExtraDelay = rapid.SampledFrom([]time.Duration{0, 200, 5000}).Draw(t, "delay") * time.Millisecond
			w.run(duration(t))
		},
		"shares": func(t *rapid.T) {
			shares := make([]float64, len(places))
			for i := range shares {
				shares[i] = rapid.Float64Range(0.2, 3).Draw(t, fmt.Sprint("share", i))
			}
			w.changeShares(shares)
			w.run(duration(t))
		},
	})
}
