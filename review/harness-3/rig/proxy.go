package rig

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to one address, at a limited rate for both directions, each by itself.
type Proxy struct {
	// Rate is in bytes a second for each direction, all connections together; 0 sets no limit. Delay is one way.
	Rate  atomic.Int64
	Delay time.Duration

	mu    [2]sync.Mutex
	next  [2]time.Time
	Bytes [2]atomic.Int64
	// Opened counts the connections.
	Opened atomic.Int64
}

// Start listens at an address and forwards to another one.
func (p *Proxy) Start(listen, target string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			Go(func() {
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.Close()
					return
				}
				p.Opened.Add(1)
				Go(func() { p.copy(0, out, in) })
				p.copy(1, in, out)
			})
		}
	})
	return nil
}

type chunk struct {
	data []byte
	at   time.Time
}

func (p *Proxy) copy(direction int, to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	// A link has small windows: a peer that does not read blocks the writer.
	_ = from.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = to.(*net.TCPConn).SetWriteBuffer(64 << 10)
	queue := make(chan chunk, 64)
	Go(func() {
		for c := range queue {
			time.Sleep(time.Until(c.at))
			if _, err := to.Write(c.data); err != nil {
				_ = from.Close()
			}
		}
		_ = to.Close()
	})
	defer close(queue)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.Bytes[direction].Add(int64(n))
			time.Sleep(p.turn(direction, n))
			queue <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(p.Delay)}
		}
		if err != nil {
			return
		}
	}
}

// turn returns how long the next bytes have to wait.
func (p *Proxy) turn(direction, n int) time.Duration {
	rate := p.Rate.Load()
	if rate == 0 {
		return 0
	}
	p.mu[direction].Lock()
	defer p.mu[direction].Unlock()
	now := time.Now()
	if p.next[direction].Before(now) {
		p.next[direction] = now
	}
	p.next[direction] = p.next[direction].Add(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	return p.next[direction].Sub(now)
}
