package proxy

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines = 512         // capacity of the queue of lines to be written
	flushTimeout   = time.Second // at shutdown, for an output that accepts no data
)

// logSink writes log lines in a separate goroutine, so that a full pipe behind standard error does not block the goroutines
// that log, in particular the owner. Lines that do not fit in its queue are dropped and counted.
type logSink struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	dropped atomic.Int64
}

// NewLogger returns a logger, and a function that writes the queued lines and stops the logger's goroutine.
func NewLogger(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	s := &logSink{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		s.run()
		close(ended)
	}()
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level))
	return log, func() {
		close(s.quit)
		select {
		case <-ended:
		case <-time.After(flushTimeout):
		}
	}
}

// Write queues a copy of the line, since zap reuses its buffer. It never blocks.
func (s *logSink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing. zap requires it, but the sink has no buffer to flush.
func (s *logSink) Sync() error { return nil }

// run writes queued lines until quit is closed, and then those that are still in the queue.
func (s *logSink) run() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.quit:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return
		}
	}
}

// write writes a line, and reports lines dropped since the last one.
func (s *logSink) write(line []byte) {
	s.out.Write(line)
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"%d log lines dropped\"}\n", n)
	}
}
