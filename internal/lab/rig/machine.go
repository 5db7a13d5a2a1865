package rig

import (
	"errors"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechwing/internal/lab/node"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

const (
	sampleInterval     = time.Second
	timerCheckInterval = 10 * time.Millisecond
)

// sampleProcesses records the resources that each running process holds, once a second.
func (r *rig) sampleProcesses() {
	for at := sampleInterval; at < r.schedule.Span.D(); at += sampleInterval {
		if _, err := r.pacer.waitUntil(r.ctx, at); err != nil {
			return
		}
		for p, m := range r.processes {
			m.mu.Lock()
			shouldRun := m.shouldRun
			m.mu.Unlock()
			if !shouldRun {
				continue
			}
			if u, err := m.Usage(); err == nil { // the process may just have ended
				r.book.Add(record.Sample{Proxy: p, At: r.book.Now(), RSS: u.RSS, CPU: u.CPU, Descriptors: u.Descriptors})
			}
		}
	}
}

// measureTimerDelay measures how late the timers of the rig's own process fire.
func (r *rig) measureTimerDelay() {
	for at := timerCheckInterval; at < r.schedule.Span.D(); at += timerCheckInterval {
		late, err := r.pacer.waitUntil(r.ctx, at)
		if err != nil {
			return
		}
		r.timerDelay.add(late)
	}
}

// delayHistogram collects how late timers fired.
type delayHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // microseconds
}

func (l *delayHistogram) add(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		l.h = hdrhistogram.New(1, 60_000_000, 2)
	}
	l.h.RecordValue(min(60_000_000, max(1, late.Microseconds())))
}

// p99AndMax returns the 99th percentile and the maximum of the delays.
func (l *delayHistogram) p99AndMax() (p99, most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		return 0, 0
	}
	return time.Duration(l.h.ValueAtQuantile(99)) * time.Microsecond, time.Duration(l.h.Max()) * time.Microsecond
}

// machineUsage is the CPU time used up to a point in time: by the machine in ticks of /proc/stat, and by the rig's own process.
type machineUsage struct {
	at        time.Time
	busy, all float64
	rig       time.Duration
	err       error
}

func readMachineUsage() machineUsage {
	u := machineUsage{at: time.Now()}
	u.busy, u.all, u.err = machineTicks()
	var self syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &self) == nil {
		u.rig = time.Duration(self.Utime.Nano() + self.Stime.Nano())
	}
	return u
}

// since returns the usage of the machine from u to now. Busy stays 0 if /proc/stat could not be read.
func (u machineUsage) since() (m record.Machine) {
	now := readMachineUsage()
	if d := now.all - u.all; u.err == nil && now.err == nil && d > 0 {
		m.Busy = (now.busy - u.busy) / d
	}
	m.RigBusy = float64(now.rig-u.rig) / float64(now.at.Sub(u.at)) / float64(runtime.NumCPU())
	return m
}

// machineTicks reads the CPU ticks of the whole machine from the first line of /proc/stat (proc(5)): user, nice, system, idle,
// iowait and so on. All of them but idle and iowait count as busy.
func machineTicks() (busy, all float64, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	fields := strings.Fields(line)
	if len(fields) < 6 {
		return 0, 0, errors.New("rig: /proc/stat has too few fields")
	}
	for i, f := range fields[1:] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return 0, 0, err
		}
		if all += n; i != 3 && i != 4 {
			busy += n
		}
	}
	return busy, all, nil
}

func nodeConfig(h *plan.Host) node.Config {
	return node.Config{Cores: h.Cores, Work: h.Work.D(), CV: h.CV, Queue: h.Queue, Conns: h.Conns, Handshake: h.Handshake.D(),
		SlowAt: h.SlowAt, SlowBy: h.SlowBy, ColdFrom: h.ColdFrom, ColdFor: h.Cold.D(), FallMultiple: h.FallMultiple,
		FallAfter: h.FallAfter.D(), WarmKeys: h.WarmKeys, WarmShare: h.WarmShare}
}
