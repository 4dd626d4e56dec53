package dfpshare_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpshare"
)

// BenchmarkTake measures Take while the node has tokens.
func BenchmarkTake(b *testing.B) {
	for _, organisations := range []int{1, 100, 10000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			now := time.Unix(0, 0)
			s := soleNode(now, organisations)
			now = now.Add(200 * time.Millisecond)
			granted := 0
			step := func(i int) {
				now = now.Add(20 * time.Microsecond)
				if i%250 == 0 {
					s.Tick(now)
				}
				switch s.Take(now, "organisation-0").(type) {
				case *dfpshare.Granted:
					granted++
				case *dfpshare.Waiting:
					s.Tick(now)
				}
			}
			for i := range 50000 {
				step(i) // Until the demand estimate has settled.
			}
			granted = 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				step(i)
			}
			b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
		})
	}
}

// soleNode returns a node that owns its whole zone, with rates too high to be used up.
func soleNode(now time.Time, organisations int) *dfpshare.Limiter {
	s := dfpshare.New(dfpshare.Config{Self: dfpvm.VM{Address: "a", Zone: "ost-1", Region: "ost", Incarnation: 1}}, now)
	rules := dfpshare.Rules{Version: 1, Zones: []dfpshare.Zone{{Name: "ost-1", Region: "ost", Weight: 1}}}
	for i := range organisations {
		rules.Organisations = append(rules.Organisations, dfpshare.OrganisationRate{
			Name: fmt.Sprintf("organisation-%d", i), RatePerSecond: 1e7, Burst: 1e7,
		})
	}
	s.SetRules(now, rules)
	s.SetTable(now, now, dfpshare.Table{}, 0)
	later := now.Add(100 * time.Millisecond)
	if p := s.Tick(later).Proposed; p != nil {
		s.SetTable(later, later, p.Table, 1)
	}
	return s
}

// TestTakeAllocatesNothing checks that Take doesn't allocate while the node has tokens.
func TestTakeAllocatesNothing(t *testing.T) {
	now := time.Unix(0, 0)
	s := soleNode(now, 8)
	now = now.Add(150 * time.Millisecond)
	for range 2000 {
		if _, ok := s.Take(now, "organisation-0").(*dfpshare.Waiting); ok {
			s.Tick(now)
		}
		now = now.Add(200 * time.Microsecond)
	}
	s.Tick(now)
	allocs := testing.AllocsPerRun(100, func() {
		_, ok := s.Take(now, "organisation-0").(*dfpshare.Granted)
		assert.Assert(t, ok)
	})
	assert.Equal(t, allocs, 0.0)
}
