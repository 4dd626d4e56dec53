package dfproute

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// vmState is this node's state of one VM. All fields are atomics. A reader may see
// related fields at different stages of an update, which costs at most
// one poor choice.
type vmState struct {
	// load is the last reported dfpcall.Load, encoded by packLoad; 0 if none was reported.
	load atomic.Uint64
	// loadAt is when the load was reported, in Unix nanoseconds.
	loadAt atomic.Int64
	// outstanding is the number of calls that this node has in flight to the VM, and
	// outstandingAtLoad is what it was when the load was reported.
	outstanding       atomic.Int64
	outstandingAtLoad atomic.Int64

	// failureRate is the moving average of the fraction of calls that failed, as float64 bits.
	failureRate atomic.Uint64
	// latency is the moving average of the duration of successful calls in seconds, as float64 bits.
	latency atomic.Uint64
	// slowness is the mean of their durations divided by the mean duration of their classes.
	slowness runningMean
	// consecutiveFailures counts failed calls since the last success.
	consecutiveFailures atomic.Int64
	// calls counts recorded calls since the VM was last restored.
	calls atomic.Int64
	// waitingSince is when the wait for the VM's next answer began, in Unix nanoseconds: at the
	// first call, or at the last answer that left other calls in flight. 0 if no answer is due.
	waitingSince atomic.Int64
	// slowestClass is the class of the calls in flight whose answers may take the longest.
	slowestClass atomic.Pointer[classStats]

	// limitedUntil is until when the VM refuses calls for a rate that its backend server names, in Unix nanoseconds.
	limitedUntil atomic.Int64
	// ejectedUntil is when a trial call is due, in Unix nanoseconds; 0 while the VM is in service.
	ejectedUntil atomic.Int64
	// ejectionCount counts ejections and failed trials since the VM was last healthy.
	ejectionCount atomic.Int64
	// trialInFlight is 1 while a trial call is in flight, else 0.
	trialInFlight atomic.Int32
}

// serviceStats is this node's state of one service.
type serviceStats struct {
	// vms is the number of the service's VMs that take new work; ejected is how many of them are ejected.
	vms     atomic.Int64
	ejected atomic.Int64
	// latency is the moving average of the duration of all successful calls in seconds, as float64 bits.
	latency atomic.Uint64
	// bytes is the moving average of the size of a call, as float64 bits.
	bytes atomic.Uint64
	// classes holds a *classStats for each class of calls by its name; classCount is how many there are.
	classes    sync.Map
	classCount atomic.Int64
	// otherClass counts the calls of the classes beyond maxClasses.
	otherClass classStats
}

// classStats is this node's state of one class of calls to a service.
type classStats struct {
	// latency is the mean duration of successful calls in seconds.
	latency runningMean
	// independent is set if the last VM that knew said that the class does not depend on nested calls.
	independent atomic.Bool
}

// expected returns the mean duration of a call in seconds; 0 if there were too few to tell.
func (c *classStats) expected() float64 { return c.latency.of(minClassCalls) }

// class returns the state of a class, and adds it if there is room.
func (s *serviceStats) class(name string) *classStats {
	if class, found := s.classes.Load(name); found {
		return class.(*classStats)
	}
	if s.classCount.Load() >= maxClasses {
		return &s.otherClass
	}
	class, found := s.classes.LoadOrStore(name, new(classStats))
	if !found {
		s.classCount.Add(1)
	}
	return class.(*classStats)
}

// maxWait returns how long a call may take before the VM counts as hung if it answers nothing.
func (c *classStats) maxWait() time.Duration {
	expected := c.expected()
	if expected == 0 {
		return unknownHangTime
	}
	return max(minHangTime, time.Duration(hangFactor*expected*float64(time.Second)))
}

const (
	// serviceWeight and vmWeight are the weights of a new value in the moving averages.
	serviceWeight = 1.0 / 128
	vmWeight      = 1.0 / 16
	// maxFailureRate is the failure rate at which a VM is ejected.
	maxFailureRate = 0.5
	// maxConsecutiveFailures is the number of consecutive failures at which a VM is ejected.
	maxConsecutiveFailures = 4
	// minCalls is the least number of recorded calls for an ejection by failure rate or latency.
	minCalls = 8
	// recoveredCalls is the number of recorded calls after which a restored VM counts as healthy.
	recoveredCalls = 64
	// slowFactor is the ratio of the durations of a VM's calls to the means of their classes above which
	// the VM is ejected.
	slowFactor = 4
	// minSlowSeconds is the latency, in seconds, up to which a VM never counts as slow: a process that waits
	// for its processor is often this late.
	minSlowSeconds = 0.05
	// A VM hangs if it has answered nothing for hangFactor times the mean latency of the slowest class that it
	// has calls of, and for at least minHangTime, while calls are in flight.
	hangFactor  = 5
	minHangTime = time.Second
	// unknownHangTime takes its place for a class whose mean latency is not known yet.
	unknownHangTime = 3 * time.Second
	// minClassCalls is the least number of calls of a class for its mean duration to count.
	minClassCalls = 32
	// maxClasses bounds the classes of calls of one service that are told apart.
	maxClasses = 64
)

// packLoad encodes a load in one word, from the lowest bit: 16 bits for the sum of in flight and queued, 16 for
// the limit, 8 each for importance and cohorts, one for draining, one that is always set, one for a named rate, and 9
// for the nested level.
func packLoad(l dfpcall.Load) uint64 {
	word := uint64(clamp16(l.InFlight+l.Queued)) | uint64(clamp16(l.Limit))<<16 |
		uint64(l.AdmitImportance)<<32 | uint64(l.AdmitCohorts)<<40
	if l.Draining {
		word |= 1 << 48
	}
	if l.Notice != nil && l.Notice.Limited {
		word |= 1 << 50
	}
	return word | 1<<49 | uint64(min(l.NestedLevel, dfpcall.MaxLevel-1))<<51
}

func clamp16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// unpackedLoad is a decoded load. InFlight includes queued calls, and load has the admission fields only.
type unpackedLoad struct {
	inFlight, limit int64
	load            dfpcall.Load
	// rateLimited reports that the backend server names a rate.
	rateLimited bool
}

func unpackLoad(word uint64) unpackedLoad {
	return unpackedLoad{
		inFlight: int64(uint16(word)),
		limit:    int64(uint16(word >> 16)),
		load: dfpcall.Load{
			AdmitImportance: dfpcall.Importance(word >> 32),
			AdmitCohorts:    uint8(word >> 40),
			Draining:        word&(1<<48) != 0,
			NestedLevel:     dfpcall.Level(word >> 51),
		},
		rateLimited: word&(1<<50) != 0,
	}
}

// freshLoad returns the last reported load, unless it is older than LoadTTL.
func (s *vmState) freshLoad(now time.Time) (unpackedLoad, bool) {
	word := s.load.Load()
	if word == 0 || now.UnixNano()-s.loadAt.Load() > int64(LoadTTL) {
		return unpackedLoad{}, false
	}
	return unpackLoad(word), true
}

// score returns the load score of the VM: calls in progress, the next one included, divided by the VM's
// limit. Without a fresh load it counts this node's own calls against the VM's slots.
func (s *vmState) score(now time.Time, slots int) float64 {
	own := s.outstanding.Load()
	l, ok := s.freshLoad(now)
	if !ok {
		return float64(own+1) / float64(max(slots, 1))
	}
	inFlight := max(l.inFlight+own-s.outstandingAtLoad.Load(), own)
	return float64(inFlight+1) / float64(max(l.limit, 1))
}

// refuses returns the VM's admission level for a class and reports whether the VM is expected to refuse such a call.
func (s *vmState) refuses(now time.Time, class *classStats, importance dfpcall.Importance, cohort uint8) (dfpcall.Level, bool) {
	l, ok := s.freshLoad(now)
	if !ok || now.UnixNano()-s.loadAt.Load() > int64(AdmissionTTL) {
		return 0, false
	}
	load := l.load
	if !class.independent.Load() {
		load = load.Raise(load.NestedLevel)
	}
	return load.Level(), !load.Admits(importance, cohort)
}

// limited reports whether the VM is known to be beyond a rate that its backend server names, or takes fewer
// importances because of it. It also returns the VM's admission level.
func (s *vmState) limited(now time.Time, class *classStats, importance dfpcall.Importance, cohort uint8) (dfpcall.Level, bool) {
	l, _ := s.freshLoad(now)
	level, refuses := s.refuses(now, class, importance, cohort)
	level = max(level, l.load.Level()) % dfpcall.MaxLevel
	return level, now.UnixNano() < s.limitedUntil.Load() || refuses && l.rateLimited
}

// callStarted records that a call of a class is sent to the VM.
func (s *vmState) callStarted(now time.Time, class *classStats) {
	before := s.slowestClass.Load()
	if s.outstanding.Add(1) == 1 || before == nil || class.maxWait() > before.maxWait() {
		s.slowestClass.Store(class)
	}
	s.waitingSince.CompareAndSwap(0, now.UnixNano())
}

// callEnded records that a call ended, and whether the VM answered.
func (s *vmState) callEnded(now time.Time, answered bool) {
	remaining := s.outstanding.Add(-1)
	switch {
	case remaining < 0:
		panic("dfproute: target reported twice")
	case answered && remaining == 0:
		s.waitingSince.Store(0)
	case answered:
		s.waitingSince.Store(now.UnixNano())
	}
}

// hangs reports whether an answer of the VM is overdue, see hangFactor.
func (s *vmState) hangs(now time.Time) bool {
	since, class := s.waitingSince.Load(), s.slowestClass.Load()
	return since != 0 && class != nil && now.UnixNano()-since > int64(class.maxWait())
}

// isOutlier reports whether the VM fails too often or is much slower than the others of its service.
func (s *vmState) isOutlier() bool {
	if s.consecutiveFailures.Load() >= maxConsecutiveFailures {
		return true
	}
	if s.calls.Load() < minCalls {
		return false
	}
	if loadFloat(&s.failureRate) >= maxFailureRate {
		return true
	}
	return loadFloat(&s.latency) > minSlowSeconds && s.slowness.of(minCalls) > slowFactor
}

// eject takes the VM out of service and reports whether it did so: not if the VM is ejected already or
// MaxEjectedFraction is reached.
func (s *vmState) eject(now time.Time, rnd *rand.Rand, stats *serviceStats) bool {
	if s.ejectedUntil.Load() != 0 {
		return false
	}
	limit := int64(MaxEjectedFraction * float64(stats.vms.Load()))
	if stats.ejected.Add(1) > limit {
		stats.ejected.Add(-1)
		return false
	}
	if !s.ejectedUntil.CompareAndSwap(0, s.nextTrial(now, rnd)) {
		stats.ejected.Add(-1)
		return false
	}
	return true
}

// nextTrial counts an ejection that begins now and returns when its trial call is due, in Unix nanoseconds.
func (s *vmState) nextTrial(now time.Time, rnd *rand.Rand) int64 {
	doublings := min(s.ejectionCount.Add(1)-1, 10)
	mean := min(BaseEjectionTime<<doublings, MaxEjectionTime)
	return now.UnixNano() + int64(mean)/2 + rnd.Int64N(int64(mean))
}

// restore returns the VM to service and resets its failure and latency statistics.
func (s *vmState) restore(stats *serviceStats) {
	s.calls.Store(0)
	s.consecutiveFailures.Store(0)
	s.waitingSince.Store(0)
	storeFloat(&s.failureRate, 0)
	storeFloat(&s.latency, 0)
	s.slowness.reset()
	if s.ejectedUntil.Swap(0) != 0 {
		stats.ejected.Add(-1)
	}
}

// runningMean is the plain mean of the first values added, and their moving average later.
type runningMean struct {
	value atomic.Uint64 // float64 bits.
	count atomic.Int64
}

// add adds a value, with at least the given weight.
func (m *runningMean) add(value, weight float64) {
	updateMean(&m.value, value, max(weight, 1/float64(m.count.Add(1))))
}

// of returns the mean, or 0 if there are fewer values than minCount.
func (m *runningMean) of(minCount int64) float64 {
	if m.count.Load() < minCount {
		return 0
	}
	return loadFloat(&m.value)
}

func (m *runningMean) reset() {
	m.count.Store(0)
	storeFloat(&m.value, 0)
}

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

// updateMean moves the moving average in a towards value; the first value sets it. A
// concurrent update may be lost.
func updateMean(a *atomic.Uint64, value, weight float64) {
	old := loadFloat(a)
	if old == 0 {
		storeFloat(a, value)
		return
	}
	storeFloat(a, old+weight*(value-old))
}
