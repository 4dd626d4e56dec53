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
	// Hangs ends calls by the caller's deadline.
	hangs bool
	// Idle reports an idle guard whatever runs.
	idle bool
	// Until is when the VM is well again; 0 for never.
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

// drive sends 400 calls a second for a time and returns what part of the
// calls of each second succeeded, and which were chosen last.
func drive(cfg dfproute.Config, ill map[string]behaviour, seconds int) ([]float64, map[string]int) {
	r := newRouter(cfg, vmsOf(4, "ost-1"))
	rnd := rand.New(rand.NewPCG(4, 1))
	var calls pendingHeap
	succeeded, sent := make([]float64, seconds+3), make([]float64, seconds+3)
	lastSecond := make(map[string]int)
	const gap = 2500 * time.Microsecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += gap {
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
		b, isIll := ill[target.VM.Address]
		if !isIll || b.until > 0 && now >= b.until {
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
	parts := make([]float64, seconds)
	for i := range parts {
		parts[i] = succeeded[i] / sent[i]
	}
	return parts, lastSecond
}

func TestOutliers(t *testing.T) {
	const seconds = 15
	failFast := behaviour{took: time.Millisecond, failed: true, idle: true}
	hang := behaviour{hangs: true, idle: true}
	for _, tc := range []struct {
		name string
		ill  map[string]behaviour
		// From the second settled on, at least part of the calls succeed.
		settled int
		part    float64
		// Back are VMs that serve again in the last second.
		back []string
	}{
		{"none", nil, 0, 1, nil},
		{"one fails fast and looks idle", map[string]behaviour{"ost-1/0": failFast}, 1, 0.98, nil},
		{"one hangs and looks idle", map[string]behaviour{"ost-1/0": hang}, 2, 0.98, nil},
		{"one fails fast and one hangs", map[string]behaviour{"ost-1/0": failFast, "ost-1/1": hang}, 2, 0.97, nil},
		{"one is slow", map[string]behaviour{"ost-1/0": {took: 500 * time.Millisecond, idle: true}}, 2, 0.999, nil},
		{"one comes back", map[string]behaviour{"ost-1/0": {took: time.Millisecond, failed: true, until: 5 * time.Second}}, 1, 0.98, []string{"ost-1/0"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			parts, last := drive(dfproute.Config{}, tc.ill, seconds)
			for second := tc.settled; second < seconds-2; second++ {
				assert.Check(t, parts[second] >= tc.part, "second %d: %.3f", second, parts[second])
			}
			for address := range tc.ill {
				if len(tc.back) == 0 {
					assert.Check(t, last[address] <= 2, "%s got %d calls in the last second", address, last[address])
				}
			}
			for _, address := range tc.back {
				assert.Check(t, last[address] >= 50, "%s got %d calls in the last second", address, last[address])
			}
		})
	}
}

// TestOutliersWithoutSetAside shows what the cases above cost with the mechanism off.
func TestOutliersWithoutSetAside(t *testing.T) {
	ill := map[string]behaviour{"ost-1/0": {took: time.Millisecond, failed: true, idle: true}}
	parts, _ := drive(dfproute.Config{NoEjection: true}, ill, 5)
	assert.Assert(t, parts[3] < 0.9, "%.3f", parts[3])
}

// TestSetAsideIsCapped has all VMs fail: half of them stay in service.
func TestSetAsideIsCapped(t *testing.T) {
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
	var gate dfproute.ChainLevels
	admits := func(after time.Duration, importance dfpcall.Importance, cohort uint8) bool {
		return gate.Admits(epoch.Add(after), "POST /order", importance, cohort)
	}
	assert.Assert(t, admits(0, dfpcall.Low, 127), "without news all are admitted")
	level := dfpcall.Load{AdmitImportance: dfpcall.Normal, AdmitCohorts: 64}.Level()
	for range 400 {
		gate.Observe(epoch, "POST /order", level)
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
		// One goes through as a probe where there was no news.
		{200 * time.Millisecond, dfpcall.Low, 0, true},
		{200 * time.Millisecond, dfpcall.Low, 0, false},
		{399 * time.Millisecond, dfpcall.Low, 0, false},
		{400 * time.Millisecond, dfpcall.Low, 0, true},
		{dfproute.ChainLevelTTL + 1, dfpcall.Low, 0, true},
	} {
		assert.Equal(t, admits(tc.after, tc.importance, tc.cohort), tc.want, "%+v", tc)
	}
	assert.Assert(t, gate.Admits(epoch, "GET /catalogue", dfpcall.Low, 127), "routes are apart")
	gate.Observe(epoch.Add(time.Second), "POST /order", 0)
	assert.Assert(t, admits(time.Second, dfpcall.Low, 100), "one report after a long time counts almost in full")
}
