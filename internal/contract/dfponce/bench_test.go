package dfponce_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// testZone is a zone of nodes whose messages are delivered at once and in order.
type testZone struct {
	now      time.Time
	nodes    map[string]*dfponce.ClaimManager
	sent     int
	bytes    int
	measured bool // Whether messages are encoded to count their bytes.
}

func newTestZone(b testing.TB, n int, config dfponce.Config) *testZone {
	zone := &testZone{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), nodes: make(map[string]*dfponce.ClaimManager)}
	plan := dfponce.PlanInput{Zone: "z"}
	for i := range n {
		config.Self = dfponce.Member{Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Incarnation: uint64(i + 1)}
		config.Zone = "z"
		zone.nodes[config.Self.Address] = dfponce.NewClaimManager(zone.now, config)
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: config.Self, Alive: true})
	}
	table, changed := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
	assert.Assert(b, changed)
	for _, c := range zone.nodes {
		c.SetSlotTable(zone.now, table)
	}
	return zone
}

// deliverAll delivers the messages of effects, and those that follow, and returns all decisions.
func (zone *testZone) deliverAll(from string, effects dfponce.Effects) (decided []dfponce.Decision) {
	decided = effects.Decisions
	for _, s := range effects.Sends {
		zone.sent++
		if zone.measured {
			raw, _ := cbor.Marshal(dfponce.NewEnvelope(s.Message))
			zone.bytes += len(raw)
		}
		decided = append(decided, zone.deliverAll(s.To, zone.nodes[s.To].Handle(zone.now, from, s.Message))...)
	}
	return decided
}

var orderAnswer = &dfpcall.Answer{
	Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200),
}

// runKey runs one request with a key of its own from the first node.
func (zone *testZone) runKey(b testing.TB, n uint64) {
	const entry = "10.0.0.0:9000"
	c := zone.nodes[entry]
	id := dfpcall.RequestID{Incarnation: 1, Counter: n}
	decided := zone.deliverAll(entry, c.Begin(zone.now, dfponce.ClaimRequest{
		Organisation: "waldspiel", Key: fmt.Sprintf("z.%d", n), Attempt: id, Zone: "z", Fingerprint: 1,
	}))
	assert.Assert(b, len(decided) == 1 && decided[0].Run)
	zone.deliverAll(entry, c.Finish(zone.now, id, orderAnswer))
}

// BenchmarkClaim measures the whole life of a claim at its entry node and three members.
func BenchmarkClaim(b *testing.B) {
	for _, nodes := range []int{3, 20, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			zone := newTestZone(b, nodes, dfponce.Config{MaxClaims: 1 << 30})
			zone.measured = true
			zone.runKey(b, 1<<40)
			messages, bytes := zone.sent, zone.bytes
			zone.measured = false
			b.ReportAllocs()
			b.ResetTimer()
			for i := range uint64(b.N) {
				zone.now = zone.now.Add(time.Millisecond)
				zone.runKey(b, i)
				if i%100 == 0 {
					for _, c := range zone.nodes {
						c.Tick(zone.now)
					}
				}
			}
			b.ReportMetric(float64(messages), "messages/claim")
			b.ReportMetric(float64(bytes), "wire_bytes/claim")
		})
	}
}

// BenchmarkMemory reports the memory in bytes that a claim takes at one member.
func BenchmarkMemory(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			for range b.N {
				zone := newTestZone(b, 1, dfponce.Config{MaxClaims: 1 << 30, MaxAnswerBytes: 1 << 40})
				before := heapBytes()
				for i := range uint64(claims) {
					zone.runKey(b, i)
				}
				zone.nodes["10.0.0.0:9000"].Tick(zone.now)
				b.ReportMetric(float64(heapBytes()-before)/float64(claims), "bytes/claim")
				runtime.KeepAlive(zone)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPlan measures one computation of a zone's next slot table when nothing has changed.
func BenchmarkPlan(b *testing.B) {
	for _, nodes := range []int{10, 40, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			plan := dfponce.PlanInput{Zone: "z"}
			for i := range nodes {
				m := dfponce.Member{Address: fmt.Sprintf("10.0.0.%d:9000", i), Incarnation: uint64(i + 1)}
				plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Alive: true})
			}
			table, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
			raw, err := cbor.Marshal(table)
			assert.NilError(b, err)
			b.ReportAllocs()
			for range b.N {
				if _, changed := dfponce.NextSlotTable(table, plan); changed {
					b.Fatal("the slot table changed although no candidate changed")
				}
			}
			b.ReportMetric(float64(len(raw)), "table_bytes")
		})
	}
}

// BenchmarkReplace counts the tables until all slots of a zone are synced again after the loss of
// one node.
func BenchmarkReplace(b *testing.B) {
	for _, nodes := range []int{10, 40, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				plan := dfponce.PlanInput{Zone: "z"}
				for i := range nodes {
					m := dfponce.Member{Address: fmt.Sprintf("10.0.0.%d:9000", i), Incarnation: uint64(i + 1)}
					plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Alive: true})
				}
				table, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
				plan.Candidates[0].Alive = false
				tables, slots := 0, 0
				for {
					next, changed := dfponce.NextSlotTable(table, plan)
					if !changed {
						break
					}
					plan.Copied = nil
					tables++
					for i := range next.Slots {
						if next.Slots[i].Epoch != table.Slots[i].Epoch {
							slots++
							plan.Copied = append(plan.Copied, dfponce.CopiedSlot{Slot: i, Epoch: next.Slots[i].Epoch})
						}
					}
					table = next
				}
				b.ReportMetric(float64(tables), "tables")
				b.ReportMetric(float64(slots), "slots_copied")
			}
		})
	}
}
