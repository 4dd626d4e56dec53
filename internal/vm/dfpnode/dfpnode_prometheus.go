package dfpnode

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dragonflyport/internal/contract/dfpcall"
)

// latencyBuckets are the histogram's bounds in seconds, around the latency objectives and timeouts of routes.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6}

// prometheusMetrics holds the metrics that the node serves as Prometheus text. Label values come only from
// the rules and from constants, never from callers. Each node has its own registry because several
// nodes may run in one process.
type prometheusMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

func newPrometheusMetrics(n *Node) *prometheusMetrics {
	e := &prometheusMetrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflyport_requests_total", Help: "Requests of callers by how they ended.",
		}, []string{"service", "organisation", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dragonflyport_request_seconds", Help: "Time of callers' requests in seconds.", Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
	}
	e.registry.MustRegister(e.requests, e.seconds, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, gauge := range []struct {
		name, help string
		value      func() float64
	}{
		{"rules_version", "Version of the rules in force.", func() float64 { return float64(n.config.version()) }},
		{"rules_age_seconds", "Time since the rules were known to be the newest; -1 if never.", n.rulesAgeSeconds},
		{"guard_in_flight", "Requests that the backend server runs.", func() float64 { return float64(n.guard.load().InFlight) }},
		{"guard_queued", "Requests that wait for the backend server.", func() float64 { return float64(n.guard.load().Queued) }},
		{"guard_limit", "Requests that the backend server may run at once.", func() float64 { return float64(n.guard.load().Limit) }},
		{"guard_level", "Admission level, from 0 for all to 512 for none.", func() float64 { return float64(n.guard.load().Level()) }},
		{"guard_rate_limit", "Requests a second that the backend server takes from all nodes together; -1 without a limit.", n.guard.rateLimit},
		{"backend_crashes", "Times that the backend server was seen to have crashed under requests.", func() float64 { return float64(n.metrics.backendCrashes.Value()) }},
		{"platform_restores", "Times that the platform's store was restored from an earlier copy.", func() float64 { return float64(n.metrics.platformRestores.Value()) }},
		{"platform_failures", "Failed calls to the platform's store.", func() float64 { return float64(n.metrics.platformFailures.Value()) }},
		{"retries", "Attempts beyond the first.", func() float64 { return float64(n.metrics.retries.Value()) }},
		{"vms", "VMs that are known and have not left.", func() float64 { return float64(n.router.Nodes()) }},
	} {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "dragonflyport_" + gauge.name, Help: gauge.help,
		}, gauge.value))
	}
	return e
}

func (n *Node) rulesAgeSeconds() float64 {
	age, known := n.config.age()
	if !known {
		return -1
	}
	return age.Seconds()
}

func (e *prometheusMetrics) request(req *dfpcall.Request, outcome, reason string, took time.Duration) {
	e.requests.WithLabelValues(req.Service, req.Organisation, outcome, reason).Inc()
	e.seconds.WithLabelValues(req.Service, outcome).Observe(took.Seconds())
}

// Metrics returns a handler that serves the node's counters, gauges and histograms as Prometheus text.
func (n *Node) Metrics() http.Handler {
	return promhttp.HandlerFor(n.prometheus.registry, promhttp.HandlerOpts{})
}
