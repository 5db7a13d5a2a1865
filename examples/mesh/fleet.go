package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	portOffset     = 1                     // a process behind a relay listens at its mesh port plus this offset
	throttlePeriod = 25 * time.Millisecond // period of which a throttled process runs for a share
	readyTimeout   = 15 * time.Second      // for each proxy of a fleet to become ready
)

// fleet is a set of control servers and proxies that communicate through relays. Its processes can be killed, paused and cut off,
// and their disks wiped.
type fleet struct {
	dir      string
	log      io.Writer
	relays   *relays
	seeds    []string
	controls []*machine
	proxies  []*machine
	hosts    []*toyHost
}

// machine is a process and its disk. The process can be started again after it was killed.
type machine struct {
	fleet       *fleet
	program, ip string
	carrier     string
	cpuShare    float64 // share of a processor's time that the process gets; 1: no limit

	mu        sync.Mutex
	process   *process
	startedAt time.Time    // when the process was started last
	life      atomic.Int64 // incremented at each start and kill, which ends throttling of the earlier process
	stopped   atomic.Bool  // the process is paused
}

// address returns the address at which the other processes reach the machine, which is that of its relay.
func (m *machine) address() string { return fmt.Sprintf("%s:%d", m.ip, meshPort) }

// startFleet starts control servers and proxies with a host beside each proxy, and waits until all proxies are ready.
func startFleet(dir string, log io.Writer, controls, proxies int, share float64) (*fleet, error) {
	f := &fleet{dir: dir, log: log, relays: newRelays()}
	for i := range min(3, controls) {
		f.seeds = append(f.seeds, fmt.Sprintf("127.0.7.%d:%d", i+1, controlPort))
	}
	for i := range controls {
		f.controls = append(f.controls, &machine{fleet: f, program: "beechwing-control", ip: fmt.Sprintf("127.0.7.%d", i+1),
			cpuShare: share})
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &machine{fleet: f, program: "beechwing-sidecar", ip: fmt.Sprintf("127.0.8.%d", i+1),
			carrier: []string{"shop", "till"}[i%2], cpuShare: 1})
	}
	for _, m := range f.machines() {
		if err := f.relays.serve(m.address(), fmt.Sprintf("%s:%d", m.ip, meshPort+portOffset)); err != nil {
			return f, err
		}
		if err := m.start(true); err != nil {
			return f, err
		}
	}
	before := len(toyHosts)
	for i, m := range f.proxies {
		if err := startHost(m.ip, m.carrier, i); err != nil {
			return f, err
		}
	}
	f.hosts = toyHosts[before:]
	if err := configure(f.seeds); err != nil {
		return f, err
	}
	for _, m := range f.proxies {
		if err := waitUntil(readyTimeout, func() bool {
			return getStatus(fmt.Sprintf("http://%s:%d/-/ready", m.ip, readyPort)) == 200
		}); err != nil {
			return f, fmt.Errorf("%s is not ready: %w", m.ip, err)
		}
	}
	return f, nil
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controls...), f.proxies...)
}

// stop ends all processes, relays and hosts.
func (f *fleet) stop() {
	f.relays.clearFaults()
	for _, m := range f.machines() {
		m.kill()
	}
	f.relays.close()
	for _, s := range f.hosts {
		s.stop()
	}
}

// start starts the process with the data on its disk. It does nothing if the process is running.
func (m *machine) start(first bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	path, err := writeSettings(m.fleet.dir, m.program, m.ip, m.carrier, m.fleet.seeds, first)
	if err != nil {
		return err
	}
	m.process, err = launch(m.program, m.ip, path, m.fleet.log, "--listen-inner", fmt.Sprintf("%s:%d", m.ip, meshPort+portOffset))
	if err != nil {
		m.process = nil
		return err
	}
	m.stopped.Store(false)
	m.startedAt = time.Now()
	life := m.life.Add(1)
	if m.cpuShare < 1 {
		go m.throttle(m.process.cmd.Process, life)
	}
	return nil
}

// throttle limits a process to its share of a processor: the process runs for that share of each period and is paused for the
// rest.
func (m *machine) throttle(p *os.Process, life int64) {
	runs := time.Duration(m.cpuShare * float64(throttlePeriod))
	for m.life.Load() == life {
		if !m.stopped.Load() {
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(runs)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runs)
	}
}

// kill kills the process. The data that it has written stays on its disk.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.life.Add(1)
	m.process.cmd.Process.Signal(syscall.SIGKILL)
	m.process.cmd.Wait()
	m.process = nil
}

// runsFor returns how long the process has been running since its last start, 0 if it is not running.
func (m *machine) runsFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return time.Since(m.startedAt)
}

// pause pauses the process until resume.
func (m *machine) pause() { m.signal(true, syscall.SIGSTOP) }

func (m *machine) resume() { m.signal(false, syscall.SIGCONT) }

func (m *machine) signal(stopped bool, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped.Store(stopped)
	if m.process != nil {
		m.process.cmd.Process.Signal(s)
	}
}

// wipe deletes the data of a machine whose process is not running.
func (m *machine) wipe() error { return os.RemoveAll(dataDir(m.fleet.dir, m.ip)) }
