// Package dfplog writes a process's log without ever holding the process up, and reads logs back to
// explain what became of a request.
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
	// maxLines bounds the lines that wait to be written.
	maxLines = 1024
	// flushTime bounds the writing of what still waits when the process ends.
	flushTime = 200 * time.Millisecond
)

// Sink is a handler of log lines that a goroutine of its own writes. What comes while too many lines
// wait, as when nobody reads standard output, is dropped and counted.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu      sync.Mutex // Guards buf and encoder.
	buf     bytes.Buffer
	encoder *json.Handler
}

// NewSink returns a sink that writes to w once Run runs.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, maxLines)}
	s.encoder = json.New(&s.buf)
	return s
}

// HandleLog queues a line. It never blocks; the error is that of the encoder.
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

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends, and then what waits, for a short time. The error is the writer's.
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
	end := time.Now().Add(flushTime)
	for time.Now().Before(end) {
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
