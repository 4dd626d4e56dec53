package rig

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Kept is a client's connection.
type Kept struct {
	Conn   net.Conn
	reader *bufio.Reader
	// Used is true once an answer has been read on the connection.
	Used bool
	// Close says that the last answer announced the connection's end.
	Close bool
	// Body is the body of the last answer, if it was short.
	Body []byte
}

// Dial opens a client's connection to a machine; nil if that fails. A window of 0 leaves the receive buffer as it is.
func Dial(m *Machine, window int) *Kept {
	conn, err := net.DialTimeout("tcp", m.Outbound, time.Second)
	if err != nil {
		return nil
	}
	if window > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(window)
	}
	return &Kept{Conn: conn, reader: bufio.NewReaderSize(conn, 16<<10)}
}

// Do sends a request and reads the whole answer, at a rate in bytes per second if that is not 0.
func (k *Kept) Do(req *http.Request, deadline time.Duration, rate int) (int, error) {
	_ = k.Conn.SetDeadline(time.Now().Add(deadline))
	if err := req.Write(k.Conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	k.Close = resp.Close
	k.Body = nil
	start := time.Now()
	buf := make([]byte, 32<<10)
	for total := 0; ; {
		n, err := resp.Body.Read(buf)
		total += n
		if len(k.Body)+n < 64<<10 {
			k.Body = append(k.Body, buf[:n]...)
		}
		if err == io.EOF {
			k.Used = true
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		if rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(total) / float64(rate) * float64(time.Second)))))
		}
	}
}
