// Package rig runs a fleet experiment. Play takes a schedule of internal/lab/plan and starts simulated hosts, the list service
// (service discovery), the simulated network between them and the proxy processes of a built program. It then sends the
// callers' requests, injects each fault at its scheduled time and returns the records of the run. The rig stops everything that
// it has started. It does not evaluate the records; internal/lab/judge does.
package rig

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"beechwing/internal/lab/caller"
	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/link"
	"beechwing/internal/lab/list"
	"beechwing/internal/lab/node"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/process"
	"beechwing/internal/lab/record"
)

// Options configure a run of a schedule.
type Options struct {
	Binary string   // path of the program under test
	Args   []string // arguments of the program
	Site   string   // text of the operators' configuration file; empty: the one in the experiment
	Dir    string   // for the processes' files and logs; empty: a temporary one, removed after the run
	Seed   uint64
	Log    string // log level of the processes; empty: the program's default
	// MaxInFlight is the number of unanswered requests at which the schedule pauses. With 0 the schedule follows the clock
	// alone.
	MaxInFlight int
	// SlowdownFactor is how many times as slow as an idle machine this one may be. The rig multiplies its timeouts by it.
	SlowdownFactor int
}

// scaleTimeout returns the timeout to use on this machine, given the timeout for an idle one.
func (o *Options) scaleTimeout(idle time.Duration) time.Duration {
	return idle * time.Duration(max(1, o.SlowdownFactor))
}

// rig is the state of a run in progress.
type rig struct {
	Options
	schedule   *plan.Schedule
	book       *record.Book
	net        *link.Network
	peers      *link.Peers
	nodes      []*node.Node
	list       *list.Service
	processes  []*proxyProcess
	callers    []*caller.Caller
	ctx        context.Context
	background sync.WaitGroup // goroutines that watch processes, apply process faults or restart hosts
	mu         sync.Mutex
	failure    error // joined errors of the rig itself
	timerDelay delayHistogram
	pacer      *pacer
}

// proxyProcess is the process of one proxy across its restarts.
type proxyProcess struct {
	*process.Proxy
	index      int
	mu         sync.Mutex
	shouldRun  bool // an exit while this is set is a crash
	generation int  // counts the launches
}

// Play runs a schedule and returns its records. The error is one of the rig itself or of the context; a proxy's faults are in
// the records.
func Play(ctx context.Context, s *plan.Schedule, o Options) (*record.Book, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &rig{Options: o, schedule: s, book: record.NewBook(), net: link.New(o.Seed), ctx: ctx}
	r.pacer = newPacer(r.book, o.MaxInFlight)
	if r.Dir == "" {
		dir, err := os.MkdirTemp("", "beechwing-rig")
		if err != nil {
			return nil, fmt.Errorf("rig: %w", err)
		}
		defer os.RemoveAll(dir)
		r.Dir = dir
	}
	r.peers = r.net.NewPeers()
	err := r.setUp()
	if err == nil {
		err = r.play()
	}
	cancel()
	r.tearDown()
	return r.book, errors.Join(err, r.failure, r.net.Err())
}

// recordFailure keeps an error of the rig itself. A run in which the rig could not carry out the schedule proves nothing.
func (r *rig) recordFailure(err error) {
	if err != nil {
		r.mu.Lock()
		r.failure = errors.Join(r.failure, err)
		r.mu.Unlock()
	}
}

// setUp creates the simulated hosts, the list service, the proxies' processes and their callers. It launches no process yet.
func (r *rig) setUp() error {
	classes := make([]string, len(r.schedule.Classes))
	for i, k := range r.schedule.Classes {
		classes[i] = k.Name
	}
	entries := make([]list.Entry, len(r.schedule.Hosts))
	for i, h := range r.schedule.Hosts {
		n, err := node.New(r.net, judge.HostName(i), i, nodeConfig(&r.schedule.Host), classes, r.Seed+uint64(i), r.book,
			func() { r.hostOverloaded(i) })
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		entries[i] = list.Entry{ID: n.ID, Addr: n.Addr, Zone: r.schedule.Zones[h.Zone].Name, Weight: 1, State: list.Ready}
	}
	var err error
	r.list, err = list.New(r.net,
		list.Config{Rate: r.schedule.List.Rate, Queue: r.schedule.List.Queue, Wait: r.schedule.List.Wait.D()}, r.book, entries)
	if err != nil {
		return err
	}
	r.setLatencies()
	sites, err := r.siteTexts()
	if err != nil {
		return err
	}
	for p := range r.schedule.Proxies {
		if err := r.addProcess(p, sites[p]); err != nil {
			return err
		}
	}
	return nil
}

// setLatencies sets the network latency between each proxy and each host by their zones and regions.
func (r *rig) setLatencies() {
	l := r.schedule.Link
	for p, party := range r.schedule.Proxies {
		from := r.schedule.Zones[party.Zone]
		for h, host := range r.schedule.Hosts {
			to, latency := r.schedule.Zones[host.Zone], l.Near.D()
			if from.Region != to.Region {
				latency = l.Region.D()
			} else if from.Name != to.Name {
				latency = l.Zone.D()
			}
			if latency > 0 {
				r.net.Set([]int{p}, []int{r.nodes[h].Number()}, func(s *link.State) {
					s.Latency, s.Jitter = latency, time.Duration(l.Jitter*float64(latency))
				})
			}
		}
	}
}

// addProcess prepares the process of a proxy and its caller.
func (r *rig) addProcess(p int, site string) error {
	c := process.Config{Binary: r.Binary, Args: r.Args, Name: fmt.Sprintf("p%03d", p), Listen: proxyAddr(p), Discovery: r.list.Addr(p),
		Seed: r.Seed + uint64(p), Cores: r.schedule.Proxy.Cores, MemoryMB: r.schedule.Proxy.MemoryMB, Sockets: r.schedule.Proxy.Sockets,
		Settings: settings(r.schedule, p), Site: site, Ops: proxyAddr(p), Dir: filepath.Join(r.Dir, fmt.Sprintf("p%03d", p))}
	if r.schedule.Proxy.Knows {
		c.Known = r.list.Snapshot(p)
	}
	if r.Log != "" {
		c.Env = append(c.Env, "BEECHWING_LOG="+r.Log)
	}
	m, err := process.New(c)
	if err != nil {
		return err
	}
	r.processes = append(r.processes, &proxyProcess{Proxy: m, index: p})
	var classes []caller.Class
	for _, k := range r.schedule.Classes {
		classes = append(classes, caller.Class{Name: k.Name, Safe: k.Effect == "repeatable", Deadline: k.Deadline.D()})
	}
	client := caller.New(m.Addr, p, classes, r.schedule.Traffic.Retries, r.Seed+uint64(p), r.book)
	client.LateWait = r.scaleTimeout(caller.DefaultLateWait)
	r.callers = append(r.callers, client)
	return nil
}

// siteTexts returns the text of the operators' configuration file for each process. In the template, "@own@" is replaced by the
// address on which the process listens for peers, "@advertised@" by the address under which peers reach the process, and
// "@seeds@" by the advertised addresses of three other processes.
func (r *rig) siteTexts() ([]string, error) {
	text := cmp.Or(r.Site, r.schedule.Proxy.Site)
	sites := make([]string, len(r.schedule.Proxies))
	if !strings.Contains(text, "@own@") {
		for p := range sites {
			sites[p] = text
		}
		return sites, nil
	}
	var own, advertised []string
	for p := range sites {
		o, a, err := r.peers.Add(p)
		if err != nil {
			return nil, err
		}
		own, advertised = append(own, o), append(advertised, a)
	}
	for p := range sites {
		var seeds []string
		for k := range 3 {
			seeds = append(seeds, strconv.Quote(advertised[(p+1+k*len(sites)/3)%len(sites)]))
		}
		sites[p] = strings.NewReplacer("@own@", own[p], "@advertised@", advertised[p], "@seeds@", strings.Join(seeds, ", ")).Replace(text)
	}
	return sites, nil
}

// proxyAddr returns a loopback address of its own for a proxy to listen on. A port that the system reports as free may be taken
// by a host or another rig before the proxy starts. These ports therefore lie below the ephemeral range (ip(7),
// ip_local_port_range). The last octet is derived from the process id, which keeps most concurrent rigs apart.
func proxyAddr(p int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 32+p>>8, p&255, 1+os.Getpid()%250, 20_000+ports.Add(1)%10_000)
}

// ports counts the addresses handed out to proxies by all rigs in this process.
var ports atomic.Int64

const readyTimeout = 60 * time.Second

// play launches the processes, runs the schedule and stops the processes. Processes start before the traffic or along with it.
func (r *rig) play() error {
	before := r.schedule.Proxy.Start == "before"
	if before {
		for _, m := range r.processes {
			if err := r.launch(m); err != nil {
				return err
			}
		}
		for _, m := range r.processes {
			if err := m.AwaitReady(r.ctx, r.scaleTimeout(readyTimeout)); err != nil {
				return err
			}
		}
	}
	usageBefore, sentBefore := readMachineUsage(), r.peerBytesSent()
	r.book.Begin()
	if r.schedule.Proxy.ColdAll {
		r.startHostsCold()
	}
	var wg sync.WaitGroup
	wg.Go(r.sampleProcesses)
	wg.Go(r.measureTimerDelay)
	wg.Go(r.runSteps)
	if !before {
		wg.Go(r.startProcesses)
	}
	err := r.sendRequests()
	if err == nil {
		_, err = r.pacer.waitUntil(r.ctx, r.schedule.Span.D()+r.schedule.Settle.D())
	}
	for _, c := range r.callers {
		c.Close()
	}
	r.book.Machine = usageBefore.since()
	for p, sent := range r.peerBytesSent() {
		r.book.Words = append(r.book.Words, sent-sentBefore[p])
	}
	r.book.Machine.LateP99, r.book.Machine.LateMost = r.timerDelay.p99AndMax()
	r.terminateAll()
	wg.Wait()
	return err
}

// peerBytesSent returns the number of bytes that each process has sent to its peers so latency.
func (r *rig) peerBytesSent() []int64 {
	sent := make([]int64, len(r.processes))
	for p := range sent {
		sent[p] = r.peers.BytesSent(p)
	}
	return sent
}

// startProcesses starts the processes while traffic is already arriving, all at once or spread over the configured time.
func (r *rig) startProcesses() {
	step := r.schedule.Proxy.Spread.D() / time.Duration(max(1, len(r.processes)))
	for i, m := range r.processes {
		if _, err := r.pacer.waitUntil(r.ctx, step*time.Duration(i)); err != nil {
			return
		}
		if err := r.launch(m); err != nil {
			r.recordFailure(err)
			return
		}
		r.background.Go(func() { r.recordReady(i) })
	}
}

// recordReady records when a process first reports that it is ready.
func (r *rig) recordReady(p int) {
	if r.processes[p].AwaitReady(r.ctx, r.schedule.Span.D()) == nil {
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Ready, Proxy: p, Host: -1})
	}
}

// sendRequests makes the callers send each request at its scheduled time.
func (r *rig) sendRequests() error {
	for _, a := range r.schedule.Arrivals {
		late, err := r.pacer.waitUntil(r.ctx, a.At)
		if err != nil {
			return err
		}
		r.timerDelay.add(late)
		if err := r.pacer.acquire(r.ctx); err != nil {
			return err
		}
		r.callers[a.Proxy].Ask(a.At+r.pacer.pausedFor(), a.ID, a.Class, a.Key, r.pacer.release)
	}
	return nil
}

// launch starts a process and records a crash if the process exits unasked.
func (r *rig) launch(m *proxyProcess) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.Launch(); err != nil {
		return err
	}
	m.shouldRun = true
	m.generation++
	generation := m.generation
	p := m.index
	r.book.Add(record.Event{At: r.book.Now(), Kind: record.Start, Proxy: p, Host: -1})
	done := m.Done()
	r.background.Go(func() {
		<-done
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.shouldRun && m.generation == generation {
			m.shouldRun = false
			r.book.Add(record.Event{At: r.book.Now(), Kind: record.Crash, Proxy: p, Host: -1, Text: m.Exit().String()})
		}
	})
	return nil
}

// terminateAll stops all processes at the same time and records how each of them exited.
func (r *rig) terminateAll() {
	var wg sync.WaitGroup
	for p, m := range r.processes {
		wg.Go(func() { r.terminate(p, m, r.scaleTimeout(exitTimeout)) })
	}
	wg.Wait()
}

const exitTimeout = 6 * time.Second // the longest request deadline plus the extra time that the platform grants

// tearDown stops whatever still runs.
func (r *rig) tearDown() {
	for _, m := range r.processes {
		m.mu.Lock()
		m.shouldRun = false
		m.mu.Unlock()
		m.Stop()
	}
	for _, c := range r.callers {
		c.ProxyKilled()
	}
	r.peers.Close()
	r.net.Close()
	r.background.Wait()
}
