package dfppeer

import (
	"time"
)

// watch looks after the connections until the mesh is closed: it sends
// heartbeats and probes, finds silent ones, and closes idle ones.
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
				// This process stood still: what it has not read says nothing yet.
				c.forgive(now)
				continue
			}
			c.watch(now)
		}
		m.cancelOrphans(time.Now())
	}
}

// forgive starts the wait for the answer to a probe again.
func (c *conn) forgive(now int64) {
	if c.probedAt.Load() != 0 {
		c.probedAt.Store(now)
	}
}

func (c *conn) watch(now int64) {
	cfg := &c.mesh.cfg
	since := func(t int64) time.Duration { return time.Duration(now - t) }
	silent := since(c.lastRead.Load())
	probed := c.probedAt.Load()
	switch writing := c.writingAt.Load(); {
	case writing != 0 && since(writing) > cfg.WriteTimeout,
		probed != 0 && since(probed) > cfg.ProbeTimeout,
		silent > c.mesh.maxGap():
		c.mesh.stats.silent.Add(1)
		c.fail(errSilent)
	case probed != 0 && since(probed) > cfg.ProbeTimeout/2:
		c.onSuspicion()
	case probed == 0 && silent > cfg.ProbeAfter && (c.awaited() || c.unheardTell(since)):
		c.probedAt.Store(now)
		c.heartbeat(true)
	case c.idle(since):
		c.closeIdle()
	case since(c.lastWrite.Load()) > cfg.HeartbeatInterval && c.out.empty():
		c.lastWrite.Store(now)
		c.heartbeat(false)
	}
}

// onSuspicion has a second connection made, for what comes next.
func (c *conn) onSuspicion() {
	if c.suspect.Swap(true) {
		return
	}
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pick() == nil {
		p.startDial()
	}
}

// unheardTell reports whether a control message was sent a while ago and nothing
// has been read since.
func (c *conn) unheardTell(since func(int64) time.Duration) bool {
	told := c.toldAt.Load()
	return !c.mesh.cfg.NoNotificationProbes && told > c.lastRead.Load() && since(told) > c.mesh.cfg.ProbeAfter
}

// awaited reports whether someone waits for an answer on the connection.
func (c *conn) awaited() bool {
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.runs {
		if w.conn == c {
			return true
		}
	}
	for _, a := range p.asks {
		if a.conn == c {
			return true
		}
	}
	return false
}

// serving reports whether a request runs here whose outcome goes to the connection.
func (c *conn) serving() bool {
	for i := range c.mesh.inbound {
		if c.mesh.inbound[i].serves(c) {
			return true
		}
	}
	return false
}

func (s *inboundShard) serves(c *conn) bool {
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
	return c.dialed && since(c.lastUse.Load()) > c.mesh.cfg.IdleTimeout && !c.awaited() && !c.serving()
}

// closeIdle closes the connection once both sides have said that they start
// nothing more on it.
func (c *conn) closeIdle() {
	if c.closing.Load() && c.theyClose.Load() && c.out.empty() {
		c.fail(errIdle)
		return
	}
	c.startClosing()
}
