package dfproute_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproute"
)

var epoch = time.Unix(1000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// vm returns VM n of the ordering service in a zone such as "ost-1".
func vm(zone string, n int) dfpvm.VM {
	return dfpvm.VM{
		Address: fmt.Sprintf("%s/%d", zone, n), Zone: zone, Region: zone[:len(zone)-2],
		Incarnation: 1, Service: "ordering", Slots: 10,
	}
}

func vmsOf(perZone int, zones ...string) []dfpvm.VM {
	var vms []dfpvm.VM
	for _, zone := range zones {
		for n := range perZone {
			vms = append(vms, vm(zone, n))
		}
	}
	return vms
}

func newRouter(cfg dfproute.Config, vms []dfpvm.VM) *dfproute.Router {
	cfg.Zone, cfg.Region = "ost-1", "ost"
	r := dfproute.New(cfg)
	r.SetVMs(vms, nil)
	return r
}

var ordering = dfproute.Query{Service: "ordering", Importance: dfpcall.Normal}

// admitting returns the load of a guard that admits everything.
func admitting(inFlight int) dfpcall.Load {
	return dfpcall.Load{InFlight: inFlight, Limit: 10, AdmitCohorts: dfpcall.Cohorts}
}

// TestTierOrder checks that the nearest zone or region with a usable VM gets the call.
func TestTierOrder(t *testing.T) {
	full := dfpcall.Load{InFlight: 10, Limit: 10, AdmitImportance: dfpcall.Critical, AdmitCohorts: dfpcall.Cohorts}
	all := vmsOf(2, "ost-1", "ost-2", "west-1")
	for _, tc := range []struct {
		name string
		vms  []dfpvm.VM
		// full lists the zones whose guards refuse, drained the zones that are drained.
		full, drained []string
		exclude       []string
		want          string
		reason        dfpcall.Reason
	}{
		{name: "own zone", vms: all, want: "ost-1"},
		{name: "own zone refuses", vms: all, full: []string{"ost-1"}, want: "ost-2"},
		{name: "own zone drained", vms: all, drained: []string{"ost-1"}, want: "ost-2"},
		{name: "own zone tried", vms: all, exclude: []string{"ost-1/0", "ost-1/1"}, want: "ost-2"},
		{name: "own region gone", vms: vmsOf(2, "west-1"), want: "west-1"},
		{name: "own region refuses", vms: all, full: []string{"ost-1", "ost-2"}, want: "west-1"},
		{name: "all refuse", vms: all, full: []string{"ost-1", "ost-2", "west-1"}, reason: dfpcall.ReasonOverload},
		{name: "all drained", vms: all, drained: []string{"ost-1", "ost-2", "west-1"}, reason: dfpcall.ReasonNoBackendServer},
		{name: "no such service", reason: dfpcall.ReasonNoBackendServer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(dfproute.Config{}, nil)
			drained := make(map[string]bool)
			for _, zone := range tc.drained {
				drained[zone+"/0"], drained[zone+"/1"] = true, true
			}
			r.SetVMs(tc.vms, drained)
			for _, zone := range tc.full {
				r.Observe(epoch, zone+"/0", full)
				r.Observe(epoch, zone+"/1", full)
			}
			rnd := newRand()
			for range 20 {
				q := ordering
				q.Exclude = tc.exclude
				switch c := r.Choose(epoch, rnd, q).(type) {
				case *dfproute.Target:
					assert.Equal(t, c.VM.Zone, tc.want)
					assert.Equal(t, c.CrossRegion, tc.want == "west-1")
				case *dfproute.Refusal:
					assert.Equal(t, c.Reason, tc.reason)
					assert.Assert(t, c.RetryAfter > 0)
				}
			}
		})
	}
}

func TestReportedDrainingExcludesVM(t *testing.T) {
	r := newRouter(dfproute.Config{}, vmsOf(2, "ost-1"))
	load := admitting(0)
	load.Draining = true
	r.Observe(epoch, "ost-1/0", load)
	rnd := newRand()
	for range 50 {
		assert.Equal(t, r.Choose(epoch, rnd, ordering).(*dfproute.Target).VM.Address, "ost-1/1")
	}
}

func TestStaleLoadIsIgnored(t *testing.T) {
	r := newRouter(dfproute.Config{}, vmsOf(1, "ost-1"))
	r.Observe(epoch, "ost-1/0", dfpcall.Load{AdmitImportance: dfpcall.Critical})
	rnd := newRand()
	_, refused := r.Choose(epoch, rnd, ordering).(*dfproute.Refusal)
	assert.Assert(t, refused)
	_, chosen := r.Choose(epoch.Add(dfproute.LoadTTL+1), rnd, ordering).(*dfproute.Target)
	assert.Assert(t, chosen, "a guard's outdated report must not cause a refusal")
}

// TestTwoChoices compares the number of calls to the most loaded VM between two random choices and one.
func TestTwoChoices(t *testing.T) {
	const vms, calls = 50, 1000
	most := func(cfg dfproute.Config) int {
		r := newRouter(cfg, vmsOf(vms, "ost-1"))
		rnd := newRand()
		assigned, highest := make(map[string]int), 0
		for range calls {
			address := r.Choose(epoch, rnd, ordering).(*dfproute.Target).VM.Address
			assigned[address]++
			highest = max(highest, assigned[address])
		}
		return highest
	}
	two, one := most(dfproute.Config{}), most(dfproute.Config{RandomOnly: true})
	t.Logf("%d calls on %d VMs: most on one VM %d by two choices, %d at random", calls, vms, two, one)
	assert.Assert(t, two <= calls/vms+4)
	assert.Assert(t, one > two)
}

func TestChooseAvoidsReportedLoad(t *testing.T) {
	r := newRouter(dfproute.Config{}, vmsOf(2, "ost-1"))
	r.Observe(epoch, "ost-1/0", admitting(9))
	r.Observe(epoch, "ost-1/1", admitting(0))
	rnd := newRand()
	for range 9 {
		assert.Equal(t, r.Choose(epoch, rnd, ordering).(*dfproute.Target).VM.Address, "ost-1/1")
	}
}

func TestCrossRegionByteBudget(t *testing.T) {
	const perSecond = 100_000
	r := newRouter(dfproute.Config{CrossRegionBytesPerSecond: perSecond}, vmsOf(3, "west-1"))
	rnd := newRand()
	now := epoch
	sent := map[dfpcall.Importance]int{}
	for range 10_000 {
		now = now.Add(time.Millisecond)
		for _, importance := range []dfpcall.Importance{dfpcall.Low, dfpcall.Critical} {
			q := dfproute.Query{Service: "ordering", Importance: importance}
			if target, ok := r.Choose(now, rnd, q).(*dfproute.Target); ok {
				r.Report(now, rnd, target, dfproute.Result{Took: time.Millisecond, Bytes: 1000})
				sent[importance] += 1000
			}
		}
	}
	total := sent[dfpcall.Low] + sent[dfpcall.Critical]
	assert.Assert(t, total <= 11*perSecond+10_000, "%d bytes in 10 s", total)
	assert.Assert(t, total >= 9*perSecond, "%d bytes in 10 s", total)
	assert.Assert(t, sent[dfpcall.Critical] > 9*sent[dfpcall.Low], "%v", sent)
}

func TestCrossBudgetIsShared(t *testing.T) {
	// Ten nodes of the region share the budget.
	vms := vmsOf(2, "west-1")
	for n := range 10 {
		vms = append(vms, dfpvm.VM{Address: fmt.Sprint("ost-1/", n), Zone: "ost-1", Region: "ost", Service: "catalogue"})
	}
	r := newRouter(dfproute.Config{CrossRegionBytesPerSecond: 100_000}, vms)
	rnd := newRand()
	sent := 0
	for {
		target, ok := r.Choose(epoch, rnd, dfproute.Query{Service: "ordering", Importance: dfpcall.Critical}).(*dfproute.Target)
		if !ok {
			break
		}
		r.Report(epoch, rnd, target, dfproute.Result{Bytes: 1000})
		sent += 1000
	}
	assert.Assert(t, sent >= 8_000 && sent <= 15_000, "%d", sent)
}

// TestSnapshotKeepsState changes the fleet while a VM is ejected: the VM stays ejected
// until its incarnation changes.
func TestSnapshotKeepsState(t *testing.T) {
	vms := vmsOf(2, "ost-1")
	r := newRouter(dfproute.Config{}, vms)
	rnd := newRand()
	fail(r, rnd, "ost-1/0")
	r.SetVMs(append(vms, vm("ost-1", 7)), nil)
	for range 30 {
		target := r.Choose(epoch, rnd, ordering).(*dfproute.Target)
		assert.Assert(t, target.VM.Address != "ost-1/0")
		r.Report(epoch, rnd, target, dfproute.Result{Took: time.Millisecond})
	}
	vms[0].Incarnation++
	r.SetVMs(vms, nil)
	assert.Assert(t, chosen(r, rnd, epoch, "ost-1/0"), "a new incarnation must not be ejected")
}

// fail makes calls to a VM fail until it is ejected.
func fail(r *dfproute.Router, rnd *rand.Rand, address string) {
	for range 100 {
		target := r.Choose(epoch, rnd, ordering).(*dfproute.Target)
		r.Report(epoch, rnd, target, dfproute.Result{Took: time.Millisecond, Failed: target.VM.Address == address})
	}
}

// chosen reports whether one of 50 choices is the VM at address.
func chosen(r *dfproute.Router, rnd *rand.Rand, now time.Time, address string) bool {
	for range 50 {
		target := r.Choose(now, rnd, ordering).(*dfproute.Target)
		r.Report(now, rnd, target, dfproute.Result{Took: time.Millisecond})
		if target.VM.Address == address {
			return true
		}
	}
	return false
}

// TestConcurrentUse runs choices, reports and fleet changes concurrently, for the race detector.
func TestConcurrentUse(t *testing.T) {
	vms := vmsOf(5, "ost-1", "ost-2", "west-1")
	r := newRouter(dfproute.Config{}, vms)
	var group errgroup.Group
	var served, steps atomic.Int64
	for worker := range 4 {
		group.Go(func() error {
			rnd := rand.New(rand.NewPCG(uint64(worker), 1))
			for range 5000 {
				// One clock for all: to a worker that is behind the others, what they eject would be out for long.
				now := epoch.Add(time.Duration(steps.Add(1)) * time.Millisecond / 4)
				target, ok := r.Choose(now, rnd, ordering).(*dfproute.Target)
				if !ok {
					continue
				}
				served.Add(1)
				r.Observe(now, target.VM.Address, admitting(rnd.IntN(10)))
				r.Report(now, rnd, target, dfproute.Result{Took: time.Millisecond, Failed: rnd.IntN(3) == 0, Bytes: 100})
			}
			return nil
		})
	}
	group.Go(func() error {
		for i := range 200 {
			r.SetVMs(vms[i%5:], map[string]bool{"ost-1/4": i%2 == 0})
		}
		return nil
	})
	assert.NilError(t, group.Wait())
	assert.Assert(t, served.Load() > 15_000)
}

// TestFullZones checks where calls go when the VMs of the own zone or region are at their limit.
func TestFullZones(t *testing.T) {
	load := func(inFlight int) dfpcall.Load {
		return dfpcall.Load{InFlight: inFlight, Limit: 10, AdmitCohorts: dfpcall.Cohorts}
	}
	refusing := dfpcall.Load{InFlight: 10, Limit: 10, AdmitImportance: dfpcall.Critical, AdmitCohorts: dfpcall.Cohorts}
	for _, tc := range []struct {
		name  string
		loads map[string]dfpcall.Load
		want  string
	}{
		{"own zone has room", map[string]dfpcall.Load{"ost-1": load(5), "ost-2": load(0), "west-1": load(0)}, "ost-1"},
		{"own zone is full", map[string]dfpcall.Load{"ost-1": load(12), "ost-2": load(3), "west-1": load(0)}, "ost-2"},
		{"region is a little full", map[string]dfpcall.Load{"ost-1": load(11), "ost-2": load(11), "west-1": load(0)}, "ost"},
		{"region queues, the other has room", map[string]dfpcall.Load{"ost-1": load(20), "ost-2": load(20), "west-1": load(2)}, "west-1"},
		{"both have queues", map[string]dfpcall.Load{"ost-1": load(20), "ost-2": load(20), "west-1": load(10)}, "ost"},
		{"region refuses for load", map[string]dfpcall.Load{"ost-1": refusing, "ost-2": refusing, "west-1": load(0)}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(dfproute.Config{SpillWhenFull: true, StayInRegion: true}, vmsOf(1, "ost-1", "ost-2", "west-1"))
			for zone, l := range tc.loads {
				r.Observe(epoch, zone+"/0", l)
			}
			switch c := r.Choose(epoch, newRand(), ordering).(type) {
			case *dfproute.Target:
				assert.Assert(t, tc.want != "" && strings.HasPrefix(c.VM.Zone, tc.want), "%s", c.VM.Zone)
			case *dfproute.Refusal:
				assert.Equal(t, tc.want, "")
				assert.Equal(t, c.Reason, dfpcall.ReasonOverload)
			}
		})
	}
}

// TestLimitedVMs guards against calls that stay in a region whose backend servers name limits, or are refused as
// if the service were overloaded, while others have room.
func TestLimitedVMs(t *testing.T) {
	limited := dfpcall.Load{
		InFlight: 1, Limit: 1, AdmitImportance: dfpcall.High, AdmitCohorts: 64,
		Notice: &dfpcall.InstanceNotice{Notice: dfpcall.Notice{Limited: true, Rate: 2}},
	}
	all := vmsOf(1, "ost-1", "ost-2", "west-1")
	for _, tc := range []struct {
		name string
		// limited lists the zones whose guards report a level because of a limit, and refused those that refused a
		// call for it, with ten seconds to wait. After "ended", the first names no limit any more.
		limited, refused []string
		after            time.Duration
		want             string
	}{
		{"nearest takes it", nil, nil, 0, "ost-1"},
		{"own zone limited", []string{"ost-1"}, nil, 0, "ost-2"},
		{"own zone has refused", nil, []string{"ost-1"}, 0, "ost-2"},
		{"own zone has refused, later", nil, []string{"ost-1"}, time.Second, "ost-1"},
		{"own zone has refused, and then names no limit any more", nil, []string{"ost-1", "ended"}, 0, "ost-1"},
		{"own region limited", []string{"ost-1", "ost-2"}, nil, 0, "west-1"},
		{"own region has refused", nil, []string{"ost-1", "ost-2"}, 0, "west-1"},
		{"all limited", []string{"ost-1", "ost-2", "west-1"}, nil, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(dfproute.Config{StayInRegion: true, SpillWhenFull: true}, all)
			now, rnd := epoch, newRand()
			for _, refused := range tc.refused { // Each call goes to the nearest VM that has not refused one.
				if refused == "ended" {
					r.Observe(now, "ost-1/0", admitting(0))
					continue
				}
				target := r.Choose(now, rnd, ordering).(*dfproute.Target)
				r.Report(now, rnd, target, dfproute.Result{Inconclusive: true, LimitedFor: 10 * time.Second})
			}
			for _, zone := range tc.limited {
				r.Observe(now, zone+"/0", limited)
			}
			switch choice := r.Choose(now.Add(tc.after), rnd, ordering).(type) {
			case *dfproute.Target:
				assert.Equal(t, choice.VM.Zone, tc.want)
			case *dfproute.Refusal:
				assert.Equal(t, tc.want, "")
				assert.Equal(t, choice.Reason, dfpcall.ReasonServerLimit)
				assert.Equal(t, choice.Level, limited.Level())
				assert.Assert(t, choice.RetryAfter > 0)
			}
		})
	}
}

// TestNestedLevel guards against calls that are refused for the overload of a service which they do not lead to: the
// level that a VM's nested calls met applies to classes that may depend on them only.
func TestNestedLevel(t *testing.T) {
	const level = dfpcall.Level(300)
	for _, tc := range []struct {
		name string
		// answers are what VMs have said of the class, in this order.
		answers []dfpcall.Dependence
		load    dfpcall.Load
		refused bool
	}{
		{"nothing is known", nil, dfpcall.Load{NestedLevel: level}, true},
		{"dependent", []dfpcall.Dependence{dfpcall.Dependent}, dfpcall.Load{NestedLevel: level}, true},
		{"independent", []dfpcall.Dependence{dfpcall.Independent}, dfpcall.Load{NestedLevel: level}, false},
		{"a VM does not know it", []dfpcall.Dependence{dfpcall.Independent, dfpcall.DependenceUnknown}, dfpcall.Load{NestedLevel: level}, false},
		{"has become dependent", []dfpcall.Dependence{dfpcall.Independent, dfpcall.Dependent}, dfpcall.Load{NestedLevel: level}, true},
		{"the VM itself is overloaded", []dfpcall.Dependence{dfpcall.Independent}, dfpcall.Load{}.Raise(level), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(dfproute.Config{}, vmsOf(1, "ost-1"))
			rnd := newRand()
			query := ordering
			query.Class, query.Importance = "book", dfpcall.Low
			for _, answer := range tc.answers {
				target := r.Choose(epoch, rnd, query).(*dfproute.Target)
				r.Report(epoch, rnd, target, dfproute.Result{Took: time.Millisecond, Dependence: answer})
			}
			load := tc.load
			if load.AdmitCohorts == 0 {
				load.AdmitCohorts = dfpcall.Cohorts
			}
			r.Observe(epoch, "ost-1/0", load)
			_, refused := r.Choose(epoch, rnd, query).(*dfproute.Refusal)
			assert.Equal(t, refused, tc.refused)
		})
	}
}

// TestNestedLevelOfLimitedVM guards against a refusal that reports a lower level than the one it was made for: entries
// would go on admitting what the same VM refuses.
func TestNestedLevelOfLimitedVM(t *testing.T) {
	const level = dfpcall.Level(300)
	r := newRouter(dfproute.Config{}, vmsOf(1, "ost-1"))
	notice := &dfpcall.InstanceNotice{}
	notice.Limited, notice.Rate = true, 10
	r.Observe(epoch, "ost-1/0", dfpcall.Load{AdmitCohorts: dfpcall.Cohorts, NestedLevel: level, Notice: notice})
	refusal := r.Choose(epoch, newRand(), ordering).(*dfproute.Refusal)
	assert.Equal(t, refusal.Level, level)
}
