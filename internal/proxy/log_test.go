package proxy

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestLogNeverBlocks checks that a blocked output does not block loggers, and that lines which do not fit in the queue are
// dropped and counted.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, flush := NewLogger(out, zapcore.InfoLevel)
	for range 2 * maxQueuedLines {
		log.Info("a line")
	}
	log.Debug("not at this level")
	close(out.release)
	flush()
	text := out.String()
	if n := strings.Count(text, "a line"); n < maxQueuedLines || n > maxQueuedLines+2 ||
		!strings.Contains(text, "lines dropped") {
		t.Fatalf("%d lines written, dropped lines reported: %v", n, strings.Contains(text, "lines dropped"))
	}
	if strings.Contains(text, "not at this level") {
		t.Fatal("a debug line was written")
	}
}

// TestLogEnds checks that a blocked output does not keep the program from ending, and that logging after flush does not
// panic.
func TestLogEnds(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, flush := NewLogger(out, zapcore.InfoLevel)
	log.Info("a line")
	flush()
	log.Info("a late line")
	close(out.release)
}
