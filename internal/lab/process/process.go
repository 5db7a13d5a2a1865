// Package process runs a proxy as a process of its own and reads what it costs the machine. It knows nothing of what the
// proxy is asked to do.
package process

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"beechwing/internal/lab/port"
)

// Config is how a proxy is to be started. What is left empty has a default that suits a single one.
type Config struct {
	Binary    string
	Args      []string
	Name      string
	Listen    string // address; its port may be 0, and is then chosen at the first start
	Discovery string
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int
	Settings  string          // the platform's JSON object
	Known     json.RawMessage // the list of hosts as the proxy had it last
	Site      string          // text of an operator's file; empty: none
	Dir       string          // folder for its files, which stays; empty: one that goes with it
	Ops       string          // address of the operators' door; empty: none
	Env       []string        // beside those of this process
}

// settings are those of a small deployment with one class that is safe to repeat.
const settings = `{"Balancers": 2, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Discovery": "ask",
 "Classes": [{"Name": "read", "Effect": "repeatable", "AimS": 0.5, "DeadlineS": 2.0, "Credit": 1.0, "LateWorth": 0.5}],
 "Limits": {"Cancelling": true, "RetryAfter": true, "MaxRetryAfterS": 2.0, "MaxAttempts": 3, "ConnectTimeoutS": 0.25,
  "ConnIdleS": 60.0}, "WeightKind": "nominal", "WorthBy": "work",
 "Rules": {"AskWithinS": 10.0, "StopSendingWithinS": 1.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0,
  "TipAfterS": 2.0}}`

// Proxy is one process, which may be started again once it has ended.
type Proxy struct {
	Addr string
	c    Config
	cmd  *exec.Cmd
	dir  string
	own  bool // dir goes with it
	log  *os.File
	held *port.Held    // of a port that was left open, between its starts as well
	done chan struct{} // closed when the process has ended
}

const startWithin = 10 * time.Second

// Start runs a proxy and waits until it says that it is ready.
func Start(ctx context.Context, c Config) (*Proxy, error) {
	p, err := New(c)
	if err == nil {
		err = p.Launch()
	}
	if err == nil {
		err = p.AwaitReady(ctx, startWithin)
	}
	if err != nil {
		if p != nil {
			p.Stop()
		}
		return nil, fmt.Errorf("process %s: %w", c.Binary, err)
	}
	return p, nil
}

// New prepares a proxy's files and address, and starts nothing.
func New(c Config) (*Proxy, error) {
	p := &Proxy{c: c, dir: c.Dir}
	if err := p.prepare(); err != nil {
		p.Stop()
		return nil, fmt.Errorf("process: %w", err)
	}
	return p, nil
}

func (p *Proxy) prepare() (err error) {
	if p.dir == "" {
		p.own = true
		if p.dir, err = os.MkdirTemp("", "beechwing-lab"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Join(p.dir, "state"), 0o700); err != nil {
		return err
	}
	if p.Addr = cmp.Or(p.c.Listen, "127.0.0.1:0"); strings.HasSuffix(p.Addr, ":0") {
		at, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			return err
		}
		if p.held, err = port.Hold(at); err != nil {
			return err
		}
		p.Addr = p.held.Addr().String()
	}
	if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
		return err
	}
	if p.c.Site == "" {
		return nil
	}
	return os.WriteFile(p.file("site.toml"), []byte(p.c.Site), 0o600)
}

func (p *Proxy) file(name string) string { return filepath.Join(p.dir, name) }

// Ops is the address of the operators' door; empty: there is none.
func (p *Proxy) Ops() string { return p.c.Ops }

// Know sets the list that the next start begins with.
func (p *Proxy) Know(list json.RawMessage) { p.c.Known = list }

// Launch starts the process and does not wait for it to be ready.
func (p *Proxy) Launch() error {
	config, err := json.Marshal(map[string]any{"name": cmp.Or(p.c.Name, "lab"), "listen": p.Addr, "discovery": p.c.Discovery,
		"seed":   strconv.FormatUint(max(1, p.c.Seed), 16),
		"limits": map[string]any{"cores": p.c.Cores, "memory_mb": p.c.MemoryMB, "sockets": p.c.Sockets},
		"known":  p.c.Known, "settings": json.RawMessage(cmp.Or(p.c.Settings, settings))})
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	if err := os.WriteFile(p.file("config.json"), config, 0o600); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	cmd := exec.Command(p.c.Binary, p.c.Args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.file("config.json"), "TMPDIR="+p.file("state"))
	if p.c.Site != "" {
		cmd.Env = append(cmd.Env, "PROXY_SITE="+p.file("site.toml"))
	}
	if p.c.Ops != "" {
		cmd.Env = append(cmd.Env, "PROXY_OPS="+p.c.Ops)
	}
	cmd.Env = append(cmd.Env, p.c.Env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := start(cmd); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		cmd.Wait()
		close(done)
	}()
	return nil
}

// starter starts all processes from one thread that never ends: the kernel kills them when the thread that started them is
// gone, so none outlives this process however that ends (prctl(2), PR_SET_PDEATHSIG).
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	return <-started
}

// Ready asks the proxy whether it is.
func (p *Proxy) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.Addr + "/_health")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the proxy says that it is ready.
func (p *Proxy) AwaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for !p.Ready() {
		select {
		case <-ctx.Done():
			text, _ := p.Log()
			return fmt.Errorf("not ready within %v: %s", within, text)
		case <-p.done:
			text, _ := p.Log()
			return fmt.Errorf("ended: %v: %s", p.cmd.ProcessState, text)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// Done is closed when the process has ended; Exit then tells how.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// Exit is how the process ended.
func (p *Proxy) Exit() *os.ProcessState { return p.cmd.ProcessState }

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

// Stop ends the process, if it runs, and waits for its end; the time is how long that took.
func (p *Proxy) Stop() time.Duration {
	start := time.Now()
	if p.done != nil {
		p.Signal(syscall.SIGTERM)
		p.Signal(syscall.SIGCONT) // one that is stopped would not hear of it
		select {
		case <-p.done:
		case <-time.After(startWithin):
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	took := time.Since(start)
	if p.log != nil {
		p.log.Close()
	}
	if p.held != nil {
		p.held.Free()
	}
	if p.own {
		os.RemoveAll(p.dir)
	}
	return took
}
