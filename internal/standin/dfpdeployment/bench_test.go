package dfpdeployment_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
)

const benchRules = `availability_zone ost-1 region=ost # bench
service catalogue # bench
service other # bench
route GET /catalogue/* service=catalogue importance=low open=yes # bench
`

// BenchmarkOneHop measures a call through an entry node to another VM's guard, and for comparison a direct call
// of an identical backend server. Neither backend server does any work.
func BenchmarkOneHop(b *testing.B) {
	backend := func(service string) dfpdeployment.Service {
		return dfpdeployment.Service{PerZone: 1, Backend: dfpbackendserver.Config{Service: service, Slots: 100}}
	}
	d, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones:    []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}},
		Services: []dfpdeployment.Service{backend("catalogue"), backend("other")},
		Rules:    []byte(benchRules),
		Seed:     1,
	})
	assert.NilError(b, err)
	b.Cleanup(d.Close)
	direct := httptest.NewServer(dfpbackendserver.New(dfpbackendserver.Config{Service: "catalogue", Slots: 100}).Handler())
	b.Cleanup(direct.Close)
	for _, bc := range []struct{ name, url string }{
		{"direct", direct.URL},
		{"through_nodes", d.VMs[1].CallerURL},
	} {
		b.Run(bc.name, func(b *testing.B) { benchmarkGet(b, bc.url+"/catalogue/1") })
	}
}

func benchmarkGet(b *testing.B, url string) {
	latencies := hdrhistogram.New(1, time.Second.Nanoseconds(), 3)
	b.ReportAllocs()
	for b.Loop() {
		started := time.Now()
		resp, err := http.Get(url)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		resp.Body.Close()
		assert.Equal(b, resp.StatusCode, http.StatusOK)
		_ = latencies.RecordValue(time.Since(started).Nanoseconds())
	}
	for _, p := range []float64{50, 99} {
		name := map[float64]string{50: "p50-us", 99: "p99-us"}[p]
		b.ReportMetric(float64(latencies.ValueAtPercentile(p))/1000, name)
	}
}

// BenchmarkIdle measures the CPU time that idle VMs use, backend servers and the platform stand-in
// included.
func BenchmarkIdle(b *testing.B) {
	const idleTime = 5 * time.Second
	zones := []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"}}
	d, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones:    zones,
		Services: []dfpdeployment.Service{{PerZone: 8, Backend: dfpbackendserver.Config{Service: "catalogue", Slots: 100}}},
		Rules:    []byte(idleRules),
		Seed:     1,
	})
	assert.NilError(b, err)
	b.Cleanup(d.Close)
	for b.Loop() {
		before := cpuTime(b)
		time.Sleep(idleTime)
		used := cpuTime(b) - before
		b.ReportMetric(100*used.Seconds()/idleTime.Seconds()/float64(len(d.VMs)), "%core/VM")
	}
}

const idleRules = `availability_zone ost-1 region=ost # bench
availability_zone ost-2 region=ost # bench
organisation waldspiel rate=100/s burst=100 # bench
service catalogue # bench
route GET /catalogue/* service=catalogue importance=low # bench
`

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
