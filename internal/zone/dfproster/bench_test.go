package dfproster_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproster"
)

// BenchmarkBytes reports the bytes per second that one node sends and receives for
// the roster, over two virtual minutes with a VM replaced every 60 s.
// One iteration is enough: -benchtime 1x.
func BenchmarkBytes(b *testing.B) {
	for _, size := range []int{120, 475, 1900} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for range b.N {
				measureBytes(b, size)
			}
		})
	}
}

func measureBytes(b *testing.B, size int) {
	const seconds = 120
	f := newFleet(1, size, 15, dfproster.Config{})
	for _, address := range f.addresses {
		f.list(address)
	}
	f.run(10 * time.Second)
	f.countBytes = true
	for i := range 2 {
		address := f.addresses[size/2+i]
		f.leave(address, true)
		f.run(5 * time.Second)
		f.start(address, f.zone(address))
		f.list(address)
		f.run(55 * time.Second)
	}
	sum, most := 0, 0
	for _, p := range f.processes {
		sum += p.bytes
		most = max(most, p.bytes)
	}
	b.ReportMetric(float64(sum)/float64(size)/seconds, "B/s/node")
	b.ReportMetric(float64(most)/seconds, "B/s/busiest")
	if err := f.agreed(); err != nil {
		b.Fatal("the fleet doesn't agree")
	}
}

// rosterOfSize returns a roster that knows size other VMs in 15 zones.
func rosterOfSize(size int) *dfproster.Roster {
	r := dfproster.New(dfproster.Config{Self: vm("10.0.0.1:9000", 1, 1)})
	vms := make([]dfpvm.VM, 0, size)
	for i := range size {
		vms = append(vms, dfpvm.VM{
			Address: fmt.Sprintf("10.1.%03d.%03d:9000", i/250, i%250), Zone: zoneOf(i, 15), Region: "r",
			Incarnation: uint64(i), Sequence: 1, Service: "catalogue", BackendAddress: "127.0.0.1:8000", Slots: 120,
		})
	}
	r.Merge(start, dfproster.SourcePlatform, vms)
	return r
}

// BenchmarkTick runs ticks without fresh updates.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{120, 475, 1900} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			r, rnd, now := rosterOfSize(size), rand.New(rand.NewPCG(1, 1)), start
			for b.Loop() {
				now = now.Add(dfproster.TickInterval)
				r.Tick(now, rnd)
			}
		})
	}
}

// BenchmarkChange merges one update and computes the list of VMs after it.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{120, 475, 1900} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			r := rosterOfSize(size)
			vm := r.VMs()[size/2]
			for b.Loop() {
				vm.Sequence++
				r.Merge(start, dfproster.SourcePeer, []dfpvm.VM{vm})
				r.VMs()
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a roster.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{120, 475, 1900} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := rosterOfSize(size)
				r.VMs()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/roster")
				runtime.KeepAlive(r)
			}
		})
	}
}
