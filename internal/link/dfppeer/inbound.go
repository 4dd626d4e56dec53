package dfppeer

import (
	"context"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// inboundShard is one of shardCount shards of the requests that other nodes sent here. The request
// ID selects the shard.
type inboundShard struct {
	mu      sync.Mutex
	ledger  *dfponce.Ledger
	running map[dfpcall.RequestID]*inboundRequest
}

// inboundRequest is a request that runs here for another node.
type inboundRequest struct {
	conn   *conn // The connection to send the outcome on; guarded by the shard's mu.
	cancel context.CancelFunc
}

// orphan is a lost connection. Requests still assigned to it at the time due are cancelled.
type orphan struct {
	conn *conn
	due  time.Time
}

// shardLedgerConfig divides the ledger's size limits among the shards.
func shardLedgerConfig(cfg dfponce.LedgerConfig) dfponce.LedgerConfig {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = dfponce.DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = dfponce.DefaultMaxBytes
	}
	cfg.MaxEntries = max(1, cfg.MaxEntries/shardCount)
	cfg.MaxBytes /= shardCount
	return cfg
}

func (m *Mesh) shard(id dfpcall.RequestID) *inboundShard {
	return &m.inboundShards[(id.Incarnation^id.Counter)%shardCount]
}

// handleRun handles a run frame. It starts the request, unless its ID has run before or is barred:
// then it answers with what the ledger has recorded. It refuses the request if the mesh is closed or
// runs maxInbound requests.
func (m *Mesh) handleRun(c *conn, req *dfpcall.Request) {
	if m.closed.Load() || m.inboundRunning.Load() >= maxInbound {
		m.refuseRun(c, req)
		return
	}
	s := m.shard(req.ID)
	s.mu.Lock()
	state, outcome := s.ledger.Start(time.Now(), req.ID)
	if state != dfponce.Started {
		s.mu.Unlock()
		m.stats.duplicates.Add(1)
		c.sendLedgerState(req.ID, state, outcome)
		return
	}
	ctx, cancel := runContext(m.ctx, req.Timeout)
	s.running[req.ID] = &inboundRequest{conn: c, cancel: cancel}
	s.mu.Unlock()
	m.inboundRunning.Add(1)
	m.cfg.Group.Go(func() error {
		defer cancel()
		defer m.inboundRunning.Add(-1)
		m.finishRun(req.ID, m.cfg.Run(ctx, c.peer.address, req))
		return nil
	})
}

func runContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}

// refuseRun bars a request, so that a repeated frame cannot start it, and answers that it did not
// run. If its ID is known already, refuseRun answers with what the ledger has recorded.
func (m *Mesh) refuseRun(c *conn, req *dfpcall.Request) {
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
	c.sendLedgerState(req.ID, state, outcome)
}

// finishRun records the outcome of a request, and then sends it.
func (m *Mesh) finishRun(id dfpcall.RequestID, outcome dfpcall.Outcome) {
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

// sendLedgerState answers with what the ledger has recorded about a request.
func (c *conn) sendLedgerState(id dfpcall.RequestID, state dfponce.LedgerState, outcome dfpcall.Outcome) {
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
	_ = c.out.put(buf, nil, true) // Fails only if the connection is lost.
}

// handleResolve answers with what the ledger has recorded about a request, and bars a request that
// has not arrived. The outcome of a running request goes to the connection that last asked for it.
func (m *Mesh) handleResolve(c *conn, id dfpcall.RequestID) {
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
	c.sendLedgerState(id, state, outcome)
}

// handleCancel cancels a running request. Otherwise it answers with what the ledger has recorded, and
// bars a request that has not arrived.
func (m *Mesh) handleCancel(c *conn, id dfpcall.RequestID) {
	s := m.shard(id)
	s.mu.Lock()
	state, outcome := s.ledger.Resolve(time.Now(), id)
	if state == dfponce.Running {
		s.running[id].cancel()
	}
	s.mu.Unlock()
	if state != dfponce.Running {
		c.sendLedgerState(id, state, outcome)
	}
}

// addOrphan schedules the cancellation of the requests that are still assigned to a lost connection
// after OrphanTimeout.
func (m *Mesh) addOrphan(c *conn) {
	m.orphansMu.Lock()
	defer m.orphansMu.Unlock()
	m.orphans = append(m.orphans, orphan{c, time.Now().Add(m.cfg.OrphanTimeout)})
}

// cancelOrphans cancels the requests of the orphans that are due.
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
		for i := range m.inboundShards {
			m.inboundShards[i].cancelAll(o.conn)
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
