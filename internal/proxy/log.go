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
	maxQueuedLines = 512         // that may wait to be written
	flushTimeout   = time.Second // the end does not wait longer for an output that takes nothing
)

// logSink writes lines from a goroutine of its own. A full pipe behind standard error must not hold up who logs, least
// of all the owner; lines over the bound are dropped and counted.
type logSink struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	dropped atomic.Int64
}

// NewLogger makes the program's logger and the function that writes out what waits and ends it.
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

// Write takes a line. zap uses its buffer again, so the line is copied.
func (s *logSink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is there for zap; the sink writes as fast as it can anyway.
func (s *logSink) Sync() error { return nil }

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

func (s *logSink) write(line []byte) {
	s.out.Write(line)
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"%d log lines dropped\"}\n", n)
	}
}
