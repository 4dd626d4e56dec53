// Package dfplog writes a process's log without ever blocking the process, and reads logs to explain what
// happened to a request.
//
// # Usage
//
//	sink := dfplog.NewSink(os.Stdout)
//	logger := &log.Logger{Handler: sink, Level: log.InfoLevel}
//	group.Go(func() error { return sink.Run(ctx) })
package dfplog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// maxLines is the maximum number of lines that wait to be written.
	maxLines = 1024
	// flushTimeout is the time after which no more of the lines that still wait when Run ends are written.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a log.Handler that queues lines; its method Run writes them in a separate goroutine. While the
// queue is full, for example because nobody reads standard output, new lines are dropped and counted. Each
// later line carries the count in its field dropped_lines.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu      sync.Mutex // Protects buf and encoder.
	buf     bytes.Buffer
	encoder *json.Handler
}

// NewSink returns a sink that writes to w while Run is running.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, maxLines)}
	s.encoder = json.New(&s.buf)
	return s
}

// HandleLog encodes and queues a line. It never waits for the writer. The error is that of the encoder.
func (s *Sink) HandleLog(entry *log.Entry) error {
	s.mu.Lock()
	s.buf.Reset()
	if dropped := s.dropped.Load(); dropped > 0 {
		fields := log.Fields{"dropped_lines": dropped}
		for name, value := range entry.Fields {
			fields[name] = value
		}
		copied := *entry
		copied.Fields = fields
		entry = &copied
	}
	err := s.encoder.HandleLog(entry)
	line := bytes.Clone(s.buf.Bytes())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes the queued lines until ctx ends. Then it writes those that are still queued, but starts no
// write more than 200 ms after the end of ctx. The error is that of the writer.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			if _, err := s.w.Write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.flush()
		}
	}
}

func (s *Sink) flush() error {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-s.lines:
			if _, err := s.w.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}
