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

// Adopt processes what another node knew of this instance before this node restarted, and reports whether the
// current notice has changed. It does not replace what the instance has said to this node.
func (t *Notices) Adopt(now time.Time, n dfpcall.Notice) bool {
	before := t.current
	t.current.Leaving = t.current.Leaving || n.Leaving
	if !t.heard && n.Limited && !t.current.Limited {
		t.current.Limited, t.current.Rate, t.namedAt = true, n.Rate, now
	}
	return t.current != before
}

// Current returns what the instance says about itself.
func (t *Notices) Current() dfpcall.Notice { return t.current }

// peerNoticeTTL is how long a notice is remembered after the guard that reported it was last heard.
const peerNoticeTTL = time.Minute

// PeerNotices remembers what the guards of other nodes reported about their backend servers, so that a guard
// can be told again after its process has restarted. The zero value is empty.
type PeerNotices struct{ byAddress map[string]peerNotice }

type peerNotice struct {
	incarnation uint64
	notice      *dfpcall.InstanceNotice
	heardAt     time.Time
}

// Observe records the notice that the node at an address reported; nil if it reported none. The process that
// reported a notice can take it back, a later process at the address cannot.
func (p *PeerNotices) Observe(now time.Time, address string, incarnation uint64, notice *dfpcall.InstanceNotice) {
	if notice != nil {
		if p.byAddress == nil {
			p.byAddress = make(map[string]peerNotice)
		}
		p.byAddress[address] = peerNotice{incarnation, notice, now}
		return
	}
	if known, ok := p.byAddress[address]; ok && (known.incarnation == incarnation || now.Sub(known.heardAt) > peerNoticeTTL) {
		delete(p.byAddress, address)
	}
}

// Known returns the notice to send to the node at an address, or nil.
func (p *PeerNotices) Known(now time.Time, address string) *dfpcall.InstanceNotice {
	known, ok := p.byAddress[address]
	if !ok || now.Sub(known.heardAt) > peerNoticeTTL {
		return nil
	}
	return known.notice
}
