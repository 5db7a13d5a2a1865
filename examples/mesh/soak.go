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

// A soak plays real processes on real sockets under troubles by lot, two or three of which overlap: processes killed, stopped for a
// while and cut off, both ways or one, answers lost, all control processes killed at once, and a disk lost at a time. Hosts, clients
// and an operator judge by what they saw, and the processes by the invariants that they check themselves.

const (
	soakTrouble  = 12 * time.Second
	soakCalm     = 7 * time.Second // from the end of all troubles until everything has to work: catchUpS and one more
	soakJudged   = 4 * time.Second // in which it is looked whether it does
	soakAck      = 4 * time.Second // until an order is acknowledged in calm times
	soakServed   = 0.95            // of the operations that are asked for in calm times
	troubleLeast = 300 * time.Millisecond
	troubleMore  = 900 * time.Millisecond
	lasts        = 2500 * time.Millisecond // the longest trouble
)

// soak is one seed's run.
type soak struct {
	*fleet
	random *rand.Rand
	began  time.Time
	logs   *safeBuffer

	mu        sync.Mutex
	broken    []string
	succeeded map[string]bool // keys
	asked     int             // in calm times
	served    int
	newest    atomic.Int64 // version that was acknowledged
	sent      atomic.Int64 // that was sent
	wiped     *machine     // that lost its disk last
	calm      atomic.Bool
	over      atomic.Bool
	clients   sync.WaitGroup
	troubles  sync.WaitGroup
}

// safeBuffer keeps what several processes log.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.text.Bytes())
}

// soakAll plays seeds one after the other, from the one that -seed names, and keeps the logs of those that fail.
func soakAll(seeds int) error {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(seeds); seed++ {
		s, err := soakOnce(seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		verdict := "ok"
		if len(s.broken) > 0 {
			failed++
			verdict = fmt.Sprintf("FAILED: %q", s.broken)
			path := fmt.Sprintf("%s/soak-%d.log", os.TempDir(), seed)
			if err := os.WriteFile(path, s.logs.bytes(), 0o644); err == nil {
				verdict += ", logs in " + path
			}
		}
		fmt.Printf("seed %d: %d operations served in all, %d of %d in calm, version %d acknowledged: %s\n", seed, len(s.succeeded),
			s.served, s.asked, s.newest.Load(), verdict)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

// soakOnce plays one seed.
func soakOnce(seed uint64) (*soak, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &soak{random: rand.New(rand.NewPCG(seed, 3)), logs: &safeBuffer{}, succeeded: map[string]bool{}}
	if s.fleet, err = startFleet(dir, s.logs, *controls, *proxies, *share); err != nil {
		s.fleet.stop()
		return nil, err
	}
	defer s.stop()
	s.began = time.Now()
	s.newest.Store(1)
	s.sent.Store(1)
	s.clients.Go(s.operate)
	s.clients.Go(s.order)
	s.trouble()
	s.heal()
	time.Sleep(soakCalm)
	s.calm.Store(true)
	s.orderInCalm()
	time.Sleep(soakJudged)
	s.over.Store(true)
	s.clients.Wait()
	s.judge()
	return s, nil
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// say notes a trouble among the logs.
func (s *soak) say(format string, args ...any) {
	fmt.Fprintf(s.logs, "%6.2f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// ---- troubles

func (s *soak) trouble() {
	for time.Since(s.began) < soakTrouble {
		length := time.Duration(s.random.Float64() * float64(lasts))
		m := s.controls[s.random.IntN(len(s.controls))]
		if s.random.IntN(3) == 0 {
			m = s.proxies[s.random.IntN(len(s.proxies))]
		}
		s.befall(s.random.IntN(9), m, length)
		time.Sleep(troubleLeast + time.Duration(s.random.Float64()*float64(troubleMore)))
	}
	s.troubles.Wait()
}

// befall begins a trouble, which ends by itself.
func (s *soak) befall(kind int, m *machine, length time.Duration) {
	other := s.controls[s.random.IntN(len(s.controls))]
	switch kind {
	case 0, 1:
		s.say("%s is killed for %v", m.ip, length)
		m.kill()
		s.later(length, func() { s.restart(m) })
	case 2, 3:
		s.say("%s is stopped for %v", m.ip, length)
		m.pause()
		s.later(length, m.resume)
	case 4:
		s.say("%s is cut off", m.ip)
		s.cutOff(m, true, true)
		s.later(length, s.relays.join)
	case 5:
		out := s.random.IntN(2) == 0
		s.say("%s is cut off one way, out: %v", m.ip, out)
		s.cutOff(m, out, !out)
		s.later(length, s.relays.join)
	case 6:
		s.say("answers of %s to %s are lost", other.ip, m.ip)
		s.relays.lose(other.known(), m.known())
	case 7:
		s.killControls(length)
	case 8:
		s.loseDisk(other, length)
	}
}

// later does something when a trouble has lasted for its time.
func (s *soak) later(length time.Duration, do func()) {
	s.troubles.Go(func() {
		time.Sleep(length)
		do()
	})
}

func (s *soak) restart(m *machine) {
	if err := m.start(false); err != nil {
		s.fail("%s does not start: %v", m.ip, err)
	}
}

// cutOff cuts a machine off from all control processes.
func (s *soak) cutOff(m *machine, out, in bool) {
	for _, other := range s.controls {
		if out && other != m {
			s.relays.cut(m.known(), other.known())
		}
		if in && other != m {
			s.relays.cut(other.known(), m.known())
		}
	}
}

// killControls kills all control processes at once. Often one of them is back with an empty disk.
func (s *soak) killControls(length time.Duration) {
	s.say("all control processes are killed for %v", length/2)
	for _, m := range s.controls {
		m.kill()
	}
	if s.random.IntN(2) == 0 {
		s.takeDisk(s.controls[s.random.IntN(len(s.controls))])
	}
	s.later(length/2, func() {
		for _, m := range s.controls {
			s.restart(m)
		}
	})
}

// loseDisk kills a control process and takes its disk.
func (s *soak) loseDisk(m *machine, length time.Duration) {
	m.kill()
	s.takeDisk(m)
	s.later(length, func() { s.restart(m) })
}

// takeDisk empties a disk, unless one that was lost before is not made up for yet: so long its loss counts, and the site bears one.
func (s *soak) takeDisk(m *machine) {
	if s.wiped != nil && !s.votes(s.wiped) {
		return
	}
	s.say("%s loses its disk", m.ip)
	s.wiped = m
	if err := m.wipe(); err != nil {
		s.fail("disk of %s: %v", m.ip, err)
	}
}

// votes says whether a control process tells that it votes.
func (s *soak) votes(m *machine) bool {
	state, err := m.state()
	return err == nil && state.Voting
}

// heal ends all troubles.
func (s *soak) heal() {
	s.say("all troubles end")
	s.relays.join()
	for _, m := range s.machines() {
		m.resume()
		s.restart(m)
	}
}

// ---- clients and the operator

// operate has clients send operations, each again with its key until it has an end.
func (s *soak) operate() {
	each := time.Second / time.Duration(*rate)
	tick := time.NewTicker(each)
	defer tick.Stop()
	var under sync.WaitGroup
	for n := 1; !s.over.Load(); n++ {
		<-tick.C
		calm := s.calm.Load()
		at := s.proxies[rand.IntN(len(s.proxies))]
		under.Go(func() { s.operation(n, at, calm) })
	}
	under.Wait()
}

// operation is one client with one key.
func (s *soak) operation(n int, at *machine, calm bool) {
	key, status := fmt.Sprintf("soak-%d", n), 0
	for try := range 3 {
		res, _, err := ask(at.ip, "/pay/seat", key, n*10+try)
		if status = 0; err == nil {
			status = res.StatusCode
		}
		if status == 200 || status == 502 { // of the latter nobody knows, and it never runs again
			break
		}
		time.Sleep(200 * time.Millisecond)
		at = s.proxies[rand.IntN(len(s.proxies))]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == 200 {
		s.succeeded[key] = true
	}
	if calm {
		s.asked++
		if status == 200 {
			s.served++
		}
	}
}

// order has an operator send configurations until the troubles are over, each until it is acknowledged or a while is over.
func (s *soak) order() {
	for !s.calm.Load() {
		s.configure(2 * time.Second)
		time.Sleep(400 * time.Millisecond)
	}
}

// configure sends the next configuration to one control process after another, and says whether it was acknowledged.
func (s *soak) configure(within time.Duration) bool {
	version := s.sent.Add(1)
	text, err := configText(int(version))
	if err != nil {
		s.fail("configuration: %v", err)
		return false
	}
	n := int(version)
	err = until(within, func() bool {
		n++
		return put(fmt.Sprintf("http://%s:%d/-/timetable", s.controls[n%len(s.controls)].ip, control), text) == 200
	})
	if err == nil {
		s.newest.Store(max(s.newest.Load(), version))
	}
	return err == nil
}

// orderInCalm sends one more configuration, which has to be acknowledged.
func (s *soak) orderInCalm() {
	if !s.configure(soakAck) {
		s.fail("SHORT: an order in calm times has no acknowledgement within %v", soakAck)
	}
}

// ---- the end

// judge looks at what the hosts ran, what is read back, and what the processes say of themselves.
func (s *soak) judge() {
	runs := map[string]int{}
	for _, h := range s.hosts {
		h.mu.Lock()
		for key, n := range h.keys {
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
			s.fail("MIXED: %s was answered with success and never ran", key)
		}
	}
	if float64(s.served) < soakServed*float64(s.asked) {
		s.fail("SHORT: %d of %d operations served in calm times", s.served, s.asked)
	}
	s.readBack()
	for _, m := range s.controls {
		s.judgeServer(m)
	}
}

// readBack reads the configuration from every control process: none may be older than what was acknowledged.
func (s *soak) readBack() {
	for _, m := range s.controls {
		var c struct{ Edition string }
		var version int64
		text, err := get(fmt.Sprintf("http://%s:%d/-/timetable", m.ip, control))
		if err == nil {
			err = json.Unmarshal(text, &c)
		}
		if err == nil {
			_, err = fmt.Sscanf(c.Edition, "r%d", &version)
		}
		switch sent, _ := configText(int(version)); {
		case err != nil:
			s.fail("CONFIG: no configuration is read back from %s: %v", m.ip, err)
		case version < s.newest.Load():
			s.fail("CONFIG: %s reads back version %d, %d was acknowledged", m.ip, version, s.newest.Load())
		case string(text) != sent:
			s.fail("CONFIG: %s reads back another text under version %d", m.ip, version)
		}
	}
}

// serverState is what the soak wants to know of a control process's state.
type serverState struct {
	Voting bool
	Counts struct{ Violations map[string]int }
}

// state asks a control process for its state.
func (m *machine) state() (state serverState, err error) {
	text, err := get(fmt.Sprintf("http://%s:%d/-/state", m.ip, control))
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	return state, err
}

// judgeServer looks at a control process's state: it votes, and no invariant was violated.
func (s *soak) judgeServer(m *machine) {
	state, err := m.state()
	switch {
	case err != nil:
		s.fail("%s does not tell its state: %v", m.ip, err)
	case !state.Voting:
		s.fail("SHORT: %s does not vote %v after all troubles", m.ip, soakCalm+soakJudged)
	}
	for name, n := range state.Counts.Violations {
		s.fail("INVARIANT: %s: %s, %d times", m.ip, name, n)
	}
	if m == s.controls[0] && bytes.Contains(s.logs.bytes(), []byte("invariant violated")) {
		s.fail("INVARIANT: the logs tell of a violation")
	}
}

// get asks for a page.
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
