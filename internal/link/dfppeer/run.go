package dfppeer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// resolveRetryDelay is the delay between attempts to reach a process in order to resolve requests.
const resolveRetryDelay = 25 * time.Millisecond

// pendingRun is a request that this node sent to another and whose outcome it waits for.
type pendingRun struct {
	req  *dfpcall.Request
	done chan dfpcall.Outcome
	delivery
	// conn is the connection on which the outcome is expected. unresolvedSince is when a connection
	// was lost after the run frame may have been written; it is zero while the request is known to run.
	// Both are guarded by peer.mu.
	conn            *conn
	unresolvedSince time.Time
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
	w := &pendingRun{req: req, done: make(chan dfpcall.Outcome, 1), conn: c}
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

// register adds a request to those that wait for their outcome. It returns false if the connection
// has been lost.
func (p *peer) register(w *pendingRun) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.conn.dead.Load() {
		return false
	}
	if p.runs[w.req.ID] != nil {
		panic("dfppeer: request ID used twice: " + w.req.ID.String())
	}
	p.runs[w.req.ID] = w
	return true
}

// giveUp ends a request whose context has ended: as not run if its frame was not written. Otherwise
// it cancels the request on the other node and waits up to CancelWait for the outcome.
func (p *peer) giveUp(ctx context.Context, w *pendingRun) dfpcall.Outcome {
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

// finish ends a request with an outcome. Outcomes after the first are dropped.
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

func (p *peer) finishUnknown(w *pendingRun, reason dfpcall.Reason) {
	p.mesh.stats.unknown.Add(1)
	p.finish(w.req.ID, unknown(w.req, reason))
}

// confirmRunning records that the other node runs the request, which is then no longer unresolved.
func (p *peer) confirmRunning(id dfpcall.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.runs[id]; w != nil {
		w.unresolvedSince = time.Time{}
	}
}

// detachRuns ends the requests whose frames were not written to a lost connection, as not run. It
// marks the connection's other requests as unresolved and returns them. p.mu must be held.
func (p *peer) detachRuns(c *conn) []*pendingRun {
	var lost []*pendingRun
	for id, w := range p.runs {
		if w.conn != c {
			continue
		}
		if w.drop() {
			delete(p.runs, id)
			w.done <- notRun(w.req, dfpcall.ReasonLinkLost)
			continue
		}
		if w.unresolvedSince.IsZero() {
			w.unresolvedSince = time.Now()
		}
		lost = append(lost, w)
	}
	return lost
}

// resolve learns the outcomes of requests whose connection was lost. On another connection, it asks the
// process that may have received them. All requests must have been on the same lost connection.
func (p *peer) resolve(lost []*pendingRun) {
	last := lost[0].conn
	incarnation := last.incarnation
	if age := time.Duration(p.mesh.now() - last.openedAt); age < resolveRetryDelay {
		// The outcome itself may have broken the connection, and would break the next one, too.
		sleep(p.mesh.ctx, resolveRetryDelay)
	}
	for {
		lost = p.stillUnresolved(lost)
		if len(lost) == 0 {
			return
		}
		c, err := p.conn(p.mesh.ctx)
		switch {
		case err == nil && c.incarnation != incarnation, errors.Is(err, syscall.ECONNREFUSED):
			// The process that may have received the requests no longer runs.
			p.finishAllUnknown(lost)
			return
		case err == nil && p.resolveOn(c, lost):
			return
		}
		if p.mesh.ctx.Err() != nil {
			p.finishAllUnknown(lost)
			return
		}
		sleep(p.mesh.ctx, resolveRetryDelay)
	}
}

// stillUnresolved returns the requests that still wait for their outcome. It ends those that have
// been unresolved for longer than ResolveTimeout, as unknown.
func (p *peer) stillUnresolved(lost []*pendingRun) []*pendingRun {
	var rest, expired []*pendingRun
	p.mu.Lock()
	for _, w := range lost {
		if p.runs[w.req.ID] != w {
			continue
		}
		if time.Since(w.unresolvedSince) > p.mesh.cfg.ResolveTimeout {
			expired = append(expired, w)
			continue
		}
		rest = append(rest, w)
	}
	p.mu.Unlock()
	p.finishAllUnknown(expired)
	return rest
}

func (p *peer) finishAllUnknown(lost []*pendingRun) {
	for _, w := range lost {
		p.finishUnknown(w, dfpcall.ReasonLinkLost)
	}
}

// resolveOn moves the requests to connection c and asks for their outcomes there. It returns false
// if c has been lost as well.
func (p *peer) resolveOn(c *conn, lost []*pendingRun) bool {
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
