package dfpnode

import (
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpinstance"
)

// observeNotice processes what the backend server said about itself in the answer to a request that was sent
// to it at the given time.
func (g *guardLoop) observeNotice(backend Announcement, sent time.Time, notice dfpcall.Notice) {
	g.updateNotices(backend.identity(), func(now time.Time) bool { return g.notices.Observe(now, sent, notice) })
}

// adoptNotice processes what another node knows of the backend server. It does not tell instances without a
// name apart, so it ignores notices of them.
func (g *guardLoop) adoptNotice(known *dfpcall.InstanceNotice) {
	if known.Instance != "" {
		g.updateNotices(known.Instance, func(now time.Time) bool { return g.notices.Adopt(now, known.Notice) })
	}
}

// updateNotices calls update if the identity is that of the process announced, and acts on the change that it
// reports.
func (g *guardLoop) updateNotices(identity string, update func(now time.Time) bool) {
	now := time.Now()
	g.mu.Lock()
	if g.backend.identity() != identity || !update(now) {
		g.mu.Unlock()
		return
	}
	backend, current := g.backend, g.notices.Current()
	g.reported = nil
	if current != (dfpcall.Notice{}) {
		g.reported = &dfpcall.InstanceNotice{Instance: identity, Notice: current}
	}
	g.deliver(g.guard.SetRateLimit(now, current.Limited, current.Rate))
	g.mu.Unlock()
	if current.Leaving {
		g.n.Drain()
		if backend.Instance != "" {
			g.n.departures.add(dfpinstance.Departure{Instance: backend.Instance, Started: backend.Started})
		}
	}
	dfpevent.Write(g.n.journal, now, func() *dfpevent.Notice {
		return &dfpevent.Notice{Instance: backend.Instance, Service: backend.Service, Notice: current}
	})
}

// resetNotices forgets the notices of the instance before. g.mu must be held.
func (g *guardLoop) resetNotices() {
	g.notices, g.reported = dfpinstance.Notices{}, nil
	g.deliver(g.guard.SetRateLimit(time.Now(), false, 0))
}

// rateLimit returns the limit that the backend server names, in requests a second; -1 if there is none.
func (g *guardLoop) rateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.notices.Current(); current.Limited {
		return current.Rate
	}
	return -1
}

// peerNotices is dfpinstance.PeerNotices for concurrent use.
type peerNotices struct {
	mu      sync.Mutex
	notices dfpinstance.PeerNotices
}

func (p *peerNotices) observe(address string, incarnation uint64, notice *dfpcall.InstanceNotice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.Observe(time.Now(), address, incarnation, notice)
}

func (p *peerNotices) known(address string) *dfpcall.InstanceNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Known(time.Now(), address)
}
