package dfpconfig_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/vm/dfpvm"
)

// BenchmarkFleet runs a fleet in virtual time. It reports the load on the platform and on each node over
// 10 s without changes, the time until a change is in force everywhere while the watches are silent,
// and the load on the platform over 10 s of an outage.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ zones, perZone int }{{4, 4}, {15, 8}, {15, 32}, {15, 127}} {
		b.Run(fmt.Sprintf("zones=%d/nodes=%d", size.zones, size.zones*size.perZone), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(1, size.zones, size.perZone, "")
				sim.apply("first", rules(1), 0)
				sim.run(15 * time.Second)
				nodes := float64(len(sim.nodes))
				sim.headReads, sim.messages, sim.bytes = 0, 0, 0
				sim.run(10 * time.Second)
				b.ReportMetric(float64(sim.headReads)/10, "reads/s")
				b.ReportMetric(float64(sim.messages)/10/nodes, "messages/node/s")
				b.ReportMetric(float64(sim.bytes)/10/nodes, "bytes/node/s")
				sim.watchSilent = true
				sim.apply("second", rules(2), 1)
				start := sim.now
				for sim.countBehind(2) > 0 {
					sim.run(tick)
				}
				b.ReportMetric(sim.now.Sub(start).Seconds(), "silent_change_s")
				sim.down = true
				sim.run(10 * time.Second)
				sim.headReads = 0
				sim.run(10 * time.Second)
				b.ReportMetric(float64(sim.headReads)/10, "outage_reads/s")
				if sim.failure != nil {
					b.Fatal(sim.failure)
				}
			}
		})
	}
}

// BenchmarkSetRoster measures the cost of one change of the list of VMs to a node.
func BenchmarkSetRoster(b *testing.B) {
	for _, nodes := range []int{60, 475, 1900} {
		var vms []dfpvm.VM
		for i := range nodes {
			vms = append(vms, dfpvm.VM{Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: fmt.Sprint("zone-", i%15)})
		}
		s := dfpconfig.New(dfpconfig.Config{Self: vms[0].Address, Zone: vms[0].Zone})
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				s.SetRoster(vms)
			}
		})
	}
}

// BenchmarkTick measures the cost of one tick; a node ticks 10 times a second.
func BenchmarkTick(b *testing.B) {
	s := dfpconfig.New(dfpconfig.Config{Self: "a", Zone: "z", Seeds: []string{"b"}})
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(0, 0)
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now, rng)
	}
}

// BenchmarkHead reports the size of a head, which watchers read, and of an update by patches, which
// peers pull. A history of 24 applies is full.
func BenchmarkHead(b *testing.B) {
	for _, applies := range []int{1, 8, 24} {
		sim := newSimulation(1, 1, 1, "")
		for i := range applies {
			sim.apply(fmt.Sprintf("ABCDEFGHIJKLMNOPQRSTUVW%03d", i), rules(i), uint64(i))
			sim.run(time.Second)
		}
		head := sim.heads[len(sim.heads)-1]
		b.Run(fmt.Sprint("applies=", applies), func(b *testing.B) {
			var encoded []byte
			for b.Loop() {
				encoded = head.Encode()
			}
			b.ReportMetric(float64(len(encoded)), "head_bytes")
			b.ReportMetric(float64(len(dfpconfig.EncodeMessage(&dfpconfig.Update{Head: *head}))), "update_bytes")
		})
	}
}
