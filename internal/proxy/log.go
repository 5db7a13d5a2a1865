package proxy

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const logLines = 512 // that may wait to be written

// logSink writes lines from a goroutine of its own. A full pipe behind standard error must not hold up who logs, least
// of all the owner; lines over the bound are dropped and counted.
type logSink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	wg      sync.WaitGroup
}

// NewLogger makes the program's logger and the function that writes out what waits and ends it.
func NewLogger(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	s := &logSink{out: out, lines: make(chan []byte, logLines)}
	s.wg.Go(s.run)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level))
	return log, func() {
		close(s.lines)
		s.wg.Wait()
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
	for line := range s.lines {
		s.out.Write(line)
		if n := s.dropped.Swap(0); n > 0 {
			fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"%d log lines dropped\"}\n", n)
		}
	}
}
