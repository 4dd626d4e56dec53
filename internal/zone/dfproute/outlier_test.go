package dfproute_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/zone/dfproute"
)

// behaviour is how a VM answers.
type behaviour struct {
	took   time.Duration
	failed bool
	// hangs makes calls end at the caller's deadline, without an answer.
	hangs bool
	// idle makes the guard report that nothing is in flight.
	idle bool
	// until is when the VM is healthy again; 0 for never.
	until time.Duration
}

const callDeadline = 2 * time.Second

// pending is a call in progress.
type pending struct {
	at     time.Duration
	target *dfproute.Target
	result dfproute.Result
}

type pendingHeap []pending

func (h pendingHeap) Len() int           { return len(h) }
func (h pendingHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h pendingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pendingHeap) Push(x any)        { *h = append(*h, x.(pending)) }
func (h *pendingHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	*h = (*h)[:last]
	return p
}

// drive sends 400 calls a second. It returns the fraction of the calls of each second
// that succeeded, and the number of calls to each VM in the last second.
func drive(cfg dfproute.Config, faulty map[string]behaviour, seconds int) ([]float64, map[string]int) {
	r := newRouter(cfg, vmsOf(4, "ost-1"))
	rnd := rand.New(rand.NewPCG(4, 1))
	var calls pendingHeap
	succeeded, sent := make([]float64, seconds+3), make([]float64, seconds+3)
	lastSecond := make(map[string]int)
	const interval = 2500 * time.Microsecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += interval {
		for len(calls) > 0 && calls[0].at <= now {
			p := heap.Pop(&calls).(pending)
			r.Report(epoch.Add(p.at), rnd, p.target, p.result)
			if !p.result.Failed && !p.result.TimedOut {
				succeeded[(p.at-p.result.Took)/time.Second]++
			}
		}
		sent[now/time.Second]++
		target, ok := r.Choose(epoch.Add(now), rnd, ordering).(*dfproute.Target)
		if !ok {
			continue
		}
		if now >= time.Duration(seconds-1)*time.Second {
			lastSecond[target.VM.Address]++
		}
		b, isFaulty := faulty[target.VM.Address]
		if !isFaulty || b.until > 0 && now >= b.until {
			b = behaviour{took: time.Duration((0.5 + rnd.Float64()) * float64(10*time.Millisecond))}
		}
		if b.hangs {
			b.took, b.failed = callDeadline, true
		}
		if b.idle {
			r.Observe(epoch.Add(now), target.VM.Address, admitting(0))
		}
		heap.Push(&calls, pending{now + b.took, target, dfproute.Result{Took: b.took, Failed: b.failed && !b.hangs, TimedOut: b.hangs}})
	}
	fractions := make([]float64, seconds)
	for i := range fractions {
		fractions[i] = succeeded[i] / sent[i]
	}
	return fractions, lastSecond
}

func TestOutliers(t *testing.T) {
	const seconds = 15
	failFast := behaviour{took: time.Millisecond, failed: true, idle: true}
	hang := behaviour{hangs: true, idle: true}
	for _, tc := range []struct {
		name   string
		faulty map[string]behaviour
		// From second settled on, at least minFraction of the calls of each second succeed.
		settled     int
		minFraction float64
		// restored lists the VMs that serve calls again in the last second.
		restored []string
	}{
		{"none", nil, 0, 1, nil},
		{"one fails fast and looks idle", map[string]behaviour{"ost-1/0": failFast}, 1, 0.98, nil},
		{"one hangs and looks idle", map[string]behaviour{"ost-1/0": hang}, 2, 0.98, nil},
		{"one fails fast and one hangs", map[string]behaviour{"ost-1/0": failFast, "ost-1/1": hang}, 2, 0.97, nil},
		{"one is slow", map[string]behaviour{"ost-1/0": {took: 500 * time.Millisecond, idle: true}}, 2, 0.999, nil},
		{"one comes back", map[string]behaviour{"ost-1/0": {took: time.Millisecond, failed: true, until: 5 * time.Second}}, 1, 0.98, []string{"ost-1/0"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fractions, last := drive(dfproute.Config{}, tc.faulty, seconds)
			for second := tc.settled; second < seconds-2; second++ {
				assert.Check(t, fractions[second] >= tc.minFraction, "second %d: %.3f", second, fractions[second])
			}
			for address := range tc.faulty {
				if len(tc.restored) == 0 {
					assert.Check(t, last[address] <= 2, "%s got %d calls in the last second", address, last[address])
				}
			}
			for _, address := range tc.restored {
				assert.Check(t, last[address] >= 50, "%s got %d calls in the last second", address, last[address])
			}
		})
	}
}

// TestClassesOfUnequalDuration sends few calls of two classes, of which one takes 20 times as long as the other
// and at times four times its mean, to many VMs: no VM may be ejected that isn't in trouble. One that takes eight
// times as long for each class, or that answers nothing, must be.
func TestClassesOfUnequalDuration(t *testing.T) {
	for _, tc := range []struct {
		name    string
		slowBy  float64
		hangs   bool
		ejected bool
	}{
		{"none in trouble", 1, false, false},
		{"one is slow", 8, false, true},
		{"one hangs", 1, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ejected := map[string]int{}
			r := newRouter(dfproute.Config{OnEjectionChange: func(c dfproute.EjectionChange) {
				if !c.Restored {
					ejected[c.VM.Address]++
				}
			}}, vmsOf(20, "ost-1"))
			rnd := rand.New(rand.NewPCG(3, 3))
			var calls pendingHeap
			for now := time.Duration(0); now < 60*time.Second; now += 25 * time.Millisecond {
				for len(calls) > 0 && calls[0].at <= now {
					p := heap.Pop(&calls).(pending)
					r.Report(epoch.Add(p.at), rnd, p.target, p.result)
				}
				query, mean := ordering, 15*time.Millisecond
				query.Class = "read"
				if rnd.Float64() < 0.3 {
					query.Class, mean = "booking", 300*time.Millisecond
				}
				target, ok := r.Choose(epoch.Add(now), rnd, query).(*dfproute.Target)
				if !ok {
					continue
				}
				took := min(time.Duration((0.2+0.8*rnd.ExpFloat64())*float64(mean)), 4*mean)
				result := dfproute.Result{}
				if target.VM.Address == "ost-1/0" && now > 10*time.Second {
					took = time.Duration(tc.slowBy * float64(took))
					if tc.hangs {
						took, result.TimedOut = 5*time.Second, true
					}
				}
				result.Took = took
				heap.Push(&calls, pending{now + took, target, result})
			}
			for address, n := range ejected {
				assert.Equal(t, address, "ost-1/0", "ejected %d times", n)
			}
			assert.Equal(t, ejected["ost-1/0"] > 0, tc.ejected)
		})
	}
}

// TestOutliersWithoutEjection checks that more calls fail without ejection, so that
// TestOutliers measures the effect of ejection.
func TestOutliersWithoutEjection(t *testing.T) {
	faulty := map[string]behaviour{"ost-1/0": {took: time.Millisecond, failed: true, idle: true}}
	fractions, _ := drive(dfproute.Config{NoEjection: true}, faulty, 5)
	assert.Assert(t, fractions[3] < 0.9, "%.3f", fractions[3])
}

// TestEjectionLimit has all VMs fail: half of them stay in service.
func TestEjectionLimit(t *testing.T) {
	r := newRouter(dfproute.Config{}, vmsOf(6, "ost-1"))
	rnd := newRand()
	used := make(map[string]bool)
	for i := range 2000 {
		target := r.Choose(epoch, rnd, ordering).(*dfproute.Target)
		r.Report(epoch, rnd, target, dfproute.Result{Failed: true})
		if i > 1000 {
			used[target.VM.Address] = true
		}
	}
	assert.Equal(t, len(used), 3)
}

func TestChainLevels(t *testing.T) {
	var levels dfproute.ChainLevels
	admits := func(after time.Duration, importance dfpcall.Importance, cohort uint8) bool {
		return levels.Admits(epoch.Add(after), "POST /order", importance, cohort)
	}
	assert.Assert(t, admits(0, dfpcall.Low, 127), "without reports, all must be admitted")
	level := dfpcall.Load{AdmitImportance: dfpcall.Normal, AdmitCohorts: 64}.Level()
	for range 400 {
		levels.Observe(epoch, "POST /order", level)
	}
	for _, tc := range []struct {
		after      time.Duration
		importance dfpcall.Importance
		cohort     uint8
		want       bool
	}{
		{0, dfpcall.Low, 0, false},
		{0, dfpcall.Normal, 64, false},
		{0, dfpcall.Normal, 63, true},
		{0, dfpcall.Critical, 127, true},
		// A few refused requests give no probe before two seconds without a report.
		{1999 * time.Millisecond, dfpcall.Low, 0, false},
		{2 * time.Second, dfpcall.Low, 0, true},
		{2 * time.Second, dfpcall.Low, 0, false},
		{3999 * time.Millisecond, dfpcall.Low, 0, false},
		{4 * time.Second, dfpcall.Low, 0, true},
		{dfproute.ChainLevelTTL + 1, dfpcall.Low, 0, true},
	} {
		assert.Equal(t, admits(tc.after, tc.importance, tc.cohort), tc.want, "%+v", tc)
	}
	assert.Assert(t, levels.Admits(epoch, "GET /catalogue", dfpcall.Low, 127), "routes must be independent")
	levels.Observe(epoch.Add(time.Second), "POST /order", 0)
	assert.Assert(t, admits(time.Second, dfpcall.Low, 100), "one report after a long time must count almost in full")
}

// TestChainLevelProbes guards against probes that fill what is left of a service: they are few among the requests
// refused, however many of these come, and there is one every two seconds however few come.
func TestChainLevelProbes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond int
		// least and most are the numbers of probes in ten seconds.
		least, most int
	}{
		{"few requests", 1, 2, 3},
		{"many requests", 100, 25, 32},
		{"a flood", 10_000, 40, 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var levels dfproute.ChainLevels
			// Probes end without a report; other requests report just often enough that the level is kept.
			levels.Observe(epoch.Add(-time.Second), "POST /order", 300)
			probes := 0
			for i := range 10 * tc.perSecond {
				now := epoch.Add(time.Duration(i) * time.Second / time.Duration(tc.perSecond))
				if now.Sub(epoch)%dfproute.ChainLevelTTL == 0 {
					levels.Observe(now, "POST /order", 300)
				}
				if levels.Decide(now, "POST /order", dfpcall.Low, 0) == dfproute.AdmittedAsProbe {
					probes++
				}
			}
			assert.Assert(t, probes >= tc.least && probes <= tc.most, "%d probes", probes)
		})
	}
}
