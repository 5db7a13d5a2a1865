package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, started: time.Now()}, err
}

// Log writes one line with the seconds since the start.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.file.WriteString(line)
	os.Stdout.WriteString(line)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
