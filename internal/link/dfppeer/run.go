package dfppeer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// resolvePause is the pause between tries to reach a process again.
const resolvePause = 25 * time.Millisecond

// pending is a request that another node runs for this one.
type pending struct {
	req  *dfpcall.Request
	done chan dfpcall.Outcome
	delivery
	// The connection on which the outcome is awaited, and since when the
	// request's fate has been in doubt; under peer.mu.
	conn    *conn
	doubted time.Time
}

func (p *peer) run(ctx context.Context, req *dfpcall.Request) dfpcall.Outcome {
	buf, err := encode(&frame{Kind: kindRun, Request: req})
	if err != nil {
		return notRun(req, dfpcall.ReasonBadRequest)
	}
	c, err := p.conn(ctx)
	if ctx.Err() != nil {
		release(buf)
		return notRun(req, dfpcall.EndReason(ctx))
	}
	if err != nil {
		release(buf)
		return notRun(req, dfpcall.ReasonLinkLost)
	}
	w := &pending{req: req, done: make(chan dfpcall.Outcome, 1), conn: c}
	if !p.register(w) {
		release(buf)
		return notRun(req, dfpcall.ReasonLinkLost)
	}
	c.lastUse.Store(p.mesh.now())
	switch err := c.out.enqueue(buf, &w.delivery, false); {
	case err == nil:
		c.writeNow()
	case errors.Is(err, ErrQueueFull) && w.drop():
		p.finish(req.ID, notRun(req, dfpcall.ReasonOverload))
	}
	select {
	case outcome := <-w.done:
		return outcome
	case <-ctx.Done():
		return p.giveUp(ctx, w)
	}
}

// register makes the request wait on its connection; false means that the
// connection has gone.
func (p *peer) register(w *pending) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.conn.dead.Load() {
		return false
	}
	if p.runs[w.req.ID] != nil {
		panic("dfppeer: request id used twice: " + w.req.ID.String())
	}
	p.runs[w.req.ID] = w
	return true
}

// giveUp ends a request whose context has ended.
func (p *peer) giveUp(ctx context.Context, w *pending) dfpcall.Outcome {
	if w.drop() {
		p.finish(w.req.ID, notRun(w.req, dfpcall.EndReason(ctx)))
		return <-w.done
	}
	p.mu.Lock()
	c := w.conn
	p.mu.Unlock()
	c.send(&frame{Kind: kindCancel, ID: &w.req.ID})
	timer := time.NewTimer(p.mesh.cfg.CancelWait)
	defer timer.Stop()
	select {
	case outcome := <-w.done:
		return outcome
	case <-timer.C:
		p.finishUnknown(w, dfpcall.EndReason(ctx))
		return <-w.done
	}
}

// finish hands a request its outcome. The first outcome counts; others are dropped.
func (p *peer) finish(id dfpcall.RequestID, outcome dfpcall.Outcome) {
	p.mu.Lock()
	w := p.runs[id]
	delete(p.runs, id)
	p.mu.Unlock()
	if w == nil {
		p.mesh.stats.lateDropped.Add(1)
		return
	}
	w.done <- outcome
}

func (p *peer) finishUnknown(w *pending, reason dfpcall.Reason) {
	p.mesh.stats.unknown.Add(1)
	p.finish(w.req.ID, unknown(w.req, reason))
}

// confirmRunning notes that the guard runs the request.
func (p *peer) confirmRunning(id dfpcall.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.runs[id]; w != nil {
		w.doubted = time.Time{}
	}
}

// settleLost ends the requests that were not written to a lost connection and
// returns the others. p.mu must be held.
func (p *peer) settleLost(c *conn) []*pending {
	var lost []*pending
	for id, w := range p.runs {
		if w.conn != c {
			continue
		}
		if w.drop() {
			delete(p.runs, id)
			w.done <- notRun(w.req, dfpcall.ReasonLinkLost)
			continue
		}
		if w.doubted.IsZero() {
			w.doubted = time.Now()
		}
		lost = append(lost, w)
	}
	return lost
}

// resolve asks the process that may have got the requests what became of
// them, on another connection. All of them were lost with the same connection.
func (p *peer) resolve(lost []*pending) {
	incarnation := lost[0].conn.incarnation
	for {
		lost = p.stillInDoubt(lost)
		if len(lost) == 0 {
			return
		}
		c, err := p.conn(p.mesh.ctx)
		switch {
		case err == nil && c.incarnation != incarnation, errors.Is(err, syscall.ECONNREFUSED):
			// The process that knew is gone.
			p.allUnknown(lost)
			return
		case err == nil && p.resolveOn(c, lost):
			return
		}
		if p.mesh.ctx.Err() != nil {
			p.allUnknown(lost)
			return
		}
		pause(p.mesh.ctx, resolvePause)
	}
}

// stillInDoubt returns the requests that still wait, and gives up those that
// have been in doubt for too long.
func (p *peer) stillInDoubt(lost []*pending) []*pending {
	var rest, expired []*pending
	p.mu.Lock()
	for _, w := range lost {
		if p.runs[w.req.ID] != w {
			continue
		}
		if time.Since(w.doubted) > p.mesh.cfg.ResolveTimeout {
			expired = append(expired, w)
			continue
		}
		rest = append(rest, w)
	}
	p.mu.Unlock()
	p.allUnknown(expired)
	return rest
}

func (p *peer) allUnknown(lost []*pending) {
	for _, w := range lost {
		p.finishUnknown(w, dfpcall.ReasonLinkLost)
	}
}

// resolveOn moves the requests to another connection; false means that it has
// gone as well.
func (p *peer) resolveOn(c *conn, lost []*pending) bool {
	p.mu.Lock()
	if c.dead.Load() {
		p.mu.Unlock()
		return false
	}
	for _, w := range lost {
		w.conn = c
	}
	p.mu.Unlock()
	for _, w := range lost {
		p.mesh.stats.resolved.Add(1)
		c.send(&frame{Kind: kindResolve, ID: &w.req.ID})
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
