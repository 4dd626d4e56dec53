// Package dfpdependence finds out which classes of requests depend on the nested calls of a backend server that does
// not name the request for which it makes a call.
//
// Each nested call that fails makes the request fail that made it. If all running requests made such calls alike,
// each of them would have the same chance to fail with it: one divided by their number. An Estimator adds up these
// chances over the run of each request, and compares the sum for a class with the failures that the class had, as
// the log-rank test does (Mantel, Cancer Chemotherapy Reports 50, 1966). A class that should have had several failures
// and had hardly any does not depend on the calls.
//
// Without failed calls nothing is learned. A class of which nothing is known should be taken to depend on the calls.
//
// # Usage
//
//	run := estimator.Start("book")
//	estimator.CallFailed()         // For each nested call that failed meanwhile.
//	estimator.End(run, failed)
//	if estimator.Dependence("book") == dfpcall.Independent { ... }
//
// An Estimator has no clock and does no I/O. It is not safe for concurrent use.
package dfpdependence

import "dragonflyport/internal/contract/dfpcall"

const (
	// minExpected is the number of failures that a class should have had before anything is known of it.
	minExpected = 4
	// maxIndependentFraction is the largest part of the expected failures that an independent class has, by other causes.
	maxIndependentFraction = 0.2
	// maxExpected is the sum from which on older runs count for less, so that a class that changes is noticed.
	maxExpected = 60
	// maxClasses bounds the classes. Those beyond it count as dependent.
	maxClasses = 256
)

// Estimator holds what is known of the classes of one backend server. The zero value is ready to use.
type Estimator struct {
	running int
	// hazard is the sum, over all nested calls that failed, of one divided by the number of running requests.
	hazard  float64
	classes map[string]*class
}

// class is what is known of one class: the failures that it should have had if it made calls as the others do, and
// those that it had.
type class struct{ expected, failed float64 }

// Run is one running request.
type Run struct {
	class string
	// before is the hazard at the start.
	before float64
}

// Start records that a request of a class starts to run.
func (e *Estimator) Start(class string) Run {
	e.running++
	return Run{class: class, before: e.hazard}
}

// CallFailed records that a nested call has failed.
func (e *Estimator) CallFailed() {
	if e.running > 0 {
		e.hazard += 1 / float64(e.running)
	}
}

// End records that a request has ended, and whether it failed.
func (e *Estimator) End(run Run, failed bool) {
	e.running--
	expected := min(e.hazard-run.before, 1)
	if expected <= 0 {
		return
	}
	c := e.classes[run.class]
	if c == nil {
		if len(e.classes) >= maxClasses {
			return
		}
		if e.classes == nil {
			e.classes = map[string]*class{}
		}
		c = new(class)
		e.classes[run.class] = c
	}
	c.expected += expected
	if failed {
		c.failed++
	}
	if c.expected > maxExpected {
		c.expected, c.failed = c.expected/2, c.failed/2
	}
}

// Dependence returns what is known of a class.
func (e *Estimator) Dependence(name string) dfpcall.Dependence {
	switch c := e.classes[name]; {
	case c == nil || c.expected < minExpected:
		return dfpcall.DependenceUnknown
	case c.failed <= maxIndependentFraction*c.expected:
		return dfpcall.Independent
	default:
		return dfpcall.Dependent
	}
}
