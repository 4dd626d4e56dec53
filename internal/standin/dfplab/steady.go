package dfplab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/vm/dfpnode"
)

const (
	// overheadWorkers is the number of concurrent callers; each has one request in progress at a time.
	overheadWorkers = 4
	overheadTime    = 4 * time.Second
	idleTime        = 5 * time.Second
	// maxLatencyNanos is the largest latency that the histograms hold.
	maxLatencyNanos = int64(10 * time.Second)
)

// measureOverhead measures how much longer a call takes through an entry node and the guard of another VM
// than directly to the backend server, which answers at once. Both kinds of calls alternate, so that
// noise of the machine affects both.
func measureOverhead(ctx context.Context, cfg Config, s *deploymentSpec) ([]Figure, error) {
	d, err := dfpdeployment.Start(overheadDeployment(cfg, s))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	direct := hdrhistogram.New(1, maxLatencyNanos, 3)
	through := hdrhistogram.New(1, maxLatencyNanos, 3)
	workers := make([][2]*hdrhistogram.Histogram, overheadWorkers)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadWorkers}}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	for i := range workers {
		workers[i] = [2]*hdrhistogram.Histogram{hdrhistogram.New(1, maxLatencyNanos, 3), hdrhistogram.New(1, maxLatencyNanos, 3)}
		group.Go(func() error { return alternateCalls(ctx, client, s, d, workers[i]) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, w := range workers {
		direct.Merge(w[0])
		through.Merge(w[1])
	}
	figures := []Figure{{Name: "overhead_calls", Value: float64(through.TotalCount()), Unit: "calls"}}
	for _, q := range []float64{50, 99} {
		a, b := float64(direct.ValueAtQuantile(q))/1e6, float64(through.ValueAtQuantile(q))/1e6
		figures = append(figures,
			Figure{Name: fmt.Sprintf("direct_p%g", q), Value: a, Unit: "ms"},
			Figure{Name: fmt.Sprintf("through_p%g", q), Value: b, Unit: "ms"},
			Figure{Name: fmt.Sprintf("added_p%g", q), Value: b - a, Unit: "ms"})
	}
	return figures, nil
}

// overheadDeployment returns a deployment of two VMs with different services in one zone, so that a call
// that enters at the first VM has to pass the guard of the second.
func overheadDeployment(cfg Config, s *deploymentSpec) dfpdeployment.Config {
	backend := func(name string) dfpdeployment.Service {
		return dfpdeployment.Service{PerZone: 1, Backend: dfpbackendserver.Config{Service: name, Slots: s.services[0].slots}}
	}
	return dfpdeployment.Config{
		Zones:    s.zones[:1],
		Rules:    s.rulesText(1, 1000),
		Seed:     cfg.Seed,
		Services: []dfpdeployment.Service{backend(s.services[1].name), backend(s.services[0].name)},
		Node:     dfpnode.Config{GuardRamp: -1},
	}
}

// alternateCalls sends one request directly and the next through the entry node, until overheadTime has
// passed. It records the latencies in h[0] and h[1].
func alternateCalls(ctx context.Context, client *http.Client, s *deploymentSpec, d *dfpdeployment.Deployment, h [2]*hdrhistogram.Histogram) error {
	path := s.routes[0].path
	urls := [2]string{"http://" + d.VMs[1].Backend.Address() + path, d.VMs[0].CallerURL + path}
	for end := time.Now().Add(overheadTime); time.Now().Before(end); {
		for i, url := range urls {
			began := time.Now()
			if err := get(ctx, client, url, s.organisations[0].key); err != nil {
				return err
			}
			if err := h[i].RecordValue(int64(time.Since(began))); err != nil {
				return err
			}
		}
	}
	return nil
}

// get sends a GET request and reads the whole answer. It returns an error unless the status is 200.
func get(ctx context.Context, client *http.Client, url, key string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, answer.StatusCode)
	}
	return nil
}

// measureIdle measures the processor time and memory that each VM of a deployment uses without requests.
// The stand-ins of the backend servers and the platform run in the same process and are included.
func measureIdle(cfg Config, s *deploymentSpec, v variant) ([]Figure, error) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d, err := dfpdeployment.Start(s.deploymentConfig(cfg, v))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	cpu := cpuTime()
	time.Sleep(idleTime)
	cpu = cpuTime() - cpu
	runtime.GC()
	runtime.ReadMemStats(&after)
	vms := float64(len(d.VMs))
	memory := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
	return []Figure{
		{Name: "idle_cpu_per_vm", Value: 100 * cpu.Seconds() / idleTime.Seconds() / vms, Unit: "% of a core, stand-ins included"},
		{Name: "idle_memory_per_vm", Value: memory / vms / (1 << 20), Unit: "MiB of heap and stacks, stand-ins included"},
	}, nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("dfplab: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
