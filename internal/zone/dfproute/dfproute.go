// Package dfproute chooses the backend server for a call.
//
// A Router knows every VM by service, availability zone and region. For one
// call it draws two VMs at random and takes the less loaded (the power of two choices:
// Mitzenmacher, 2001), by the load that guards report on their answers and the calls that
// this node has out itself. It looks in the caller's own availability zone
// first, then in its region, then across regions as far as a byte budget for the paid link
// allows. VMs that drain are left out; VMs that fail, hang or are much slower than
// their peers are set aside for a while, never more than a part of a service.
//
// When none of the VMs drawn admits a call of its importance and cohort, the call is refused
// early, before any work is sunk into it.
//
// Choose, Observe and Report are safe for concurrent use and take time that does not grow
// with the fleet: the index is a snapshot, replaced as a whole by SetVMs, and what
// is learned of a VM is kept in atomics that survive the replacement. SetVMs holds a
// mutex against other callers of SetVMs only.
//
// # Usage
//
//	router := dfproute.New(dfproute.Config{Zone: "ost-1", Region: "ost"})
//	router.SetVMs(vms, drained)
//	switch c := router.Choose(now, rnd, dfproute.Query{Service: "ordering"}).(type) {
//	case *dfproute.Target:
//		// Send the call to c.VM.Address, then:
//		router.Report(now, rnd, c, dfproute.Result{Took: took, Failed: failed, Bytes: n})
//	case *dfproute.Refusal:
//		// Answer with *dfpcall.NotRun at once.
//	}
package dfproute

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpvm"
)

// Config configures a Router. Zero values take the defaults.
type Config struct {
	// Zone and Region are where this node stands.
	Zone, Region string
	// CrossRegionBytesPerSecond is what all nodes of this region together may send over the
	// link to other regions; each takes an equal part. 0 takes DefaultCrossRegionBytesPerSecond, negative
	// means no bound.
	CrossRegionBytesPerSecond float64
	// NoEjection turns the setting aside of failing VMs off.
	NoEjection bool
	// NoEarlyRefusal turns refusal by reported admission off.
	NoEarlyRefusal bool
	// SpillWhenFull sends calls to other availability zones of the region where the VM drawn in the
	// own one is full.
	SpillWhenFull bool
	// StayInRegion keeps calls from crossing regions because the own region refuses them for load: they cross only
	// where it has nobody to take them, or those who would let them wait for long.
	StayInRegion bool
	// RandomOnly draws one VM at random, without regard to load.
	RandomOnly bool
	// OnEjectionChange, if not nil, is told when a VM is set aside or put back. It must not call the Router.
	OnEjectionChange func(EjectionChange)
}

// EjectionChange says that a VM was set aside, or put back, and by what it was judged.
type EjectionChange struct {
	At       time.Time
	VM       dfpvm.VM
	Restored bool
	// FailureRate is the moving part of failed calls; Latency and ServiceLatency are the mean times of
	// successful calls there and at the whole service.
	FailureRate             float64
	Latency, ServiceLatency time.Duration
	// NextTrial is when the VM is tried again.
	NextTrial time.Time
}

// The parameters of routing.
const (
	// DefaultCrossRegionBytesPerSecond is 30 Mbit/s.
	DefaultCrossRegionBytesPerSecond = 30e6 / 8
	// CrossRegionBurst is how long the byte budget can be saved up.
	CrossRegionBurst = time.Second
	// LoadTTL is how long a reported load is believed.
	LoadTTL = time.Second
	// AdmissionTTL is how long a reported admission level is believed: shorter, since a call
	// that is refused on its account brings no news.
	AdmissionTTL = 200 * time.Millisecond
	// MaxEjectedFraction is the largest part of a service's VMs set aside.
	MaxEjectedFraction = 0.5
	// BaseEjectionTime is how long a VM is set aside at first; it doubles each time
	// that its trial fails, up to MaxEjectionTime.
	BaseEjectionTime = time.Second
	MaxEjectionTime  = 30 * time.Second
)

// Query describes the call to find a VM for.
type Query struct {
	Service    string
	Importance dfpcall.Importance
	Cohort     uint8
	// Exclude lists addresses already tried.
	Exclude []string
}

// Choice is *Target or *Refusal.
type Choice interface{ choice() }

// Target is the VM chosen. It must be handed to Report exactly once.
type Target struct {
	VM dfpvm.VM
	// CrossRegion says that the call goes over the paid link.
	CrossRegion bool

	service *serviceStats
	state   *vmState
	trial   bool
	cross   int64
}

// Refusal answers the call at once: it did not run.
type Refusal struct {
	Reason     dfpcall.Reason
	RetryAfter time.Duration
	// Level is the lowest admission level among the VMs that refuse; 0 without any.
	Level dfpcall.Level
}

func (*Target) choice()  {}
func (*Refusal) choice() {}

// Result is how a call to a target ended.
type Result struct {
	Took time.Duration
	// Failed says that the VM did not do its work: the link was lost or the
	// backend server failed.
	Failed bool
	// TimedOut says that nothing was heard until the call's deadline. That is no
	// failure by itself, but a VM of which nothing else is heard hangs.
	TimedOut bool
	// Inconclusive says that the call's end speaks neither for nor against the backend server: the
	// guard refused it, its caller cancelled it, or a call nested in it failed.
	Inconclusive bool
	// Bytes is the size of request and answer together.
	Bytes int
}
