package dfppeer

import (
	"context"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// inboundShard holds a part of the requests that other nodes sent here.
type inboundShard struct {
	mu      sync.Mutex
	ledger  *dfponce.Ledger
	running map[dfpcall.RequestID]*inbound
}

// inbound is a request that runs here for another node.
type inbound struct {
	conn   *conn // Where the outcome goes; under the shard's mu.
	cancel context.CancelFunc
}

// orphan is a lost connection whose requests end soon unless asked for again.
type orphan struct {
	conn *conn
	due  time.Time
}

// shardLedger divides the ledger's bounds among the shards.
func shardLedger(cfg dfponce.LedgerConfig) dfponce.LedgerConfig {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = dfponce.DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = dfponce.DefaultMaxBytes
	}
	cfg.MaxEntries = max(1, cfg.MaxEntries/shards)
	cfg.MaxBytes /= shards
	return cfg
}

func (m *Mesh) shard(id dfpcall.RequestID) *inboundShard {
	return &m.inbound[(id.Incarnation^id.Counter)%shards]
}

// runInbound takes a run frame: the first with its id is run, if no one was told
// that it would not be.
func (m *Mesh) runInbound(c *conn, req *dfpcall.Request) {
	if m.closed.Load() || m.inboundRun.Load() >= maxInbound {
		m.refuseInbound(c, req)
		return
	}
	s := m.shard(req.ID)
	s.mu.Lock()
	state, outcome := s.ledger.Start(time.Now(), req.ID)
	if state != dfponce.Started {
		s.mu.Unlock()
		m.stats.duplicates.Add(1)
		c.sendState(req.ID, state, outcome)
		return
	}
	ctx, cancel := runContext(m.ctx, req.Timeout)
	s.running[req.ID] = &inbound{conn: c, cancel: cancel}
	s.mu.Unlock()
	m.inboundRun.Add(1)
	m.cfg.Group.Go(func() error {
		defer cancel()
		defer m.inboundRun.Add(-1)
		m.finishInbound(req.ID, m.cfg.Run(ctx, c.peer.address, req))
		return nil
	})
}

func runContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}

// refuseInbound bars the request before it says that it did not run.
func (m *Mesh) refuseInbound(c *conn, req *dfpcall.Request) {
	s := m.shard(req.ID)
	s.mu.Lock()
	state, outcome := s.ledger.Resolve(time.Now(), req.ID)
	s.mu.Unlock()
	if state == dfponce.Barred {
		reason := dfpcall.ReasonOverload
		if m.closed.Load() {
			reason = dfpcall.ReasonDraining
		}
		c.sendOutcome(req.ID, notRun(req, reason))
		return
	}
	c.sendState(req.ID, state, outcome)
}

// finishInbound records the outcome before it is sent.
func (m *Mesh) finishInbound(id dfpcall.RequestID, outcome dfpcall.Outcome) {
	buf, size := encodeOutcome(m, id, &outcome)
	s := m.shard(id)
	s.mu.Lock()
	s.ledger.Finish(time.Now(), id, outcome, size)
	c := s.running[id].conn
	delete(s.running, id)
	s.mu.Unlock()
	if c.out.enqueue(buf, nil, true) == nil {
		c.lastUse.Store(m.now())
		c.writeNow()
	}
}

// sendState answers with what the ledger knows of a request.
func (c *conn) sendState(id dfpcall.RequestID, state dfponce.LedgerState, outcome dfpcall.Outcome) {
	switch state {
	case dfponce.Running:
		c.send(&frame{Kind: kindRunning, ID: &id})
	case dfponce.Barred:
		c.sendOutcome(id, &dfpcall.NotRun{Reason: dfpcall.ReasonLinkLost})
	case dfponce.Done:
		if outcome == nil {
			outcome = &dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost}
		}
		c.sendOutcome(id, outcome)
	default:
		c.sendOutcome(id, &dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost})
	}
}

func (c *conn) sendOutcome(id dfpcall.RequestID, outcome dfpcall.Outcome) {
	buf, _ := encodeOutcome(c.mesh, id, &outcome)
	_ = c.out.put(buf, nil, true) // Lost with the connection.
}

// resolveInbound answers what became of a request; if it has not arrived, it
// is barred. A running request's outcome goes to the connection that asked last.
func (m *Mesh) resolveInbound(c *conn, id dfpcall.RequestID) {
	s := m.shard(id)
	s.mu.Lock()
	state, outcome := s.ledger.Resolve(time.Now(), id)
	if state == dfponce.Running {
		s.running[id].conn = c
	}
	s.mu.Unlock()
	if state == dfponce.Barred {
		m.stats.barred.Add(1)
	}
	c.sendState(id, state, outcome)
}

// cancelInbound ends a request that nobody waits for any more.
func (m *Mesh) cancelInbound(c *conn, id dfpcall.RequestID) {
	s := m.shard(id)
	s.mu.Lock()
	state, outcome := s.ledger.Resolve(time.Now(), id)
	if state == dfponce.Running {
		s.running[id].cancel()
	}
	s.mu.Unlock()
	if state != dfponce.Running {
		c.sendState(id, state, outcome)
	}
}

// orphan notes that the requests of a lost connection end unless asked for.
func (m *Mesh) orphan(c *conn) {
	m.orphansMu.Lock()
	defer m.orphansMu.Unlock()
	m.orphans = append(m.orphans, orphan{c, time.Now().Add(m.cfg.OrphanTimeout)})
}

// cancelOrphans cancels the requests whose caller has not asked for them again.
func (m *Mesh) cancelOrphans(now time.Time) {
	m.orphansMu.Lock()
	n := 0
	for n < len(m.orphans) && !now.Before(m.orphans[n].due) {
		n++
	}
	due := m.orphans[:n:n]
	m.orphans = m.orphans[n:]
	m.orphansMu.Unlock()
	for _, o := range due {
		for i := range m.inbound {
			m.inbound[i].cancelAll(o.conn)
		}
	}
}

func (s *inboundShard) cancelAll(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.running {
		if in.conn == c {
			in.cancel()
		}
	}
}
