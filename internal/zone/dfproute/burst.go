package dfproute

import (
	"math"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// currentTimeConstant and baselineTimeConstant are the time constants of the two moving averages of an
	// organisation's request rate.
	currentTimeConstant  = 250 * time.Millisecond
	baselineTimeConstant = 10 * time.Second
	// A burst is a current count above burstFactor times the count expected at the baseline rate,
	// plus burstSlack requests.
	burstFactor = 1.5
	burstSlack  = 3
	// baselineCohorts is the number of cohorts for requests outside bursts. Requests of a burst get the other
	// cohorts, which are shed first.
	baselineCohorts = dfpcall.Cohorts * 3 / 4
)

// BurstDetector assigns cohorts to root requests. If an organisation suddenly sends more requests
// through this node than usual, these are shed before those of other organisations of the same
// importance. The organisation's rate may allow the burst, but it must not be at the expense of others.
//
// A BurstDetector is safe for concurrent use; it has a mutex for each organisation. The zero
// value is ready to use.
type BurstDetector struct {
	organisations sync.Map // name string -> *requestRate
}

// requestRate holds two exponentially decaying counts of one organisation's requests.
type requestRate struct {
	mu                sync.Mutex
	since, at         time.Time // When counting began, and the time of the last request.
	current, baseline float64
}

// Cohort counts a root request and returns its cohort. Hash is the request's hash, below
// dfpcall.Cohorts. Within and outside bursts, cohorts have the order of their hashes.
func (b *BurstDetector) Cohort(now time.Time, organisation string, hash uint8) uint8 {
	found, ok := b.organisations.Load(organisation)
	if !ok {
		found, _ = b.organisations.LoadOrStore(organisation, &requestRate{since: now, at: now})
	}
	if found.(*requestRate).countAndTest(now) {
		return baselineCohorts + uint8(int(hash)*(dfpcall.Cohorts-baselineCohorts)/dfpcall.Cohorts)
	}
	return uint8(int(hash) * baselineCohorts / dfpcall.Cohorts)
}

// Keep deletes the organisations for which keep returns false.
func (b *BurstDetector) Keep(keep func(organisation string) bool) {
	b.organisations.Range(func(organisation, _ any) bool {
		if !keep(organisation.(string)) {
			b.organisations.Delete(organisation)
		}
		return true
	})
}

// countAndTest counts a request and reports whether it belongs to a burst.
func (r *requestRate) countAndTest(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.current *= decay(elapsed, currentTimeConstant)
		r.baseline *= decay(elapsed, baselineTimeConstant)
		r.at = now
	}
	r.current++
	r.baseline++
	// A baseline that began less than its time constant ago covers a shorter time.
	covered := baselineTimeConstant.Seconds() *
		max(1-decay(now.Sub(r.since), baselineTimeConstant), currentTimeConstant.Seconds()/baselineTimeConstant.Seconds())
	expected := r.baseline / covered * currentTimeConstant.Seconds()
	return r.current > burstFactor*expected+burstSlack
}

func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
