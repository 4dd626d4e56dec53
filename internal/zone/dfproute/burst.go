package dfproute

import (
	"math"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// burstSpan and usualSpan are the time constants of an organisation's present and usual rate.
	burstSpan = 250 * time.Millisecond
	usualSpan = 10 * time.Second
	// burstFactor is how many times the usual rate the present one must be for a burst, and
	// burstSlack the number of requests more than that.
	burstFactor = 1.5
	burstSlack  = 3
	// usualCohorts is the number of cohorts for requests outside bursts; the rest,
	// which are shed first, are for bursts.
	usualCohorts = dfpcall.Cohorts * 3 / 4
)

// BurstDetector sorts root requests into cohorts so that an organisation that suddenly sends more
// than usual through this entry is shed before the others of its importance. Its rate may
// allow the burst, but others need not pay for it.
//
// It is safe for concurrent use, with a mutex for each organisation. The zero value is ready.
type BurstDetector struct {
	organisations sync.Map // name string -> *usage
}

// usage counts one organisation's requests, each count fading with its time constant.
type usage struct {
	mu             sync.Mutex
	since, at      time.Time
	present, usual float64
}

// Cohort counts a root request and returns its cohort. Hash is the request's own below
// dfpcall.Cohorts; the result keeps its order.
func (b *BurstDetector) Cohort(now time.Time, organisation string, hash uint8) uint8 {
	found, ok := b.organisations.Load(organisation)
	if !ok {
		found, _ = b.organisations.LoadOrStore(organisation, &usage{since: now, at: now})
	}
	if found.(*usage).bursts(now) {
		return usualCohorts + uint8(int(hash)*(dfpcall.Cohorts-usualCohorts)/dfpcall.Cohorts)
	}
	return uint8(int(hash) * usualCohorts / dfpcall.Cohorts)
}

// Keep forgets the organisations for which keep reports false.
func (b *BurstDetector) Keep(keep func(organisation string) bool) {
	b.organisations.Range(func(organisation, _ any) bool {
		if !keep(organisation.(string)) {
			b.organisations.Delete(organisation)
		}
		return true
	})
}

// bursts counts a request and reports whether the present rate is far over the usual one.
func (u *usage) bursts(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if elapsed := now.Sub(u.at); elapsed > 0 {
		u.present *= fade(elapsed, burstSpan)
		u.usual *= fade(elapsed, usualSpan)
		u.at = now
	}
	u.present++
	u.usual++
	// A count that began only now has not filled its span yet.
	filled := usualSpan.Seconds() * max(1-fade(now.Sub(u.since), usualSpan), burstSpan.Seconds()/usualSpan.Seconds())
	expected := u.usual / filled * burstSpan.Seconds()
	return u.present > burstFactor*expected+burstSlack
}

func fade(elapsed, span time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(span))
}
