package dfppeer

import (
	"bytes"
	"sync"
	"sync/atomic"
)

// delivery tells whether a run frame has been handed to the connection. It
// moves once, from queued to written or to dropped.
type delivery struct{ state atomic.Int32 }

const (
	deliveryQueued int32 = iota
	deliveryWritten
	deliveryDropped
)

// take claims the frame for writing; false means that it was dropped.
func (d *delivery) take() bool {
	return d == nil || d.state.CompareAndSwap(deliveryQueued, deliveryWritten)
}

// drop keeps the frame from being written; false means that it may have been.
func (d *delivery) drop() bool {
	return d.state.CompareAndSwap(deliveryQueued, deliveryDropped) || d.state.Load() == deliveryDropped
}

type outFrame struct {
	buf      *bytes.Buffer
	delivery *delivery
}

// longFrame is a frame that goes out in pieces, between the others.
type longFrame struct {
	outFrame
	sequence uint64
	offset   int
}

// outbox holds the frames that wait to be written on one connection. Frames
// queued while a write is under way go out together in the next one.
type outbox struct {
	mu       sync.Mutex
	short    []outFrame
	spare    []outFrame
	long     []*longFrame
	bytes    int
	sequence uint64
	closed   bool
	wake     chan struct{}
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

// put queues a frame and wakes the write loop.
func (o *outbox) put(buf *bytes.Buffer, d *delivery, must bool) error {
	if err := o.enqueue(buf, d, must); err != nil {
		return err
	}
	o.wakeUp()
	return nil
}

// enqueue queues a frame that the caller has written by conn.writeNow. Unless it
// must go out, it is refused with ErrQueueFull over maxQueued.
func (o *outbox) enqueue(buf *bytes.Buffer, d *delivery, must bool) error {
	o.mu.Lock()
	if o.closed || !must && o.bytes+buf.Len() > maxQueued {
		closed := o.closed
		o.mu.Unlock()
		release(buf)
		if closed {
			return ErrLinkLost
		}
		return ErrQueueFull
	}
	o.bytes += buf.Len()
	if buf.Len() <= partSize {
		o.short = append(o.short, outFrame{buf, d})
	} else {
		o.sequence++
		o.long = append(o.long, &longFrame{outFrame: outFrame{buf, d}, sequence: o.sequence})
	}
	o.mu.Unlock()
	return nil
}

// wait blocks until something is queued. It returns false once the outbox is closed.
func (o *outbox) wait() bool {
	for {
		o.mu.Lock()
		closed, queued := o.closed, len(o.short)+len(o.long)
		o.mu.Unlock()
		if closed {
			return false
		}
		if queued > 0 {
			return true
		}
		<-o.wake
	}
}

// take fills batch with what goes out in the next message: the short frames and
// one piece of a long one. It returns false if there is nothing to send.
func (o *outbox) take(batch *bytes.Buffer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	for batch.Len() == 0 && len(o.short)+len(o.long) > 0 {
		o.fill(batch)
	}
	return batch.Len() > 0
}

// wakeUp has the write loop look for what is queued.
func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) fill(batch *bytes.Buffer) {
	n := 0
	for n < len(o.short) && batch.Len() < fullBatch {
		f := o.short[n]
		n++
		o.bytes -= f.buf.Len()
		if f.delivery.take() {
			batch.Write(f.buf.Bytes())
		}
		release(f.buf)
	}
	rest := append(o.spare[:0], o.short[n:]...)
	clear(o.short)
	o.short, o.spare = rest, o.short[:0]
	if len(o.long) > 0 {
		o.fillPart(batch)
	}
}

func (o *outbox) fillPart(batch *bytes.Buffer) {
	f := o.long[0]
	o.long = o.long[1:]
	total := f.buf.Len()
	if f.offset == 0 && !f.delivery.take() {
		o.bytes -= total
		return
	}
	data := f.buf.Bytes()[f.offset:min(f.offset+partSize, total)]
	piece := &frame{Kind: kindPart, Sequence: f.sequence, Part: &part{Offset: f.offset, Total: total, Data: data}}
	if err := encMode.MarshalToBuffer(piece, batch); err != nil {
		panic("dfppeer: a part does not encode: " + err.Error())
	}
	f.offset += len(data)
	if f.offset < total {
		o.long = append(o.long, f)
		return
	}
	o.bytes -= total
}

// close drops all that waits.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.short, o.spare, o.long = nil, nil, nil
	o.mu.Unlock()
	o.wakeUp()
}

// queued returns the number of bytes that wait.
func (o *outbox) queued() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.short)+len(o.long) == 0
}
