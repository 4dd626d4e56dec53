package dfppeer

import (
	"bytes"
	"sync"
	"sync/atomic"
)

// delivery is the write state of a run frame. It changes once, from queued to either written or
// dropped, so that a dropped frame is never written. A nil delivery is always written.
type delivery struct{ state atomic.Int32 }

const (
	deliveryQueued int32 = iota
	deliveryWritten
	deliveryDropped
)

// claim claims the frame for writing. It returns false if the frame was dropped.
func (d *delivery) claim() bool {
	return d == nil || d.state.CompareAndSwap(deliveryQueued, deliveryWritten)
}

// drop prevents the frame from being written. It returns false if the frame may have been written.
func (d *delivery) drop() bool {
	return d.state.CompareAndSwap(deliveryQueued, deliveryDropped) || d.state.Load() == deliveryDropped
}

type queuedFrame struct {
	buf      *bytes.Buffer
	delivery *delivery
}

// longFrame is a frame of more than partSize bytes, which is sent in parts. Other frames are sent
// between them.
type longFrame struct {
	queuedFrame
	sequence uint64
	offset   int
}

// sendQueue holds the frames that wait to be written on one connection. Frames queued during a
// write are written together in the next message.
type sendQueue struct {
	mu       sync.Mutex
	short    []queuedFrame
	spare    []queuedFrame
	long     []*longFrame
	bytes    int
	sequence uint64
	closed   bool
	wake     chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// put queues a frame and wakes the write loop.
func (q *sendQueue) put(buf *bytes.Buffer, d *delivery, force bool) error {
	if err := q.enqueue(buf, d, force); err != nil {
		return err
	}
	q.wakeUp()
	return nil
}

// enqueue queues a frame without waking the write loop: the caller must call conn.writeNow. Unless
// force is set, it returns ErrQueueFull instead of queueing more than maxQueuedBytes. It returns
// ErrLinkLost if the queue is closed. On an error it releases buf.
func (q *sendQueue) enqueue(buf *bytes.Buffer, d *delivery, force bool) error {
	q.mu.Lock()
	if q.closed || !force && q.bytes+buf.Len() > maxQueuedBytes {
		closed := q.closed
		q.mu.Unlock()
		release(buf)
		if closed {
			return ErrLinkLost
		}
		return ErrQueueFull
	}
	q.bytes += buf.Len()
	if buf.Len() <= partSize {
		q.short = append(q.short, queuedFrame{buf, d})
	} else {
		q.sequence++
		q.long = append(q.long, &longFrame{queuedFrame: queuedFrame{buf, d}, sequence: q.sequence})
	}
	q.mu.Unlock()
	return nil
}

// wait blocks until a frame is queued. It returns false once the queue is closed.
func (q *sendQueue) wait() bool {
	for {
		q.mu.Lock()
		closed, queued := q.closed, len(q.short)+len(q.long)
		q.mu.Unlock()
		if closed {
			return false
		}
		if queued > 0 {
			return true
		}
		<-q.wake
	}
}

// nextBatch fills batch with the next message: short frames up to batchTarget and one part of a long
// frame. It returns false if there is nothing to send.
func (q *sendQueue) nextBatch(batch *bytes.Buffer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	for batch.Len() == 0 && len(q.short)+len(q.long) > 0 {
		q.fillBatch(batch)
	}
	return batch.Len() > 0
}

// wakeUp wakes the write loop.
func (q *sendQueue) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *sendQueue) fillBatch(batch *bytes.Buffer) {
	n := 0
	for n < len(q.short) && batch.Len() < batchTarget {
		f := q.short[n]
		n++
		q.bytes -= f.buf.Len()
		if f.delivery.claim() {
			batch.Write(f.buf.Bytes())
		}
		release(f.buf)
	}
	rest := append(q.spare[:0], q.short[n:]...)
	clear(q.short)
	q.short, q.spare = rest, q.short[:0]
	if len(q.long) > 0 {
		q.fillPart(batch)
	}
}

func (q *sendQueue) fillPart(batch *bytes.Buffer) {
	f := q.long[0]
	q.long = q.long[1:]
	total := f.buf.Len()
	if f.offset == 0 && !f.delivery.claim() {
		q.bytes -= total
		return
	}
	data := f.buf.Bytes()[f.offset:min(f.offset+partSize, total)]
	partFrame := &frame{Kind: kindPart, Sequence: f.sequence, Part: &part{Offset: f.offset, Total: total, Data: data}}
	if err := encMode.MarshalToBuffer(partFrame, batch); err != nil {
		panic("dfppeer: cannot encode part: " + err.Error())
	}
	f.offset += len(data)
	if f.offset < total {
		q.long = append(q.long, f)
		return
	}
	q.bytes -= total
}

// close closes the queue and drops the queued frames.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.short, q.spare, q.long = nil, nil, nil
	q.mu.Unlock()
	q.wakeUp()
}

// queued returns the size of the queued frames in bytes.
func (q *sendQueue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

func (q *sendQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.short)+len(q.long) == 0
}
