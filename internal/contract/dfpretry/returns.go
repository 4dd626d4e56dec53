package dfpretry

import "time"

// Returns tells callers' requests that came back after a refusal from new ones, where callers send
// how long they still wait: a new request of a route has the route's whole time. It is not safe for
// concurrent use; its zero value knows no route.
type RepeatDetector struct{ longest map[string]time.Duration }

const (
	// returnedPart is the part of a route's longest time below which a request has come back.
	returnedPart = 0.95
	// maxReturnRoutes bounds the routes that are remembered.
	maxReturnRoutes = 4096
)

// IsRepeat reports whether a request with so much time left has come back, and learns from it. A
// request without a time is new.
func (r *RepeatDetector) IsRepeat(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	longest := r.longest[route]
	if left > longest && (longest > 0 || len(r.longest) < maxReturnRoutes) {
		if r.longest == nil {
			r.longest = map[string]time.Duration{}
		}
		r.longest[route] = left
		return false
	}
	return float64(left) < returnedPart*float64(longest)
}
