package dfpinstance

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Notices tracks what one instance of a backend server says about itself in its answers. Answers may arrive in
// another order than they were written in: leaving is final, and a limit ends only by the answer to a request
// that was sent after the limit was last named. The zero value has heard nothing.
type Notices struct {
	current dfpcall.Notice
	heard   bool
	// namedAt is when the limit was last named.
	namedAt time.Time
}

// Observe processes the notice of an answer to a request sent at the given time, and reports whether the
// current notice has changed.
func (t *Notices) Observe(now, sent time.Time, n dfpcall.Notice) bool {
	before := t.current
	t.heard = true
	t.current.Leaving = t.current.Leaving || n.Leaving
	if n.Limited {
		t.current.Limited, t.current.Rate, t.namedAt = true, n.Rate, now
	} else if sent.After(t.namedAt) {
		t.current.Limited, t.current.Rate = false, 0
	}
	return t.current != before
}

// Current returns what the instance says about itself.
func (t *Notices) Current() dfpcall.Notice { return t.current }
