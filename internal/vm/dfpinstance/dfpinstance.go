// Package dfpinstance tracks the newest instance of a backend server from its heartbeats, which instances have
// left, and what instances say about themselves in their answers.
//
// A heartbeat may arrive seconds late, after a new instance has registered at the same address, or after a
// later heartbeat of the same instance. Instances are ordered by their start time, and the heartbeats of one
// instance by their sequence. An instance that is draining or has deregistered is leaving, and stays so, also
// if the node's process is replaced by another one meanwhile.
//
// # Usage
//
//	var tracker dfpinstance.Tracker
//	if tracker.Observe(heartbeat) { announce(heartbeat) }
//
//	var departures dfpinstance.Departures // Of one VM, at its node.
//	if departures.Add(dfpinstance.Departure{Instance: "i-7f3a91c2", Started: started}) { store(departures.All()) }
//	if departures.Include(heartbeat.Instance, heartbeat.Started) { drain() }
//
//	var notices dfpinstance.Notices // Of one instance, at the node beside it.
//	if notices.Observe(now, sent, notice) { apply(notices.Current()) }
//
//	var peers dfpinstance.PeerNotices // Of all other instances, as their nodes report them.
//	peers.Observe(now, address, incarnation, reported)
//	request.Known = peers.Known(now, address)
//
// The types have no clock and do no I/O. They are not safe for concurrent use. The zero value of a Tracker
// knows no instance.
package dfpinstance

// Heartbeat is a periodic report of a backend server on itself.
type Heartbeat struct {
	// Instance names one run of a backend server. A later run may use the same name.
	Instance string
	// Started is the start time of the instance, in Unix milliseconds.
	Started int64
	// Sequence increases with each heartbeat of the instance.
	Sequence uint64
}

// Tracker holds the newest heartbeat observed.
type Tracker struct{ current Heartbeat }

// Observe processes a heartbeat and reports whether it is newer than all before. An older heartbeat is
// ignored.
func (t *Tracker) Observe(h Heartbeat) bool {
	c := t.current
	same := h.Instance == c.Instance && h.Started == c.Started
	switch {
	case h.Started < c.Started, same && h.Sequence <= c.Sequence:
		return false
	case !same && h.Started == c.Started && c.Instance != "":
		return false // Two instances cannot start at one address in one millisecond.
	}
	t.current = h
	return true
}

// Instance returns the name of the newest instance; empty if none was observed.
func (t *Tracker) Instance() string { return t.current.Instance }
