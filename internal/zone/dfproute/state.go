package dfproute

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// vmState is what this node has learned of one VM. All fields are atomics;
// those that belong together may be read out of step, which costs at most
// one poor choice.
type vmState struct {
	// load packs the last reported dfpcall.Load, see packLoad.
	load atomic.Uint64
	// loadAt is when it was reported, in Unix nanoseconds.
	loadAt atomic.Int64
	// outstanding is the number of calls that this node has out to the VM, and
	// outstandingAtLoad what it was when the load was reported.
	outstanding       atomic.Int64
	outstandingAtLoad atomic.Int64

	// failures is the moving part of failed calls, as float64 bits.
	failures atomic.Uint64
	// latency is the moving mean of successful calls' time in seconds, as float64 bits.
	latency atomic.Uint64
	// failedInRow counts failed calls since the last success.
	failedInRow atomic.Int64
	// seen counts finished calls since the VM was last put back.
	seen atomic.Int64
	// waitingSince is since when the VM owes an answer, in Unix nanoseconds: the
	// first call that went out, or the last answer while others were out. 0 if it owes none.
	waitingSince atomic.Int64

	// asideUntil is when a trial is due, in Unix nanoseconds; 0 while in service.
	asideUntil atomic.Int64
	// asideCount is how often the VM was set aside in a row.
	asideCount atomic.Int64
	// probing is 1 while the trial call is out.
	probing atomic.Int32
}

// serviceStats is what this node has learned of one service.
type serviceStats struct {
	// vms is how many VMs the service has and aside how many of them are set aside.
	vms   atomic.Int64
	aside atomic.Int64
	// latency is the moving mean of all successful calls' time in seconds, as float64 bits.
	latency atomic.Uint64
	// bytes is the moving mean of a call's size, as float64 bits.
	bytes atomic.Uint64
}

const (
	// serviceWeight and vmWeight are the weights of a new sample in the means.
	serviceWeight = 1.0 / 128
	vmWeight      = 1.0 / 16
	// failedPart is the moving part of failed calls at which a VM is set aside.
	failedPart = 0.5
	// maxFailedInRow is the number of failed calls without a success between them at which a VM
	// is set aside.
	maxFailedInRow = 4
	// minSeen is the fewest calls by which a VM is judged otherwise.
	minSeen = 8
	// goodSeen is the number of calls after which a VM put back counts as well again.
	goodSeen = 64
	// slowFactor is how many times the service's mean a VM's must be to be set aside.
	slowFactor = 4
	// slowFloor is the least mean time, in seconds, that counts as slow.
	slowFloor = 0.01
	// hangFactor and hangFloor say how long a VM may answer nothing while calls are out: so many
	// times the service's mean, and at least the floor.
	hangFactor = 10
	hangFloor  = time.Second
)

// packLoad stores a load in one word: 16 bits each of in flight and queued together,
// and limit; then importance, cohorts and draining.
func packLoad(l dfpcall.Load) uint64 {
	word := uint64(clamp16(l.InFlight+l.Queued)) | uint64(clamp16(l.Limit))<<16 |
		uint64(l.AdmitImportance)<<32 | uint64(l.AdmitCohorts)<<40
	if l.Draining {
		word |= 1 << 48
	}
	return word | 1<<49
}

func clamp16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// loaded is a load as the router uses it.
type loaded struct {
	busy, limit int64
	load        dfpcall.Load
}

func unpackLoad(word uint64) loaded {
	return loaded{
		busy:  int64(uint16(word)),
		limit: int64(uint16(word >> 16)),
		load: dfpcall.Load{
			AdmitImportance: dfpcall.Importance(word >> 32),
			AdmitCohorts:    uint8(word >> 40),
			Draining:        word&(1<<48) != 0,
		},
	}
}

// fresh returns the last reported load, if it is recent enough to be believed.
func (s *vmState) fresh(now time.Time) (loaded, bool) {
	word := s.load.Load()
	if word == 0 || now.UnixNano()-s.loadAt.Load() > int64(LoadTTL) {
		return loaded{}, false
	}
	return unpackLoad(word), true
}

// score returns how loaded the VM is: about the part of its limit in use.
func (s *vmState) score(now time.Time, slots int) float64 {
	own := s.outstanding.Load()
	l, ok := s.fresh(now)
	if !ok {
		return float64(own+1) / float64(max(slots, 1))
	}
	busy := max(l.busy+own-s.outstandingAtLoad.Load(), own)
	return float64(busy+1) / float64(max(l.limit, 1))
}

// refuses reports whether the VM is believed to refuse such a call, and its level.
func (s *vmState) refuses(now time.Time, importance dfpcall.Importance, cohort uint8) (dfpcall.Level, bool) {
	l, ok := s.fresh(now)
	if !ok || now.UnixNano()-s.loadAt.Load() > int64(AdmissionTTL) {
		return 0, false
	}
	return l.load.Level(), !l.load.Admits(importance, cohort)
}

// sent notes that a call goes out.
func (s *vmState) sent(now time.Time) {
	s.outstanding.Add(1)
	s.waitingSince.CompareAndSwap(0, now.UnixNano())
}

// ended notes that a call ended, and whether the VM was heard.
func (s *vmState) ended(now time.Time, heard bool) {
	out := s.outstanding.Add(-1)
	switch {
	case out < 0:
		panic("dfproute: a target was reported twice")
	case heard && out == 0:
		s.waitingSince.Store(0)
	case heard:
		s.waitingSince.Store(now.UnixNano())
	}
}

// hangs reports whether the VM has owed an answer for too long.
func (s *vmState) hangs(now time.Time, stats *serviceStats) bool {
	since := s.waitingSince.Load()
	if since == 0 {
		return false
	}
	bound := max(hangFloor, time.Duration(hangFactor*loadFloat(&stats.latency)*float64(time.Second)))
	return now.UnixNano()-since > int64(bound)
}

// judge reports whether the VM is an outlier among its service's VMs.
func (s *vmState) judge(stats *serviceStats) bool {
	if s.failedInRow.Load() >= maxFailedInRow {
		return true
	}
	if s.seen.Load() < minSeen {
		return false
	}
	if loadFloat(&s.failures) >= failedPart {
		return true
	}
	latency := loadFloat(&s.latency)
	return latency > slowFloor && latency > slowFactor*loadFloat(&stats.latency)
}

// setAside takes the VM out of service unless too many of its service are out already, and reports
// whether it did.
func (s *vmState) setAside(now time.Time, rnd *rand.Rand, stats *serviceStats) bool {
	if s.asideUntil.Load() != 0 {
		return false
	}
	limit := int64(MaxEjectedFraction * float64(stats.vms.Load()))
	if stats.aside.Add(1) > limit {
		stats.aside.Add(-1)
		return false
	}
	if !s.asideUntil.CompareAndSwap(0, s.nextTrial(now, rnd)) {
		stats.aside.Add(-1)
		return false
	}
	return true
}

// nextTrial returns when a VM set aside now is tried again, in Unix nanoseconds.
func (s *vmState) nextTrial(now time.Time, rnd *rand.Rand) int64 {
	count := min(s.asideCount.Add(1)-1, 10)
	span := min(BaseEjectionTime<<count, MaxEjectionTime)
	return now.UnixNano() + int64(span)/2 + rnd.Int64N(int64(span))
}

// putBack returns the VM to service with a clean record.
func (s *vmState) putBack(stats *serviceStats) {
	s.seen.Store(0)
	s.failedInRow.Store(0)
	s.waitingSince.Store(0)
	storeFloat(&s.failures, 0)
	storeFloat(&s.latency, 0)
	if s.asideUntil.Swap(0) != 0 {
		stats.aside.Add(-1)
	}
}

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

// blend moves the mean in a towards a sample; the first sample sets it. A
// concurrent sample may be lost.
func blend(a *atomic.Uint64, sample, weight float64) {
	old := loadFloat(a)
	if old == 0 {
		storeFloat(a, sample)
		return
	}
	storeFloat(a, old+weight*(sample-old))
}
