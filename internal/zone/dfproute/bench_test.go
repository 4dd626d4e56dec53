package dfproute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproute"
)

// fleetOf returns a fleet in 15 zones of 4 regions with nine VMs per service.
func fleetOf(vms int) []dfpvm.VM {
	fleet := make([]dfpvm.VM, vms)
	for i := range fleet {
		zone := i % 15
		fleet[i] = dfpvm.VM{
			Address: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", zone), Region: fmt.Sprint("region-", zone%4),
			Incarnation: 1, Service: fmt.Sprint("service-", i/9), Slots: 120,
		}
	}
	return fleet
}

var fleetSizes = []int{19, 190, 1900}

// BenchmarkChoose chooses a VM, then reports a load of the VM and the result of the call.
func BenchmarkChoose(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			r := dfproute.New(dfproute.Config{Zone: "zone-0", Region: "region-0", CrossRegionBytesPerSecond: -1})
			r.SetVMs(fleetOf(size), nil)
			benchmarkChoose(b, r, "service-0")
		})
	}
}

// BenchmarkChooseFrom chooses from a service with all its VMs in this zone.
func BenchmarkChooseFrom(b *testing.B) {
	for _, size := range []int{2, 20, 200} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			benchmarkChoose(b, newRouter(dfproute.Config{}, vmsOf(size, "ost-1")), "ordering")
		})
	}
}

func benchmarkChoose(b *testing.B, r *dfproute.Router, service string) {
	rnd := newRand()
	now := epoch
	load := admitting(3)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		target := r.Choose(now, rnd, dfproute.Query{Service: service}).(*dfproute.Target)
		r.Observe(now, target.VM.Address, load)
		r.Report(now, rnd, target, dfproute.Result{Took: time.Millisecond, Bytes: 1000})
	}
}

// BenchmarkChooseParallel chooses VMs and reports results from many goroutines at once.
func BenchmarkChooseParallel(b *testing.B) {
	r := newRouter(dfproute.Config{}, vmsOf(9, "ost-1"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rnd := rand.New(rand.NewPCG(rand.Uint64(), 1))
		now := epoch
		for pb.Next() {
			now = now.Add(10 * time.Microsecond)
			target := r.Choose(now, rnd, ordering).(*dfproute.Target)
			r.Report(now, rnd, target, dfproute.Result{Took: time.Millisecond, Bytes: 1000})
		}
	})
}

// BenchmarkSetVMs replaces the whole fleet, as each change of the roster does.
func BenchmarkSetVMs(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			r := dfproute.New(dfproute.Config{Zone: "zone-0", Region: "region-0"})
			fleet := fleetOf(size)
			b.ReportAllocs()
			for b.Loop() {
				r.SetVMs(fleet, nil)
			}
		})
	}
}

// BenchmarkChainLevels queries and updates the level of one route.
func BenchmarkChainLevels(b *testing.B) {
	var levels dfproute.ChainLevels
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		levels.Admits(now, "POST /order", dfpcall.Critical, 1)
		levels.Observe(now, "POST /order", 100)
	}
}

// BenchmarkBurstDetector assigns cohorts to root requests of eight organisations.
func BenchmarkBurstDetector(b *testing.B) {
	var detector dfproute.BurstDetector
	names := make([]string, 8)
	for i := range names {
		names[i] = fmt.Sprint("organisation ", i)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		detector.Cohort(now, names[i%len(names)], uint8(i%dfpcall.Cohorts))
	}
}
