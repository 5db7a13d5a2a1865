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
	behindPort = 1                     // added to the port that others know: where the process listens behind its relay
	slice      = 25 * time.Millisecond // in which a process has its share of the processor
	readyIn    = 15 * time.Second      // until a fleet is ready
)

// fleet is control processes and proxies behind relays, which can be killed, stopped, cut off and robbed of their disks.
type fleet struct {
	dir      string
	log      io.Writer
	relays   *relays
	seeds    []string
	controls []*machine
	proxies  []*machine
	hosts    []*server
}

// machine is a process and its disk. It may be started again.
type machine struct {
	fleet       *fleet
	program, ip string
	carrier     string
	share       float64 // of a processor's time that the process has; 1: all that it wants

	mu      sync.Mutex
	process *process
	life    atomic.Int64
	stopped atomic.Bool // until it is let go on
}

// known is the address by which the others know a machine.
func (m *machine) known() string { return fmt.Sprintf("%s:%d", m.ip, inner) }

// startFleet starts control processes and proxies, with a host beside each proxy.
func startFleet(dir string, log io.Writer, controls, proxies int, share float64) (*fleet, error) {
	f := &fleet{dir: dir, log: log, relays: newRelays()}
	for i := range min(3, controls) {
		f.seeds = append(f.seeds, fmt.Sprintf("127.0.7.%d:%d", i+1, control))
	}
	for i := range controls {
		f.controls = append(f.controls, &machine{fleet: f, program: "beechwing-control", ip: fmt.Sprintf("127.0.7.%d", i+1), share: share})
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &machine{fleet: f, program: "beechwing-sidecar", ip: fmt.Sprintf("127.0.8.%d", i+1),
			carrier: []string{"shop", "till"}[i%2], share: 1})
	}
	for _, m := range f.machines() {
		if err := f.relays.serve(m.known(), fmt.Sprintf("%s:%d", m.ip, inner+behindPort)); err != nil {
			return f, err
		}
		if err := m.start(true); err != nil {
			return f, err
		}
	}
	before := len(servers)
	for i, m := range f.proxies {
		if err := host(m.ip, m.carrier, i); err != nil {
			return f, err
		}
	}
	f.hosts = servers[before:]
	if err := configure(f.seeds); err != nil {
		return f, err
	}
	for _, m := range f.proxies {
		if err := until(readyIn, func() bool { return status(fmt.Sprintf("http://%s:%d/-/ready", m.ip, ready)) == 200 }); err != nil {
			return f, fmt.Errorf("%s is not ready: %w", m.ip, err)
		}
	}
	return f, nil
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controls...), f.proxies...)
}

// stop ends everything.
func (f *fleet) stop() {
	f.relays.join()
	for _, m := range f.machines() {
		m.kill()
	}
	f.relays.close()
	for _, s := range f.hosts {
		s.stop()
	}
}

// start starts the process on what its disk holds.
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
	m.process, err = launch(m.program, m.ip, path, m.fleet.log, "--listen-inner", fmt.Sprintf("%s:%d", m.ip, inner+behindPort))
	if err != nil {
		m.process = nil
		return err
	}
	m.stopped.Store(false)
	life := m.life.Add(1)
	if m.share < 1 {
		go m.throttle(m.process.cmd.Process, life)
	}
	return nil
}

// throttle gives a process its share of a processor: it runs for a part of each slice and stands still for the rest.
func (m *machine) throttle(p *os.Process, life int64) {
	runs := time.Duration(m.share * float64(slice))
	for m.life.Load() == life {
		if !m.stopped.Load() {
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(runs)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(slice - runs)
	}
}

// kill ends the process at once. What it had written stays on its disk.
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

// pause holds the process up, and resume lets it go on.
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

// wipe empties the disk of a machine whose process is not running.
func (m *machine) wipe() error { return os.RemoveAll(dataDir(m.fleet.dir, m.ip)) }
