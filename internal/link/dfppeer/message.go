package dfppeer

import (
	"context"
	"errors"
	"fmt"
)

// asking is a control message that waits for its reply.
type asking struct {
	conn *conn
	done chan askResult
}

type askResult struct {
	msg Control
	err error
}

func (p *peer) ask(ctx context.Context, msg Control) (Control, error) {
	c, err := p.conn(ctx)
	if err != nil {
		return Control{}, err
	}
	sequence := p.mesh.sequence.Add(1)
	buf, err := encode(&frame{Kind: kindAsk, Sequence: sequence, Control: &msg})
	if err != nil {
		return Control{}, err
	}
	a := &asking{conn: c, done: make(chan askResult, 1)}
	p.mu.Lock()
	if c.dead.Load() {
		p.mu.Unlock()
		release(buf)
		return Control{}, ErrLinkLost
	}
	p.asks[sequence] = a
	p.mu.Unlock()
	defer p.forgetAsk(sequence)
	c.lastUse.Store(p.mesh.now())
	if err := c.out.put(buf, nil, false); err != nil {
		return Control{}, err
	}
	select {
	case r := <-a.done:
		return r.msg, r.err
	case <-ctx.Done():
		return Control{}, ctx.Err()
	}
}

func (p *peer) forgetAsk(sequence uint64) {
	p.mu.Lock()
	delete(p.asks, sequence)
	p.mu.Unlock()
}

func (p *peer) finishAsk(f *frame) {
	p.mu.Lock()
	a := p.asks[f.Sequence]
	delete(p.asks, f.Sequence)
	p.mu.Unlock()
	switch {
	case a == nil:
		p.mesh.stats.lateDropped.Add(1)
	case f.Error != "":
		a.done <- askResult{err: fmt.Errorf("%w: %s", ErrRemote, f.Error)}
	default:
		a.done <- askResult{msg: *f.Control}
	}
}

func (p *peer) tell(msg Control) {
	if c := p.current.Load(); c != nil && c.usable() {
		c.tell(msg)
		return
	}
	p.mu.Lock()
	if c := p.pick(); c != nil {
		p.current.Store(c)
		p.mu.Unlock()
		c.tell(msg)
		return
	}
	if len(p.tells) < maxTells {
		p.tells = append(p.tells, msg)
	}
	p.startDial()
	p.mu.Unlock()
}

func (c *conn) tell(msg Control) {
	buf, err := encode(&frame{Kind: kindTell, Control: &msg})
	if err != nil {
		c.mesh.cfg.Log.WithError(err).WithField("topic", string(msg.Topic)).Error("control message dropped")
		return
	}
	now := c.mesh.now()
	c.lastUse.Store(now)
	if c.toldAt.Load() <= c.lastRead.Load() {
		c.toldAt.Store(now)
	}
	_ = c.out.put(buf, nil, false) // Best effort.
}

var errBusy = errors.New("too many control messages at once")

// control handles a control message of another node.
func (m *Mesh) control(c *conn, f *frame) {
	if m.controls.Add(1) > maxControls {
		m.controls.Add(-1)
		if f.Kind == kindAsk {
			c.send(&frame{Kind: kindReply, Sequence: f.Sequence, Error: errBusy.Error()})
		}
		return
	}
	m.cfg.Group.Go(func() error {
		defer m.controls.Add(-1)
		msg, err := m.cfg.Control(m.ctx, c.peer.address, *f.Control)
		if f.Kind == kindAsk {
			c.reply(f.Sequence, msg, err)
		}
		return nil
	})
}

func (c *conn) reply(sequence uint64, msg Control, err error) {
	f := &frame{Kind: kindReply, Sequence: sequence}
	if err != nil {
		f.Error = err.Error()
	} else {
		msg.Version = c.mesh.cfg.Version()
		f.Control = &msg
	}
	buf, err := encode(f)
	if err != nil {
		c.send(&frame{Kind: kindReply, Sequence: sequence, Error: err.Error()})
		return
	}
	_ = c.out.put(buf, nil, true) // Lost with the connection.
}
