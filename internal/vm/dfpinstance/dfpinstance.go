// Package dfpinstance orders what a backend server says of itself.
//
// A heartbeat may arrive seconds late, after a new instance has registered at the same address, or
// after a later heartbeat of its own. Instances are ordered by when they started, the
// heartbeats of one by their sequence. An instance that has said that it leaves never takes
// that back.
//
// # Usage
//
//	var tracker dfpinstance.Tracker
//	if tracker.Heard(heartbeat) && !tracker.Leaving() { ... }
//	tracker.Left("i-7f3a91c2")
//
// A Tracker is pure and not safe for concurrent use. Its zero value knows no instance.
package dfpinstance

// Heartbeat is what a backend server says of itself now and then.
type Heartbeat struct {
	// Instance names one start of a backend server, though a name may come again.
	Instance string
	// Started is when it started, in Unix milliseconds.
	Started int64
	// Sequence grows with each heartbeat of the instance.
	Sequence uint64
	// Draining says that it takes no new work.
	Draining bool
}

// Tracker holds the newest instance that was heard.
type Tracker struct {
	current Heartbeat
	leaving bool
	// left is the newest instance by its start that said that it leaves before it was heard
	// otherwise.
	left string
}

// Observe takes a heartbeat and reports whether it is news. One that is not says nothing of the
// present.
func (t *Tracker) Observe(h Heartbeat) bool {
	c := t.current
	same := h.Instance == c.Instance && h.Started == c.Started
	switch {
	case h.Started < c.Started, same && h.Sequence <= c.Sequence:
		return false
	case !same && h.Started == c.Started && c.Instance != "":
		return false // Two instances cannot start at one address in one millisecond.
	}
	if !same {
		t.leaving = h.Instance == t.left && c.Instance == ""
	}
	t.current = h
	t.leaving = t.leaving || h.Draining
	return true
}

// Deregister says that an instance leaves.
func (t *Tracker) Deregister(instance string) {
	if t.current.Instance == "" {
		t.left = instance
	}
	if instance == t.current.Instance {
		t.leaving = true
	}
}

// Leaving reports whether the newest instance has said that it leaves.
func (t *Tracker) Leaving() bool { return t.leaving }

// Instance returns the newest instance's name; empty if none was heard.
func (t *Tracker) Instance() string { return t.current.Instance }
