package dfprules_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/contract/dfprules"
)

// fleetRules returns a rules file with 15 zones, a number of services with five routes each, and a
// number of organisations with four keys each.
func fleetRules(services, organisations int) []byte {
	var b strings.Builder
	for zone := range 15 {
		fmt.Fprintf(&b, "availability_zone zone-%d region=region-%d share=1 # Marija, opening 2026\n", zone, zone%4)
	}
	for o := range organisations {
		fmt.Fprintf(&b, "organisation org-%d rate=%d/s burst=200 # contract 2026, Petra\n", o, 10+o)
		for k := range 4 {
			fmt.Fprintf(&b, "key org-%d %s # issued to shop %d\n", o, dfpkey.Hash(fmt.Sprint(o, k)), k)
		}
	}
	for s := range services {
		fmt.Fprintf(&b, "service service-%d slots=120 connections=800 # Ivo\n", s)
		for _, route := range []string{"GET /s%d/*", "GET /s%d/item/*/state", "POST /s%d/order", "POST /s%d/order/*/refund", "DELETE /s%d/item/*"} {
			fmt.Fprintf(&b, "route "+route+" service=service-%d importance=normal # shops, Petra\n", s, s)
		}
	}
	return []byte(b.String())
}

var sizes = []struct{ services, organisations int }{{4, 8}, {70, 200}, {210, 600}, {210, 1500}}

// BenchmarkParse measures Parse, and reports the file's size and the memory that the Ruleset holds.
func BenchmarkParse(b *testing.B) {
	for _, size := range sizes {
		text := fleetRules(size.services, size.organisations)
		b.Run(fmt.Sprintf("services=%d/organisations=%d", size.services, size.organisations), func(b *testing.B) {
			before := heap()
			var set *dfprules.Ruleset
			for b.Loop() {
				var err error
				if set, err = dfprules.Parse("f", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heap()-before), "held_bytes")
			b.ReportMetric(float64(len(text)), "file_bytes")
			runtime.KeepAlive(set)
		})
	}
}

// heap returns the bytes allocated on the heap after a garbage collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRequest measures the look-ups of one request: its route and its key's organisation.
func BenchmarkRequest(b *testing.B) {
	for _, size := range sizes {
		set, err := dfprules.Parse("f", fleetRules(size.services, size.organisations))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("services=%d/organisations=%d", size.services, size.organisations), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, hasRoute := set.RouteOf("POST", "/s3/order/17/refund")
				_, hasKey := set.OrganisationOf(dfpkey.Hash("3 1"))
				if !hasRoute || !hasKey {
					b.Fatal("not found")
				}
			}
		})
	}
}
