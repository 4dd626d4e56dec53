package dfppeer_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
)

// BenchmarkRun measures a request with its answer, sent by several goroutines concurrently.
func BenchmarkRun(b *testing.B) {
	a, c := start(b, 1, nil), start(b, 2, nil)
	body := make([]byte, 512)
	b.ReportAllocs()
	var counter atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			outcome := a.mesh.Run(context.Background(), c.address, request(counter.Add(1), body))
			if _, ok := outcome.(*dfpcall.Answer); !ok {
				b.Errorf("no answer: %#v", outcome)
			}
		}
	})
}

// BenchmarkRunOneAtATime reports the latency of a request with its answer, without concurrency.
func BenchmarkRunOneAtATime(b *testing.B) {
	a, c := start(b, 1, nil), start(b, 2, nil)
	body := make([]byte, 512)
	latency := hdrhistogram.New(1, int64(time.Second), 3)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		sent := time.Now()
		outcome := a.mesh.Run(context.Background(), c.address, request(i, body))
		if _, ok := outcome.(*dfpcall.Answer); !ok {
			b.Fatalf("no answer: %#v", outcome)
		}
		_ = latency.RecordValue(int64(time.Since(sent)))
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "us_p50")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "us_p99")
}

// BenchmarkIdleLinks reports the cost of idle connections: heap memory per side of a connection, and
// bytes sent per heartbeat due.
func BenchmarkIdleLinks(b *testing.B) {
	for _, links := range []int{10, 40, 100} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			for range b.N {
				var nodes []*node
				for i := range links {
					nodes = append(nodes, start(b, uint64(i+2), nil))
				}
				a := start(b, 1, func(cfg *dfppeer.Config) { cfg.HeartbeatInterval = 100 * time.Millisecond })
				before := heap()
				for i, n := range nodes {
					_ = a.mesh.Run(context.Background(), n.address, request(uint64(i), nil))
				}
				connected := heap()
				sent := a.mesh.Stats().BytesSent
				began := time.Now()
				time.Sleep(2 * time.Second)
				heartbeats := time.Since(began).Seconds() / 0.1 * float64(links)
				b.ReportMetric(float64(connected-before)/float64(links)/2, "heap_bytes/link_side")
				b.ReportMetric(float64(a.mesh.Stats().BytesSent-sent)/heartbeats, "bytes/heartbeat_due")
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

// BenchmarkUnknown reports how often the outcome of a request is unknown under repeated faults, with
// 40 concurrent requests of 5 ms each for 5 s.
func BenchmarkUnknown(b *testing.B) {
	for _, tc := range []struct {
		name  string
		every time.Duration
		fault func(*faultDialer, *node)
	}{
		{"connections_cut_each_100ms", 100 * time.Millisecond, func(d *faultDialer, _ *node) { d.eachConn(func(c *faultConn) { _ = c.Conn.Close() }) }},
		{"connections_silent_each_2s", 2 * time.Second, func(d *faultDialer, _ *node) {
			d.eachConn(func(c *faultConn) { c.blockReads, c.discardWrites = true, true })
		}},
		{"guard_replaced_each_500ms", 500 * time.Millisecond, func(d *faultDialer, n *node) {
			n.replace()
			d.eachConn(func(c *faultConn) { _ = c.Conn.Close() })
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				reportUnknown(b, tc.every, tc.fault)
			}
		})
	}
}

func reportUnknown(b *testing.B, every time.Duration, fault func(*faultDialer, *node)) {
	const concurrency, duration = 40, 5 * time.Second
	d := &faultDialer{}
	guard := start(b, 2, func(cfg *dfppeer.Config) {
		cfg.Run = func(context.Context, string, *dfpcall.Request) dfpcall.Outcome {
			time.Sleep(5 * time.Millisecond)
			return &dfpcall.Answer{Status: 200}
		}
	})
	a := start(b, 1, func(cfg *dfppeer.Config) { cfg.Dial = d.dial })
	var counter, notRun, unknown, wrong atomic.Int64
	var group, faults errgroup.Group
	done := make(chan struct{})
	n := 0
	faults.Go(func() error {
		for {
			select {
			case <-done:
				return nil
			case <-time.After(every):
				fault(d, guard)
				n++
			}
		}
	})
	for range concurrency {
		group.Go(func() error {
			for until := time.Now().Add(duration); time.Now().Before(until); {
				req := request(uint64(counter.Add(1)), nil)
				out := a.mesh.Run(context.Background(), guard.address, req)
				runs := guard.runs(req.ID)
				switch out.(type) {
				case *dfpcall.NotRun:
					notRun.Add(1)
					wrong.Add(int64(runs))
				case *dfpcall.Unknown:
					unknown.Add(1)
				}
				wrong.Add(int64(max(0, runs-1)))
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
	close(done)
	assert.NilError(b, faults.Wait())
	assert.Equal(b, wrong.Load(), int64(0), "a request reported as not run did run, or a request ran twice")
	b.ReportMetric(float64(n), "faults")
	b.ReportMetric(float64(counter.Load()), "requests")
	b.ReportMetric(float64(unknown.Load())*1000/float64(counter.Load()), "unknown/1000")
	b.ReportMetric(float64(notRun.Load())*1000/float64(counter.Load()), "not_run/1000")
}
