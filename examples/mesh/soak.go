package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// A soak test runs real processes on real sockets under random faults, two or three of which overlap: processes are killed,
// paused or cut off in one or both directions, responses are lost, all control servers are killed at once, and one disk at a time
// is wiped. The test checks what hosts, clients and an operator observed, and the invariants that the processes check themselves.

const (
	faultTime      = 12 * time.Second        // during which faults are injected
	recoveryTime   = 7 * time.Second         // from the end of all faults until everything has to work: catchUpS and 1 s more
	checkTime      = 4 * time.Second         // during which it is checked that everything works
	ackTimeout     = 4 * time.Second         // for the acknowledgement of a configuration after recovery
	minServedShare = 0.95                    // minimum share of the operations that have to succeed after recovery
	minFaultGap    = 300 * time.Millisecond  // minimum time between the starts of two faults
	faultGapSpread = 900 * time.Millisecond  // random time in addition
	maxFaultLength = 2500 * time.Millisecond // maximum duration of a fault
	repeatedOneIn  = 3                       // reciprocal of the share of operations that are sent again
	catchUpTime    = 4 * time.Second         // for which a machine counts as lost once it is back: catchUpS
	maxRepeatDelay = 8 * time.Second         // until an operation is sent again
)

// soak is a run with one seed.
type soak struct {
	*fleet
	random    *rand.Rand
	startedAt time.Time
	logs      *lockedBuffer

	mu           sync.Mutex
	failures     []string
	succeeded    map[string]string // postmarks of the successful responses, by key
	requested    int               // operations after recovery
	served       int               // of these, the successful ones
	acknowledged atomic.Int64      // newest configuration version that was acknowledged
	lastSent     atomic.Int64      // newest configuration version that was sent
	lastWiped    *machine          // machine whose disk was wiped last
	recovered    atomic.Bool       // the time for recovery is over
	finished     atomic.Bool       // clients stop sending
	clients      sync.WaitGroup
	faults       sync.WaitGroup
}

// lockedBuffer collects the logs of several processes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.text.Bytes())
}

// soakAll runs the test for a number of seeds, starting with the flag -seed, and keeps the logs of the seeds that fail.
func soakAll(seeds int) error {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(seeds); seed++ {
		s, err := soakOnce(seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		verdict := "ok"
		if len(s.failures) > 0 {
			failed++
			verdict = fmt.Sprintf("FAILED: %q", s.failures)
			path := fmt.Sprintf("%s/soak-%d.log", os.TempDir(), seed)
			if err := os.WriteFile(path, s.logs.bytes(), 0o644); err == nil {
				verdict += ", logs in " + path
			}
		}
		fmt.Printf("seed %d: %d operations served in total, %d of %d after recovery, version %d acknowledged: %s\n",
			seed, len(s.succeeded), s.served, s.requested, s.acknowledged.Load(), verdict)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

// soakOnce runs the test for one seed.
func soakOnce(seed uint64) (*soak, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &soak{random: rand.New(rand.NewPCG(seed, 3)), logs: &lockedBuffer{}, succeeded: map[string]string{}}
	if s.fleet, err = startFleet(dir, s.logs, *controls, *proxies, *cpuShare); err != nil {
		s.fleet.stop()
		return nil, err
	}
	defer s.stop()
	s.startedAt = time.Now()
	s.acknowledged.Store(1)
	s.lastSent.Store(1)
	s.clients.Go(s.sendOperations)
	s.clients.Go(s.sendConfigurations)
	s.injectFaults()
	s.endFaults()
	time.Sleep(recoveryTime)
	s.recovered.Store(true)
	s.checkConfigurationAccepted()
	time.Sleep(checkTime)
	s.finished.Store(true)
	s.clients.Wait()
	s.check()
	return s, nil
}

// fail records a failure.
func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// logFault writes a line about a fault to the logs.
func (s *soak) logFault(format string, args ...any) {
	fmt.Fprintf(s.logs, "%6.2f s  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// ---- faults

// injectFaults starts random faults for faultTime and waits until they have ended.
func (s *soak) injectFaults() {
	for time.Since(s.startedAt) < faultTime {
		length := time.Duration(s.random.Float64() * float64(maxFaultLength))
		m := s.controls[s.random.IntN(len(s.controls))]
		if s.random.IntN(3) == 0 {
			m = s.proxies[s.random.IntN(len(s.proxies))]
		}
		s.injectFault(s.random.IntN(9), m, length)
		time.Sleep(minFaultGap + time.Duration(s.random.Float64()*float64(faultGapSpread)))
	}
	s.faults.Wait()
}

// injectFault starts a fault, which ends by itself after the given time.
func (s *soak) injectFault(kind int, m *machine, length time.Duration) {
	other := s.controls[s.random.IntN(len(s.controls))]
	switch kind {
	case 0, 1:
		s.logFault("%s is killed for %v", m.ip, length)
		m.kill()
		s.after(length, func() { s.restart(m) })
	case 2, 3:
		s.logFault("%s is paused for %v", m.ip, length)
		m.pause()
		s.after(length, m.resume)
	case 4:
		s.logFault("%s is cut off from the control servers", m.ip)
		s.cutOff(m, true, true)
		s.after(length, s.relays.clearFaults)
	case 5:
		out := s.random.IntN(2) == 0
		s.logFault("%s is cut off in one direction, outgoing: %v", m.ip, out)
		s.cutOff(m, out, !out)
		s.after(length, s.relays.clearFaults)
	case 6:
		s.logFault("the next bytes from %s to %s are lost", other.ip, m.ip)
		s.relays.dropNextBytes(other.address(), m.address())
	case 7:
		s.killControls(length)
	case 8:
		s.killAndWipe(other, length)
	}
}

// after calls a function when a fault has lasted for its time.
func (s *soak) after(length time.Duration, do func()) {
	s.faults.Go(func() {
		time.Sleep(length)
		do()
	})
}

// restart starts the process of a machine again.
func (s *soak) restart(m *machine) {
	if err := m.start(false); err != nil {
		s.fail("start of %s failed: %v", m.ip, err)
	}
}

// cutOff blocks the messages from a machine to all control servers (out), or in the other direction (in).
func (s *soak) cutOff(m *machine, out, in bool) {
	for _, other := range s.controls {
		if out && other != m {
			s.relays.cut(m.address(), other.address())
		}
		if in && other != m {
			s.relays.cut(other.address(), m.address())
		}
	}
}

// killControls kills all control servers at once. In half of the cases, one of them returns with an empty disk.
func (s *soak) killControls(length time.Duration) {
	s.logFault("all control servers are killed for %v", length/2)
	for _, m := range s.controls {
		m.kill()
	}
	if s.random.IntN(2) == 0 {
		s.wipeDisk(s.controls[s.random.IntN(len(s.controls))])
	}
	s.after(length/2, func() {
		for _, m := range s.controls {
			s.restart(m)
		}
	})
}

// killAndWipe kills a control server and wipes its disk.
func (s *soak) killAndWipe(m *machine, length time.Duration) {
	m.kill()
	s.wipeDisk(m)
	s.after(length, func() { s.restart(m) })
}

// wipeDisk wipes a disk, unless the server whose disk was wiped before counts as lost. The mesh tolerates the loss of one machine
// only, and a second disk may not be lost while the first is being replaced (in a joint view).
func (s *soak) wipeDisk(m *machine) {
	if s.lastWiped != nil && s.countsAsLost(s.lastWiped) {
		return
	}
	s.logFault("disk of %s is wiped", m.ip)
	s.lastWiped = m
	if err := m.wipe(); err != nil {
		s.fail("wiping the disk of %s failed: %v", m.ip, err)
	}
}

// countsAsLost reports whether a server whose disk was wiped does not vote yet or has not been back for catchUpTime.
func (s *soak) countsAsLost(m *machine) bool { return m.runsFor() < catchUpTime || !s.votes(m) }

// votes reports whether a control server votes, according to its state.
func (s *soak) votes(m *machine) bool {
	state, err := m.state()
	return err == nil && state.Voting
}

// endFaults ends all faults.
func (s *soak) endFaults() {
	s.logFault("all faults end")
	s.relays.clearFaults()
	for _, m := range s.machines() {
		m.resume()
		s.restart(m)
	}
}

// ---- clients and the operator

// sendOperations sends operations at the rate of the flag -rate until the test has finished.
func (s *soak) sendOperations() {
	interval := time.Second / time.Duration(*rate)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var pending sync.WaitGroup
	for n := 1; !s.finished.Load(); n++ {
		<-tick.C
		recovered := s.recovered.Load()
		proxy := s.proxies[rand.IntN(len(s.proxies))]
		pending.Go(func() { s.sendOperation(n, proxy, recovered) })
	}
	pending.Wait()
}

// keySuffixes end the keys of consecutive operations. Keys that differ in their ends only are different keys.
var keySuffixes = []string{"", "/0", "/1"}

// sendOperation sends an operation as a client with its own key, and retries up to two times at other proxies. One in
// repeatedOneIn is sent once more some seconds later, at any proxy. Each request spells the host name in some way.
func (s *soak) sendOperation(n int, proxy *machine, recovered bool) {
	key, status := fmt.Sprintf("soak-%d%s", n/len(keySuffixes), keySuffixes[n%len(keySuffixes)]), 0
	for attempt := range 3 {
		status = s.try(key, proxy, n*10+attempt)
		if status == 200 || status == 502 { // 502: the result is unknown, and the operation never runs again
			break
		}
		time.Sleep(200 * time.Millisecond)
		proxy = s.proxies[rand.IntN(len(s.proxies))]
	}
	if recovered {
		s.countAfterRecovery(status)
	} else if rand.IntN(repeatedOneIn) == 0 {
		time.Sleep(time.Duration(rand.Float64() * float64(maxRepeatDelay)))
		s.try(key, s.proxies[rand.IntN(len(s.proxies))], n*10+9)
	}
}

// try sends a request of an operation and returns its status, 0 if there is none. All successful responses of an operation have
// to bear the same postmark.
func (s *soak) try(key string, proxy *machine, id int) int {
	host := hostSpellings[rand.IntN(len(hostSpellings))]
	res, _, err := sendRequestFor(host, proxy.ip, "/pay/seat", key, id)
	if err != nil {
		return 0
	}
	if res.StatusCode == http.StatusOK {
		s.recordSuccess(key, res.Header.Get("Beechwing-Postmark"))
	}
	return res.StatusCode
}

// recordSuccess records the postmark of a successful response.
func (s *soak) recordSuccess(key, postmark string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, found := s.succeeded[key]; found && before != postmark {
		s.failures = append(s.failures, fmt.Sprintf("MIXED: %s got postmark %s, before %s", key, postmark, before))
	}
	s.succeeded[key] = postmark
}

// countAfterRecovery counts an operation that was sent after recovery.
func (s *soak) countAfterRecovery(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested++
	if status == http.StatusOK {
		s.served++
	}
}

// sendConfigurations sends configurations as an operator until recovery, each until it is acknowledged or 2 s have passed.
func (s *soak) sendConfigurations() {
	for !s.recovered.Load() {
		s.sendConfiguration(2 * time.Second)
		time.Sleep(400 * time.Millisecond)
	}
}

// sendConfiguration sends the next configuration to one control server after another, and reports whether it was acknowledged.
func (s *soak) sendConfiguration(timeout time.Duration) bool {
	version := s.lastSent.Add(1)
	text, err := configText(int(version))
	if err != nil {
		s.fail("configuration: %v", err)
		return false
	}
	n := int(version)
	err = waitUntil(timeout, func() bool {
		n++
		return put(fmt.Sprintf("http://%s:%d/-/timetable", s.controls[n%len(s.controls)].ip, controlPort), text) == 200
	})
	if err == nil {
		s.acknowledged.Store(max(s.acknowledged.Load(), version))
	}
	return err == nil
}

// checkConfigurationAccepted sends one more configuration after recovery, which has to be acknowledged.
func (s *soak) checkConfigurationAccepted() {
	if !s.sendConfiguration(ackTimeout) {
		s.fail("SHORT: a configuration was not acknowledged within %v after recovery", ackTimeout)
	}
}

// ---- checks at the end

// check checks the runs recorded by the hosts, the configuration that is read back, and the state of the control servers.
func (s *soak) check() {
	runs := map[string]int{}
	for _, h := range s.hosts {
		h.mu.Lock()
		for key, n := range h.runsByKey {
			runs[key] += n
		}
		h.mu.Unlock()
	}
	for key, n := range runs {
		if n > 1 {
			s.fail("TWICE: %s ran %d times", key, n)
		}
	}
	for key := range s.succeeded {
		if runs[key] == 0 {
			s.fail("MIXED: %s succeeded but never ran", key)
		}
	}
	if float64(s.served) < minServedShare*float64(s.requested) {
		s.fail("SHORT: only %d of %d operations served after recovery", s.served, s.requested)
	}
	s.checkReadBack()
	for _, m := range s.controls {
		s.checkServer(m)
	}
}

// checkReadBack reads the configuration from every control server. None may be older than the newest acknowledged one.
func (s *soak) checkReadBack() {
	for _, m := range s.controls {
		var c struct{ Edition string }
		var version int64
		text, err := get(fmt.Sprintf("http://%s:%d/-/timetable", m.ip, controlPort))
		if err == nil {
			err = json.Unmarshal(text, &c)
		}
		if err == nil {
			_, err = fmt.Sscanf(c.Edition, "r%d", &version)
		}
		switch sent, _ := configText(int(version)); {
		case err != nil:
			s.fail("CONFIG: reading the configuration from %s failed: %v", m.ip, err)
		case version < s.acknowledged.Load():
			s.fail("CONFIG: %s returned version %d, but %d was acknowledged", m.ip, version, s.acknowledged.Load())
		case string(text) != sent:
			s.fail("CONFIG: %s returned a different text for version %d", m.ip, version)
		}
	}
}

// serverState is the part of a control server's state that the test needs.
type serverState struct {
	Voting bool
	Counts struct{ Violations map[string]int }
}

// state requests the state of a control server.
func (m *machine) state() (state serverState, err error) {
	text, err := get(fmt.Sprintf("http://%s:%d/-/state", m.ip, controlPort))
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	return state, err
}

// checkServer checks that a control server votes and has found no violated invariant.
func (s *soak) checkServer(m *machine) {
	state, err := m.state()
	switch {
	case err != nil:
		s.fail("state of %s not available: %v", m.ip, err)
	case !state.Voting:
		s.fail("SHORT: %s does not vote %v after the end of all faults", m.ip, recoveryTime+checkTime)
	}
	for name, n := range state.Counts.Violations {
		s.fail("INVARIANT: %s: %s, %d times", m.ip, name, n)
	}
	if m == s.controls[0] && bytes.Contains(s.logs.bytes(), []byte("invariant violated")) {
		s.fail("INVARIANT: the logs report a violation")
	}
}

// get returns the body of a GET request. A status other than 200 is an error.
func get(url string) ([]byte, error) {
	res, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	return text, err
}
