// Package process runs a proxy as a process of its own and reads what it costs the machine. It knows nothing of what the
// proxy is asked to do.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Config is how a proxy is to be started.
type Config struct {
	Binary    string
	Discovery string
	Cores     float64
	MemoryMB  int
	Sockets   int
	Site      string // text of an operator's file; empty: none
}

// settings are those of a small deployment with one class that is safe to repeat.
const settings = `{"Balancers": 2, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Discovery": "ask",
 "Classes": [{"Name": "read", "Effect": "repeatable", "AimS": 0.5, "DeadlineS": 2.0, "Credit": 1.0, "LateWorth": 0.5}],
 "Limits": {"Cancelling": true, "RetryAfter": true, "MaxRetryAfterS": 2.0, "MaxAttempts": 3, "ConnectTimeoutS": 0.25,
  "ConnIdleS": 60.0}, "WeightKind": "nominal", "WorthBy": "work",
 "Rules": {"AskWithinS": 10.0, "StopSendingWithinS": 1.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0,
  "TipAfterS": 2.0}}`

// Proxy is a running one.
type Proxy struct {
	Addr string
	cmd  *exec.Cmd
	dir  string
	log  *os.File
}

const startWithin = 10 * time.Second

// Start runs a proxy and waits until it says that it is ready.
func Start(ctx context.Context, c Config) (*Proxy, error) {
	dir, err := os.MkdirTemp("", "beechwing-lab")
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	p := &Proxy{dir: dir}
	if err := p.start(ctx, c); err != nil {
		p.Stop()
		return nil, fmt.Errorf("process %s: %w", c.Binary, err)
	}
	return p, nil
}

func (p *Proxy) start(ctx context.Context, c Config) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.Addr = ln.Addr().String()
	ln.Close()
	config, err := json.Marshal(map[string]any{"name": "lab", "listen": p.Addr, "discovery": c.Discovery, "seed": "1",
		"limits": map[string]any{"cores": c.Cores, "memory_mb": c.MemoryMB, "sockets": c.Sockets}, "known": nil,
		"settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "config.json"), config, 0o600); err != nil {
		return err
	}
	p.cmd = exec.CommandContext(ctx, c.Binary)
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(p.dir, "config.json"))
	if c.Site != "" {
		site := filepath.Join(p.dir, "site.toml")
		if err := os.WriteFile(site, []byte(c.Site), 0o600); err != nil {
			return err
		}
		p.cmd.Env = append(p.cmd.Env, "PROXY_SITE="+site)
	}
	if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
		return err
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(startWithin); ; time.Sleep(10 * time.Millisecond) {
		if r, err := http.Get("http://" + p.Addr + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				http.DefaultClient.CloseIdleConnections()
				return nil
			}
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(p.log.Name())
			return fmt.Errorf("not ready within %v: %s", startWithin, text)
		}
	}
}

// Usage is what a process has used.
type Usage struct {
	RSS, Peak   int64 // bytes resident now, and at the most so far
	CPU         time.Duration
	Descriptors int
}

const ticks = 100 // a second, of the times in /proc; the kernel's interface has fixed it (proc(5), USER_HZ)

// Usage reads /proc.
func (p *Proxy) Usage() (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, fmt.Errorf("process: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			u.RSS = kb << 10
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			u.Peak = kb << 10
		}
	}
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, fmt.Errorf("process: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return u, errors.New("process: stat has too few fields")
	}
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("process: stat: %w", err)
		}
		u.CPU += time.Duration(n) * time.Second / ticks
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.Descriptors = len(open)
	return u, err
}

// Signal sends the process a signal.
func (p *Proxy) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Log is what the process has written.
func (p *Proxy) Log() (string, error) {
	text, err := os.ReadFile(p.log.Name())
	return string(text), err
}

// Stop ends the process and waits for its end; the time is how long that took.
func (p *Proxy) Stop() time.Duration {
	start := time.Now()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(syscall.SIGTERM)
		ended := make(chan struct{})
		go func() {
			p.cmd.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(startWithin):
			p.cmd.Process.Kill()
			<-ended
		}
	}
	took := time.Since(start)
	if p.log != nil {
		p.log.Close()
	}
	os.RemoveAll(p.dir)
	return took
}
