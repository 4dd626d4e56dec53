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

// loop is a zone of nodes whose messages arrive at once and in order.
type loop struct {
	now      time.Time
	nodes    map[string]*dfponce.ClaimManager
	sent     int
	bytes    int
	measured bool // Messages are encoded, to learn their length.
}

func newLoop(b testing.TB, n int, config dfponce.Config) *loop {
	l := &loop{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), nodes: make(map[string]*dfponce.ClaimManager)}
	plan := dfponce.PlanInput{Zone: "z"}
	for i := range n {
		config.Self = dfponce.Member{Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Incarnation: uint64(i + 1)}
		config.Zone = "z"
		l.nodes[config.Self.Address] = dfponce.NewClaimManager(l.now, config)
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: config.Self, Alive: true})
	}
	homes, changed := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
	assert.Assert(b, changed)
	for _, c := range l.nodes {
		c.SetSlotTable(l.now, homes)
	}
	return l
}

// carry delivers the messages and returns the decision on the attempt.
func (l *loop) carry(from string, fx dfponce.Effects) (decided []dfponce.Decision) {
	decided = fx.Decisions
	for _, s := range fx.Sends {
		l.sent++
		if l.measured {
			raw, _ := cbor.Marshal(dfponce.NewEnvelope(s.Message))
			l.bytes += len(raw)
		}
		decided = append(decided, l.carry(s.To, l.nodes[s.To].Handle(l.now, from, s.Message))...)
	}
	return decided
}

var orderAnswer = &dfpcall.Answer{
	Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200),
}

// claim has one key run from the first node.
func (l *loop) claim(b testing.TB, n uint64) {
	const entry = "10.0.0.0:9000"
	c := l.nodes[entry]
	id := dfpcall.RequestID{Incarnation: 1, Counter: n}
	decided := l.carry(entry, c.Begin(l.now, dfponce.ClaimRequest{
		Organisation: "waldspiel", Key: fmt.Sprintf("z.%d", n), Attempt: id, Zone: "z", Fingerprint: 1,
	}))
	assert.Assert(b, len(decided) == 1 && decided[0].Run)
	l.carry(entry, c.Finish(l.now, id, orderAnswer))
}

// BenchmarkClaim is a claim's whole life at its entry and three members.
func BenchmarkClaim(b *testing.B) {
	for _, nodes := range []int{3, 20, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			l := newLoop(b, nodes, dfponce.Config{MaxClaims: 1 << 30})
			l.measured = true
			l.claim(b, 1<<40)
			messages, bytes := l.sent, l.bytes
			l.measured = false
			b.ReportAllocs()
			b.ResetTimer()
			for i := range uint64(b.N) {
				l.now = l.now.Add(time.Millisecond)
				l.claim(b, i)
				if i%100 == 0 {
					for _, c := range l.nodes {
						c.Tick(l.now)
					}
				}
			}
			b.ReportMetric(float64(messages), "messages/claim")
			b.ReportMetric(float64(bytes), "wire_bytes/claim")
		})
	}
}

// BenchmarkMemory reports the bytes that a claim takes at one member.
func BenchmarkMemory(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			for range b.N {
				l := newLoop(b, 1, dfponce.Config{MaxClaims: 1 << 30, MaxAnswerBytes: 1 << 40})
				before := heap()
				for i := range uint64(claims) {
					l.claim(b, i)
				}
				l.nodes["10.0.0.0:9000"].Tick(l.now)
				b.ReportMetric(float64(heap()-before)/float64(claims), "bytes/claim")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPlan is one look of a planner at a zone's table.
func BenchmarkPlan(b *testing.B) {
	for _, nodes := range []int{10, 40, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			plan := dfponce.PlanInput{Zone: "z"}
			for i := range nodes {
				m := dfponce.Member{Address: fmt.Sprintf("10.0.0.%d:9000", i), Incarnation: uint64(i + 1)}
				plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Alive: true})
			}
			homes, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
			raw, err := cbor.Marshal(homes)
			assert.NilError(b, err)
			b.ReportAllocs()
			for range b.N {
				if _, changed := dfponce.NextSlotTable(homes, plan); changed {
					b.Fatal("a steady table changed")
				}
			}
			b.ReportMetric(float64(len(raw)), "table_bytes")
		})
	}
}

// BenchmarkReplace counts the tables that it takes until a zone is settled
// after one of its nodes was lost.
func BenchmarkReplace(b *testing.B) {
	for _, nodes := range []int{10, 40, 127} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				plan := dfponce.PlanInput{Zone: "z"}
				for i := range nodes {
					m := dfponce.Member{Address: fmt.Sprintf("10.0.0.%d:9000", i), Incarnation: uint64(i + 1)}
					plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Alive: true})
				}
				homes, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, plan)
				plan.Candidates[0].Alive = false
				tables, slots := 0, 0
				for {
					next, changed := dfponce.NextSlotTable(homes, plan)
					if !changed {
						break
					}
					plan.Copied = nil
					tables++
					for i := range next.Slots {
						if next.Slots[i].Epoch != homes.Slots[i].Epoch {
							slots++
							plan.Copied = append(plan.Copied, dfponce.CopiedSlot{Slot: i, Epoch: next.Slots[i].Epoch})
						}
					}
					homes = next
				}
				b.ReportMetric(float64(tables), "tables")
				b.ReportMetric(float64(slots), "slots_copied")
			}
		})
	}
}
