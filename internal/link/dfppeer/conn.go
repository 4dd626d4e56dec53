package dfppeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// conn is one connection to a peer, dialed by either side.
type conn struct {
	mesh        *Mesh
	peer        *peer
	ws          *websocket.Conn
	incarnation uint64 // The other side's.
	dialed      bool
	out         *outbox
	writing     sync.Mutex // Held while a message is written.
	parts       assembly   // The reader's.

	// Times since the mesh's epoch; 0 where it has not happened.
	lastRead  atomic.Int64
	lastUse   atomic.Int64
	lastWrite atomic.Int64
	probedAt  atomic.Int64
	// toldAt is when the first control message was sent since the last read. Nobody
	// waits for its answer, but it must not vanish in a silent connection for long.
	toldAt    atomic.Int64
	writingAt atomic.Int64
	closing   atomic.Bool // This side starts nothing more here.
	theyClose atomic.Bool // The other side starts nothing more here.
	suspect   atomic.Bool // A probe has gone unanswered for a while.
	dead      atomic.Bool // Set under peer.mu.
}

// usable reports whether new frames may be sent on the connection.
func (c *conn) usable() bool {
	return !c.dead.Load() && !c.closing.Load() && !c.theyClose.Load() && !c.suspect.Load()
}

// send queues a frame that must go out as long as the connection lives.
func (c *conn) send(f *frame) {
	buf, err := encode(f)
	if err != nil {
		panic("dfppeer: a frame does not encode: " + err.Error())
	}
	_ = c.out.put(buf, nil, true) // Lost with the connection.
}

// heartbeat queues a heartbeat, with the load that the others route by.
func (c *conn) heartbeat(probe bool) {
	load := c.mesh.cfg.Load()
	c.send(&frame{Kind: kindHeartbeat, Version: c.mesh.cfg.Version(), Load: &load, Probe: probe})
}

// writeLoop writes what nobody wrote directly. Whoever writes holds writing.
func (c *conn) writeLoop() error {
	var batch bytes.Buffer
	for c.out.wait() {
		c.writing.Lock()
		err := c.writeQueued(&batch)
		c.writing.Unlock()
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrLinkLost, err))
			return nil
		}
	}
	return nil
}

// writeNow writes what is queued in the calling goroutine, which saves the wake-up of the
// write loop. It leaves it to the loop if another writes already, and where the write
// could block: if much is queued, or the other side was not heard lately.
func (c *conn) writeNow() {
	silent := time.Duration(c.mesh.now()-c.lastRead.Load()) > c.mesh.cfg.ProbeAfter
	if silent || c.out.queued() > partSize || !c.writing.TryLock() {
		c.out.wakeUp()
		return
	}
	batch := buffers.Get().(*bytes.Buffer)
	err := c.writeQueued(batch)
	c.writing.Unlock()
	release(batch)
	if err != nil {
		c.fail(fmt.Errorf("%w: %w", ErrLinkLost, err))
		return
	}
	if !c.out.empty() {
		c.out.wakeUp()
	}
}

// writeQueued writes one message of queued frames, if there are any. c.writing must be held.
func (c *conn) writeQueued(batch *bytes.Buffer) error {
	batch.Reset()
	if !c.out.take(batch) {
		return nil
	}
	c.writingAt.Store(c.mesh.now())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, batch.Bytes())
	c.writingAt.Store(0)
	c.lastWrite.Store(c.mesh.now())
	c.mesh.stats.bytesSent.Add(int64(batch.Len()))
	return err
}

// readLoop reads until the connection ends. The watcher bounds its waiting.
func (c *conn) readLoop() error {
	var buf bytes.Buffer
	for {
		err := c.readMessage(&buf)
		if err != nil {
			if errors.Is(err, ErrInvalidFrame) {
				c.mesh.stats.badFrames.Add(1)
			}
			c.fail(fmt.Errorf("%w: %w", ErrLinkLost, err))
			return nil
		}
	}
}

func (c *conn) readMessage(buf *bytes.Buffer) error {
	typ, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return err
	}
	buf.Reset()
	if _, err := io.Copy(buf, r); err != nil {
		return err
	}
	if typ != websocket.MessageBinary {
		return fmt.Errorf("%w: text message", ErrInvalidFrame)
	}
	now := c.mesh.now()
	if time.Duration(now-c.lastRead.Load()) > c.mesh.maxGap() {
		// What was sent before such a gap may be older than what the ledger remembers.
		return errSilent
	}
	c.lastRead.Store(now)
	c.probedAt.Store(0)
	c.suspect.Store(false)
	return c.handleAll(buf.Bytes())
}

func (c *conn) handleAll(data []byte) error {
	for len(data) > 0 {
		f, rest, err := decode(data)
		if err != nil {
			return err
		}
		data = rest
		if f.Kind == kindPart {
			f, err = c.assemble(f)
			if err != nil {
				return err
			}
		}
		if f != nil {
			c.handle(f)
		}
	}
	return nil
}

// assemble takes a piece and returns the frame once it is whole.
func (c *conn) assemble(f *frame) (*frame, error) {
	whole, err := c.parts.add(f.Sequence, f.Part)
	if whole == nil || err != nil {
		return nil, err
	}
	f, rest, err := decode(whole)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 || f.Kind == kindPart {
		return nil, fmt.Errorf("%w: pieces make up more than one frame", ErrInvalidFrame)
	}
	return f, nil
}

func (c *conn) handle(f *frame) {
	switch f.Kind {
	case kindRun:
		c.lastUse.Store(c.mesh.now())
		c.mesh.runInbound(c, f.Request)
	case kindOutcome:
		c.observe(f)
		c.peer.finish(*f.ID, f.outcome())
	case kindCancel:
		c.mesh.cancelInbound(c, *f.ID)
	case kindResolve:
		c.mesh.resolveInbound(c, *f.ID)
	case kindRunning:
		c.peer.confirmRunning(*f.ID)
	case kindAsk, kindTell:
		c.lastUse.Store(c.mesh.now())
		c.mesh.control(c, f)
	case kindReply:
		c.peer.finishAsk(f)
	case kindHeartbeat:
		c.observe(f)
		if f.Probe {
			c.heartbeat(false)
		}
	case kindClosing:
		c.onClosing()
	}
}

func (c *conn) observe(f *frame) {
	if f.Load != nil {
		c.mesh.cfg.Observe(c.peer.address, c.incarnation, f.Version, *f.Load)
	}
}

// startClosing tells the other side that this one starts nothing more here.
func (c *conn) startClosing() {
	if !c.closing.Swap(true) {
		c.send(&frame{Kind: kindClosing})
	}
}

func (c *conn) onClosing() {
	c.theyClose.Store(true)
	c.startClosing()
}

// fail gives the connection up: what waits on it is settled elsewhere.
func (c *conn) fail(err error) {
	if !c.peer.remove(c, err) {
		return
	}
	c.out.close()
	_ = c.ws.CloseNow()
	c.mesh.stats.connections.Add(-1)
	graceful := c.closing.Load() && c.theyClose.Load()
	if !graceful && !errors.Is(err, errIdle) {
		c.mesh.stats.lost.Add(1)
		c.mesh.cfg.Log.WithField("node", c.peer.address).WithError(err).Info("link lost")
	}
	c.mesh.orphan(c)
}
