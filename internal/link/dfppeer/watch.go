package dfppeer

import (
	"time"
)

// watch maintains the connections until the mesh is closed: it sends heartbeats and probes, closes
// silent and idle connections, and cancels the requests of lost ones.
func (m *Mesh) watch() error {
	interval := max(m.cfg.ProbeAfter/4, time.Millisecond)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	last := m.now()
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case <-tick.C:
		}
		now := m.now()
		paused := time.Duration(now-last) > m.cfg.ProbeTimeout/2
		last = now
		for _, c := range m.connections() {
			if paused {
				// This process was paused: there may be messages that it has not read yet.
				c.restartProbe(now)
				continue
			}
			c.watch(now)
		}
		m.cancelOrphans(time.Now())
	}
}

// restartProbe restarts the timeout of an unanswered probe, as if the probe had been sent now.
func (c *conn) restartProbe(now int64) {
	if c.probedAt.Load() != 0 {
		c.probedAt.Store(now)
	}
}

// watch sends a probe or heartbeat on the connection, or closes it, if one of these is due.
func (c *conn) watch(now int64) {
	cfg := &c.mesh.cfg
	since := func(t int64) time.Duration { return time.Duration(now - t) }
	silent := since(c.lastRead.Load())
	probed := c.probedAt.Load()
	switch writing := c.writeStartedAt.Load(); {
	case writing != 0 && since(writing) > cfg.WriteTimeout,
		probed != 0 && since(probed) > cfg.ProbeTimeout,
		silent > c.mesh.maxGap():
		c.mesh.stats.silent.Add(1)
		c.fail(errSilent)
	case probed != 0 && since(probed) > cfg.ProbeTimeout/2:
		c.markSuspect()
	case probed == 0 && silent > cfg.ProbeAfter && (c.hasWaiters() || c.notificationUnanswered(since)):
		c.probedAt.Store(now)
		c.heartbeat(true)
	case c.idle(since):
		c.closeIdle()
	case since(c.lastWrite.Load()) > cfg.HeartbeatInterval && c.out.empty():
		c.lastWrite.Store(now)
		c.heartbeat(false)
	}
}

// markSuspect excludes the connection from new frames and dials another one if there is none.
func (c *conn) markSuspect() {
	if c.suspect.Swap(true) {
		return
	}
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bestConn() == nil {
		p.ensureDial()
	}
}

// notificationUnanswered reports whether a notification was sent more than ProbeAfter ago and nothing
// has been received since.
func (c *conn) notificationUnanswered(since func(int64) time.Duration) bool {
	notified := c.notifiedAt.Load()
	return !c.mesh.cfg.NoNotificationProbes && notified > c.lastRead.Load() && since(notified) > c.mesh.cfg.ProbeAfter
}

// hasWaiters reports whether a request or call waits for a reply on the connection.
func (c *conn) hasWaiters() bool {
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.runs {
		if w.conn == c {
			return true
		}
	}
	for _, pending := range p.calls {
		if pending.conn == c {
			return true
		}
	}
	return false
}

// hasInbound reports whether a request runs here whose outcome is to be sent on the connection.
func (c *conn) hasInbound() bool {
	for i := range c.mesh.inboundShards {
		if c.mesh.inboundShards[i].hasRequestsOf(c) {
			return true
		}
	}
	return false
}

func (s *inboundShard) hasRequestsOf(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.running {
		if in.conn == c {
			return true
		}
	}
	return false
}

func (c *conn) idle(since func(int64) time.Duration) bool {
	return c.dialed && since(c.lastUse.Load()) > c.mesh.cfg.IdleTimeout && !c.hasWaiters() && !c.hasInbound()
}

// closeIdle closes the connection once both sides have announced that they start nothing new on it.
// Before, it sends this side's announcement.
func (c *conn) closeIdle() {
	if c.localClosing.Load() && c.remoteClosing.Load() && c.out.empty() {
		c.fail(errIdle)
		return
	}
	c.startClosing()
}
