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

// conn is a connection to a peer, dialed by either side.
type conn struct {
	mesh        *Mesh
	peer        *peer
	ws          *websocket.Conn
	incarnation uint64 // Of the process on the other side.
	dialed      bool
	openedAt    int64 // As Mesh.now returns it.
	out         *sendQueue
	writeMu     sync.Mutex // Held while a message is written.
	parts       assembler  // Used by readLoop only.

	// Times as Mesh.now returns them, or 0 for never. probedAt is when the unanswered probe was sent,
	// and writeStartedAt when the write in progress started; both are 0 if there is none.
	lastRead  atomic.Int64
	lastUse   atomic.Int64
	lastWrite atomic.Int64
	probedAt  atomic.Int64
	// notifiedAt is when the first notification since the last read was sent. No caller waits for
	// a reply, but a silent connection must not swallow notifications for long.
	notifiedAt     atomic.Int64
	writeStartedAt atomic.Int64
	localClosing   atomic.Bool // This side starts nothing new on the connection.
	remoteClosing  atomic.Bool // The other side starts nothing new on the connection.
	suspect        atomic.Bool // A probe has been unanswered for half of ProbeTimeout.
	dead           atomic.Bool // Removed from the peer; set under peer.mu.
}

// usable reports whether new frames may be sent on the connection.
func (c *conn) usable() bool {
	return !c.dead.Load() && !c.localClosing.Load() && !c.remoteClosing.Load() && !c.suspect.Load()
}

// send queues a frame, even if the queue is full. The frame must encode.
func (c *conn) send(f *frame) {
	buf, err := encode(f)
	if err != nil {
		panic("dfppeer: cannot encode frame: " + err.Error())
	}
	_ = c.out.put(buf, nil, true) // Fails only if the connection is lost.
}

// heartbeat queues a heartbeat with the load of this node, which other nodes use for routing.
func (c *conn) heartbeat(probe bool) {
	load := c.mesh.cfg.Load()
	c.send(&frame{Kind: kindHeartbeat, Version: c.mesh.cfg.Version(), Load: &load, Probe: probe})
}

// writeLoop writes the queued frames that writeNow has not written, until the connection is closed.
func (c *conn) writeLoop() error {
	var batch bytes.Buffer
	for c.out.wait() {
		c.writeMu.Lock()
		err := c.writeQueued(&batch)
		c.writeMu.Unlock()
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrLinkLost, err))
			return nil
		}
	}
	return nil
}

// writeNow writes queued frames in the calling goroutine, which saves a wake-up of the write loop.
// It leaves them to the write loop if another goroutine is writing, or if the write could block:
// when more than partSize is queued, or nothing was received for longer than ProbeAfter.
func (c *conn) writeNow() {
	silent := time.Duration(c.mesh.now()-c.lastRead.Load()) > c.mesh.cfg.ProbeAfter
	if silent || c.out.queued() > partSize || !c.writeMu.TryLock() {
		c.out.wakeUp()
		return
	}
	batch := bufferPool.Get().(*bytes.Buffer)
	err := c.writeQueued(batch)
	c.writeMu.Unlock()
	release(batch)
	if err != nil {
		c.fail(fmt.Errorf("%w: %w", ErrLinkLost, err))
		return
	}
	if !c.out.empty() {
		c.out.wakeUp()
	}
}

// writeQueued writes one message of queued frames, if any. c.writeMu must be held.
func (c *conn) writeQueued(batch *bytes.Buffer) error {
	batch.Reset()
	if !c.out.nextBatch(batch) {
		return nil
	}
	c.writeStartedAt.Store(c.mesh.now())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, batch.Bytes())
	c.writeStartedAt.Store(0)
	c.lastWrite.Store(c.mesh.now())
	c.mesh.stats.bytesSent.Add(int64(batch.Len()))
	return err
}

// readLoop reads until the connection is closed. Reads have no deadline: conn.watch closes a silent
// connection.
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
		return fmt.Errorf("%w: got a text message, want a binary one", ErrInvalidFrame)
	}
	now := c.mesh.now()
	if time.Duration(now-c.lastRead.Load()) > c.mesh.maxGap() {
		// After such a gap, a frame may be so old that the ledger has forgotten its request ID.
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

// assemble adds a part of a long frame. It returns the frame once it is complete, and nil before.
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
		return nil, fmt.Errorf("%w: parts do not make up exactly one frame", ErrInvalidFrame)
	}
	return f, nil
}

func (c *conn) handle(f *frame) {
	switch f.Kind {
	case kindRun:
		c.lastUse.Store(c.mesh.now())
		c.mesh.handleRun(c, f.Request)
	case kindOutcome:
		c.observe(f)
		c.peer.finish(*f.ID, f.outcome())
	case kindCancel:
		c.mesh.handleCancel(c, *f.ID)
	case kindResolve:
		c.mesh.handleResolve(c, *f.ID)
	case kindRunning:
		c.peer.confirmRunning(*f.ID)
	case kindControlCall, kindNotification:
		c.lastUse.Store(c.mesh.now())
		c.mesh.handleControl(c, f)
	case kindControlReply:
		c.peer.finishCall(f)
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

// startClosing tells the other side that this side starts nothing new on the connection.
func (c *conn) startClosing() {
	if !c.localClosing.Swap(true) {
		c.send(&frame{Kind: kindClosing})
	}
}

func (c *conn) onClosing() {
	c.remoteClosing.Store(true)
	c.startClosing()
}

// fail closes the connection because of err and removes it from its peer, which ends or resolves the
// requests that wait on it.
func (c *conn) fail(err error) {
	if !c.peer.remove(c, err) {
		return
	}
	c.out.close()
	_ = c.ws.CloseNow()
	c.mesh.stats.connections.Add(-1)
	graceful := c.localClosing.Load() && c.remoteClosing.Load()
	if !graceful && !errors.Is(err, errIdle) {
		c.mesh.stats.lost.Add(1)
		c.mesh.cfg.Log.WithField("node", c.peer.address).WithError(err).Info("link lost")
	}
	c.mesh.addOrphan(c)
}
