// Package dfproute chooses the backend server for a call.
//
// A Router knows every VM by service, availability zone and region. For one
// call it draws two VMs at random and takes the less loaded (the power of two choices:
// Mitzenmacher, 2001). The load is the one that the VM's guard last reported, corrected by the
// calls that this node has in flight to the VM. The router tries three tiers in order: the node's own
// availability zone, the rest of its region, and other regions. Traffic to other regions is billed, so a
// byte budget limits it. The router leaves out VMs that drain. It ejects VMs that fail, hang or are much
// slower than the others of their service, judged by the class of each call: an ejected VM gets no calls until a trial call is due, and the
// call's outcome decides whether the VM returns to service. At most a fraction of a service's VMs is
// ejected at a time.
//
// When no VM drawn admits a call of its importance and cohort, the router refuses the call
// before any work is spent on it.
//
// Choose, Observe and Report are safe for concurrent use and take time that does not grow
// with the fleet: the index is a snapshot, which SetVMs replaces as a whole, and the state
// of each VM is held in atomics that survive the replacement. SetVMs holds a
// mutex against other callers of SetVMs only.
//
// Two more types decide about root requests, the ones that enter the fleet at this node: BurstDetector
// gives them cohorts, and ChainLevels refuses those that a guard further down the call chain would refuse.
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
	// Zone and Region are those of this node.
	Zone, Region string
	// CrossRegionBytesPerSecond is the number of bytes a second that all nodes of this region together may
	// exchange with other regions; each node gets an equal share. 0 takes DefaultCrossRegionBytesPerSecond,
	// a negative value means no limit.
	CrossRegionBytesPerSecond float64
	// NoEjection disables the ejection of outliers.
	NoEjection bool
	// NoEarlyRefusal disables refusals by the reported admission level.
	NoEarlyRefusal bool
	// SpillWhenFull sends calls to other availability zones of the region if the VM drawn in the
	// node's own zone is at its limit.
	SpillWhenFull bool
	// StayInRegion keeps calls in the region even if its VMs refuse them for overload. A call goes to another
	// region only if this one has no VM for it, or if it would queue for long here and a VM there has room.
	StayInRegion bool
	// RandomOnly draws one VM at random, regardless of load.
	RandomOnly bool
	// OnEjectionChange, if not nil, is called when a VM is ejected or restored. It must not call the Router.
	OnEjectionChange func(EjectionChange)
}

// EjectionChange reports that a VM was ejected or restored, with the measurements behind the decision.
type EjectionChange struct {
	At       time.Time
	VM       dfpvm.VM
	Restored bool
	// FailureRate is the moving average of the fraction of calls that failed. Latency and ServiceLatency are
	// the moving averages of the duration of successful calls, of this VM and of the whole service.
	FailureRate             float64
	Latency, ServiceLatency time.Duration
	// NextTrial is when the next trial call is due; zero for a VM that was restored.
	NextTrial time.Time
}

// The parameters of routing.
const (
	// DefaultCrossRegionBytesPerSecond is 30 Mbit/s.
	DefaultCrossRegionBytesPerSecond = 30e6 / 8
	// CrossRegionBurst is the time for which unused byte budget accumulates.
	CrossRegionBurst = time.Second
	// LoadTTL is how long a reported load is used.
	LoadTTL = time.Second
	// AdmissionTTL is how long a reported admission level is used. It is shorter than LoadTTL, since a call
	// that is refused by that level brings back no newer one.
	AdmissionTTL = 200 * time.Millisecond
	// MaxLimitedTime is the longest time for which a VM gets no calls after it refused one for a rate that its
	// backend server names. Only calls tell that the limit has ended.
	MaxLimitedTime = time.Second
	// MaxEjectedFraction is the largest fraction of a service's VMs that may be ejected at a time.
	MaxEjectedFraction = 0.5
	// BaseEjectionTime is the mean duration of a first ejection. It doubles with each
	// failed trial call, up to a mean of MaxEjectionTime.
	BaseEjectionTime = time.Second
	MaxEjectionTime  = 30 * time.Second
)

// Query describes the call to find a VM for.
type Query struct {
	Service    string
	Importance dfpcall.Importance
	Cohort     uint8
	// Class names the calls that are expected to take equally long, such as those of one route.
	Class string
	// Exclude lists addresses already tried.
	Exclude []string
}

// Choice is *Target or *Refusal.
type Choice interface{ choice() }

// Target is the VM chosen. The caller must pass it to Report exactly once.
type Target struct {
	VM dfpvm.VM
	// CrossRegion reports whether the VM is in another region.
	CrossRegion bool

	service       *serviceStats
	class         *classStats
	state         *vmState
	trial         bool
	reservedBytes int64
}

// Refusal means that the call must be answered at once as not run.
type Refusal struct {
	Reason     dfpcall.Reason
	RetryAfter time.Duration
	// Level is the lowest admission level among the VMs drawn that refuse the call; 0 if there are none.
	Level dfpcall.Level
}

func (*Target) choice()  {}
func (*Refusal) choice() {}

// Result is how a call to a target ended.
type Result struct {
	Took time.Duration
	// Failed reports that the connection was lost or that the backend server failed.
	Failed bool
	// TimedOut reports that no answer came before the call's deadline. That alone does not count as a
	// failure, but a VM that gives no answer at all counts as hung.
	TimedOut bool
	// Inconclusive reports that the outcome says nothing about the backend server: its
	// guard refused the call, the caller cancelled it, or a call nested in it failed.
	Inconclusive bool
	// LimitedFor is how long the VM refuses calls, if it refused this one for a rate that its backend server names.
	LimitedFor time.Duration
	// Bytes is the size of request and answer together.
	Bytes int
	// Dependence is what the VM's guard knows of the class.
	Dependence dfpcall.Dependence
}
