// Package process starts, stops and signals a proxy as a separate process, and measures its memory, CPU time and file
// descriptors. It does not send requests to the proxy, apart from the health check. Start runs a proxy in one call; New and
// Proxy.Launch give control over each start.
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

// Config describes how to start a proxy. The defaults of empty fields suit a single proxy.
type Config struct {
	Binary    string
	Args      []string
	Name      string
	Listen    string // address; with port 0, New chooses a free port and keeps it
	Discovery string
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int
	Settings  string          // the platform's JSON object
	Known     json.RawMessage // list of hosts with which the proxy starts
	Site      string          // text of the operator's settings file; empty: none
	Dir       string          // directory for the files of the proxy, kept by Stop; empty: a temporary one, which Stop removes
	Ops       string          // address of the admin interface; empty: none
	Env       []string        // environment variables in addition to those of this process
}

// defaultSettings is the default of Config.Settings: a small deployment with one class of repeatable requests.
const defaultSettings = `{"Balancers": 2, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Discovery": "ask",
 "Classes": [{"Name": "read", "Effect": "repeatable", "AimS": 0.5, "DeadlineS": 2.0, "Credit": 1.0, "LateWorth": 0.5}],
 "Limits": {"Cancelling": true, "RetryAfter": true, "MaxRetryAfterS": 2.0, "MaxAttempts": 3, "ConnectTimeoutS": 0.25,
  "ConnIdleS": 60.0}, "WeightKind": "nominal", "WorthBy": "work",
 "Rules": {"AskWithinS": 10.0, "StopSendingWithinS": 1.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0,
  "TipAfterS": 2.0}}`

// Proxy is a proxy process. It may be launched again after it has ended.
type Proxy struct {
	Addr     string
	config   Config
	cmd      *exec.Cmd
	dir      string
	tempDir  bool // dir is temporary and is removed by Stop
	log      *os.File
	reserved *port.Reservation // reservation of a chosen port, kept between launches as well
	done     chan struct{}     // closed when the process has ended
}

// startStopTimeout bounds the wait for the proxy to become ready in Start and to end in Stop.
const startStopTimeout = 10 * time.Second

// Start launches a proxy and waits until it reports ready.
func Start(ctx context.Context, c Config) (*Proxy, error) {
	p, err := New(c)
	if err == nil {
		err = p.Launch()
	}
	if err == nil {
		err = p.AwaitReady(ctx, startStopTimeout)
	}
	if err != nil {
		if p != nil {
			p.Stop()
		}
		return nil, fmt.Errorf("process %s: %w", c.Binary, err)
	}
	return p, nil
}

// New prepares the files and the address of a proxy without launching it.
func New(c Config) (*Proxy, error) {
	p := &Proxy{config: c, dir: c.Dir}
	if err := p.prepare(); err != nil {
		p.Stop()
		return nil, fmt.Errorf("process: %w", err)
	}
	return p, nil
}

func (p *Proxy) prepare() (err error) {
	if p.dir == "" {
		p.tempDir = true
		if p.dir, err = os.MkdirTemp("", "beechwing-lab"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Join(p.dir, "state"), 0o700); err != nil {
		return err
	}
	if p.Addr = cmp.Or(p.config.Listen, "127.0.0.1:0"); strings.HasSuffix(p.Addr, ":0") {
		at, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			return err
		}
		if p.reserved, err = port.Reserve(at); err != nil {
			return err
		}
		p.Addr = p.reserved.Addr().String()
	}
	if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
		return err
	}
	if p.config.Site == "" {
		return nil
	}
	return os.WriteFile(p.file("site.toml"), []byte(p.config.Site), 0o600)
}

func (p *Proxy) file(name string) string { return filepath.Join(p.dir, name) }

// Ops returns the address of the admin interface; empty: there is none.
func (p *Proxy) Ops() string { return p.config.Ops }

// SetKnown sets the list of hosts with which the next launch starts.
func (p *Proxy) SetKnown(list json.RawMessage) { p.config.Known = list }

// Launch starts the process without waiting until it is ready.
func (p *Proxy) Launch() error {
	config, err := json.Marshal(map[string]any{"name": cmp.Or(p.config.Name, "lab"), "listen": p.Addr,
		"discovery": p.config.Discovery,
		"seed":      strconv.FormatUint(max(1, p.config.Seed), 16),
		"limits":    map[string]any{"cores": p.config.Cores, "memory_mb": p.config.MemoryMB, "sockets": p.config.Sockets},
		"known":     p.config.Known, "settings": json.RawMessage(cmp.Or(p.config.Settings, defaultSettings))})
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	if err := os.WriteFile(p.file("config.json"), config, 0o600); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	cmd := exec.Command(p.config.Binary, p.config.Args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.file("config.json"), "TMPDIR="+p.file("state"))
	if p.config.Site != "" {
		cmd.Env = append(cmd.Env, "PROXY_SITE="+p.file("site.toml"))
	}
	if p.config.Ops != "" {
		cmd.Env = append(cmd.Env, "PROXY_OPS="+p.config.Ops)
	}
	cmd.Env = append(cmd.Env, p.config.Env...)
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

// starter starts all processes from one locked thread that never ends. The kernel kills a child when the thread that
// started it exits (prctl(2), PR_SET_PDEATHSIG), so that no proxy outlives this process, however this process ends.
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

// start starts cmd on the thread of starter.
func start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	return <-started
}

// Ready reports whether the proxy answers its health check with status 200.
func (p *Proxy) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.Addr + "/_health")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the proxy reports ready. It fails after within, or when the process ends.
func (p *Proxy) AwaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for !p.Ready() {
		select {
		case <-ctx.Done():
			text, _ := p.Log()
			return fmt.Errorf("proxy not ready within %v, its log: %s", within, text)
		case <-p.done:
			text, _ := p.Log()
			return fmt.Errorf("proxy ended before it was ready: %v, its log: %s", p.cmd.ProcessState, text)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// Done returns a channel that is closed when the process has ended.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// Exit returns the exit state of the process. It is valid once Done is closed.
func (p *Proxy) Exit() *os.ProcessState { return p.cmd.ProcessState }

// Usage is the resource usage of a process.
type Usage struct {
	RSS, Peak   int64 // resident bytes, now and at the peak
	CPU         time.Duration
	Descriptors int
}

// ticksPerSecond is the unit of the CPU times in /proc/PID/stat (USER_HZ), which the kernel's interface fixes (proc(5)).
const ticksPerSecond = 100

// Usage reads the resource usage of the process from /proc.
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
		return u, errors.New("process: /proc/PID/stat has fewer than 13 fields after the command name")
	}
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("process: CPU time in /proc/PID/stat: %w", err)
		}
		u.CPU += time.Duration(n) * time.Second / ticksPerSecond
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.Descriptors = len(open)
	return u, err
}

// Signal sends the process a signal.
func (p *Proxy) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Log returns what the process has written to stdout and stderr. It keeps the output of all launches.
func (p *Proxy) Log() (string, error) {
	text, err := os.ReadFile(p.log.Name())
	return string(text), err
}

// Stop ends the process with SIGTERM, or with SIGKILL after startStopTimeout, and releases its port, log and temporary files. It
// returns how long the process took to end.
func (p *Proxy) Stop() time.Duration {
	start := time.Now()
	if p.done != nil {
		p.Signal(syscall.SIGTERM)
		p.Signal(syscall.SIGCONT) // a process stopped by SIGSTOP handles SIGTERM only after SIGCONT
		select {
		case <-p.done:
		case <-time.After(startStopTimeout):
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	took := time.Since(start)
	if p.log != nil {
		p.log.Close()
	}
	if p.reserved != nil {
		p.reserved.Release()
	}
	if p.tempDir {
		os.RemoveAll(p.dir)
	}
	return took
}
