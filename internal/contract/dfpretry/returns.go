package dfpretry

import "time"

// RepeatDetector distinguishes callers' repeats after a refusal from new requests, on
// routes whose callers send the time that they still wait: a new request has the route's full
// time left. It is not safe for concurrent use. Its zero value is ready for use.
type RepeatDetector struct{ longest map[string]time.Duration }

const (
	// repeatThreshold is the fraction of a route's longest time below which a request is a repeat.
	repeatThreshold = 0.95
	// maxRepeatRoutes bounds the number of routes remembered.
	maxRepeatRoutes = 4096
)

// IsRepeat reports whether a request with the given time left is a repeat, and updates the
// longest time seen on its route. A request without a time counts as new.
func (d *RepeatDetector) IsRepeat(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	longest := d.longest[route]
	if left > longest && (longest > 0 || len(d.longest) < maxRepeatRoutes) {
		if d.longest == nil {
			d.longest = map[string]time.Duration{}
		}
		d.longest[route] = left
		return false
	}
	return float64(left) < repeatThreshold*float64(longest)
}
