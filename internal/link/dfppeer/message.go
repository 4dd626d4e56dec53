package dfppeer

import (
	"context"
	"errors"
	"fmt"
)

// pendingCall is a control message that waits for its reply.
type pendingCall struct {
	conn *conn
	done chan callResult
}

type callResult struct {
	msg Control
	err error
}

func (p *peer) call(ctx context.Context, msg Control) (Control, error) {
	c, err := p.conn(ctx)
	if err != nil {
		return Control{}, err
	}
	sequence := p.mesh.sequence.Add(1)
	buf, err := encode(&frame{Kind: kindControlCall, Sequence: sequence, Control: &msg})
	if err != nil {
		return Control{}, err
	}
	pending := &pendingCall{conn: c, done: make(chan callResult, 1)}
	p.mu.Lock()
	if c.dead.Load() {
		p.mu.Unlock()
		release(buf)
		return Control{}, ErrLinkLost
	}
	p.calls[sequence] = pending
	p.mu.Unlock()
	defer p.forgetCall(sequence)
	c.lastUse.Store(p.mesh.now())
	if err := c.out.put(buf, nil, false); err != nil {
		return Control{}, err
	}
	select {
	case r := <-pending.done:
		return r.msg, r.err
	case <-ctx.Done():
		return Control{}, ctx.Err()
	}
}

func (p *peer) forgetCall(sequence uint64) {
	p.mu.Lock()
	delete(p.calls, sequence)
	p.mu.Unlock()
}

func (p *peer) finishCall(f *frame) {
	p.mu.Lock()
	pending := p.calls[f.Sequence]
	delete(p.calls, f.Sequence)
	p.mu.Unlock()
	switch {
	case pending == nil:
		p.mesh.stats.lateDropped.Add(1)
	case f.Error != "":
		pending.done <- callResult{err: fmt.Errorf("%w: %s", ErrRemote, f.Error)}
	default:
		pending.done <- callResult{msg: *f.Control}
	}
}

func (p *peer) notify(msg Control) {
	if c := p.current.Load(); c != nil && c.usable() {
		c.notify(msg)
		return
	}
	p.mu.Lock()
	if c := p.bestConn(); c != nil {
		p.current.Store(c)
		p.mu.Unlock()
		c.notify(msg)
		return
	}
	if len(p.queuedNotifications) < maxQueuedNotifications {
		p.queuedNotifications = append(p.queuedNotifications, msg)
	}
	p.ensureDial()
	p.mu.Unlock()
}

func (c *conn) notify(msg Control) {
	buf, err := encode(&frame{Kind: kindNotification, Control: &msg})
	if err != nil {
		c.mesh.cfg.Log.WithError(err).WithField("topic", string(msg.Topic)).Error("control message dropped")
		return
	}
	now := c.mesh.now()
	c.lastUse.Store(now)
	if c.notifiedAt.Load() <= c.lastRead.Load() {
		c.notifiedAt.Store(now)
	}
	_ = c.out.put(buf, nil, false) // Without a delivery guarantee.
}

var errBusy = errors.New("too many concurrent control messages")

// handleControl runs Config.Control for a control message from another node and sends the reply, if
// one is expected. Above maxControls concurrent messages it refuses calls and drops notifications.
func (m *Mesh) handleControl(c *conn, f *frame) {
	if m.controls.Add(1) > maxControls {
		m.controls.Add(-1)
		if f.Kind == kindControlCall {
			c.send(&frame{Kind: kindControlReply, Sequence: f.Sequence, Error: errBusy.Error()})
		}
		return
	}
	m.cfg.Group.Go(func() error {
		defer m.controls.Add(-1)
		msg, err := m.cfg.Control(m.ctx, c.peer.address, *f.Control)
		if f.Kind == kindControlCall {
			c.reply(f.Sequence, msg, err)
		}
		return nil
	})
}

func (c *conn) reply(sequence uint64, msg Control, err error) {
	f := &frame{Kind: kindControlReply, Sequence: sequence}
	if err != nil {
		f.Error = err.Error()
	} else {
		msg.Version = c.mesh.cfg.Version()
		f.Control = &msg
	}
	buf, err := encode(f)
	if err != nil {
		c.send(&frame{Kind: kindControlReply, Sequence: sequence, Error: err.Error()})
		return
	}
	_ = c.out.put(buf, nil, true) // Fails only if the connection is lost.
}
