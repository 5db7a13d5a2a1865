package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// toyHost is a host of the example. It records how often each key ran.
type toyHost struct {
	id, carrier string
	ln          net.Listener
	failing     atomic.Bool  // nine of ten responses are lost after the run
	runs        atomic.Int64 // number of all runs
	stopped     atomic.Bool  // the host sends no more heartbeats

	mu        sync.Mutex
	runsByKey map[string]int
}

// toyHosts are all hosts that were started.
var toyHosts []*toyHost

// stop ends the host.
func (h *toyHost) stop() {
	h.stopped.Store(true)
	h.ln.Close()
}

// recordRun records a run and reports whether its response is to be lost.
func (h *toyHost) recordRun(key string) (lost bool) {
	h.runs.Add(1)
	if key != "" {
		h.mu.Lock()
		if h.runsByKey == nil {
			h.runsByKey = map[string]int{}
		}
		h.runsByKey[key]++
		h.mu.Unlock()
	}
	return h.failing.Load() && rand.IntN(10) > 0
}

// event is an action at a time after the start of the test.
type event struct {
	at   time.Duration
	what string
	do   func() error
}

// testRemoval ejects hosts under traffic (by a vote of the proxies, after the death of a host, and by an operator) and kills a
// proxy. It checks with the hosts' records that each operation ran at most once, that each successful one ran exactly once, and
// that no request reached a host while it was ejected by the operator.
func testRemoval(proxies []*process, seeds []string) error {
	var tillHosts []*toyHost
	for _, s := range toyHosts {
		if s.carrier == "till" {
			tillHosts = append(tillHosts, s)
		}
	}
	if len(tillHosts) < 4 {
		return fmt.Errorf("-removal needs -proxies of 8 or more, for four hosts that run operations")
	}
	failing, dying, ejected := tillHosts[0], tillHosts[1], tillHosts[2]
	var onset time.Time
	var runsAtOnset int64
	orderEjection := func(eject bool) func() error {
		return func() error {
			body, err := json.Marshal(map[string]any{"out": eject, "by": "example", "why": "removal under traffic"})
			if err != nil {
				return err
			}
			if got := put("http://"+seeds[0]+"/-/orders/"+ejected.id, string(body)); got/100 != 2 {
				return fmt.Errorf("ejection order for %s: status %d", ejected.id, got)
			}
			return nil
		}
	}
	var runsAtEjection int64
	events := []event{
		{2 * time.Second, failing.id + " loses nine of ten responses, its health checks succeed", func() error {
			onset, runsAtOnset = time.Now(), failing.runs.Load()
			failing.failing.Store(true)
			return waitUntil(4*time.Second, func() bool { return isEjected(seeds[0], failing.id) })
		}},
		{5 * time.Second, failing.id + " works again", func() error { failing.failing.Store(false); return nil }},
		{8 * time.Second, dying.id + " dies without signing off", func() error { return dying.ln.Close() }},
		{11 * time.Second, ejected.id + " is ejected by the operator", orderEjection(true)},
		{11500 * time.Millisecond, "from now on no request may reach " + ejected.id,
			func() error { runsAtEjection = ejected.runs.Load(); return nil }},
		{12 * time.Second, "a proxy is killed", func() error { return proxies[0].cmd.Process.Signal(syscall.SIGKILL) }},
		{14 * time.Second, ejected.id + " is restored by the operator", func() error {
			if n := ejected.runs.Load() - runsAtEjection; n > 0 {
				return fmt.Errorf("%d operations reached the host while it was ejected", n)
			}
			return orderEjection(false)()
		}},
	}
	const length = 16 * time.Second
	startedAt := time.Now()
	errs := make(chan error, len(events))
	var schedule sync.WaitGroup
	schedule.Go(func() {
		for _, e := range events {
			time.Sleep(time.Until(startedAt.Add(e.at)))
			fmt.Printf("%5.1f s  %s\n", time.Since(startedAt).Seconds(), e.what)
			if err := e.do(); err != nil {
				errs <- fmt.Errorf("%s: %w", e.what, err)
			}
			if e.at == events[0].at {
				fmt.Printf("%5.1f s  ejected by vote after %v, in which the host ran %d operations\n",
					time.Since(startedAt).Seconds(), time.Since(onset).Round(10*time.Millisecond), failing.runs.Load()-runsAtOnset)
			}
		}
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	succeeded, countByStatus := map[string]bool{}, map[int]int{}
	sent, n := 0, 0
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	for time.Since(startedAt) < length {
		<-tick.C
		n++
		number := n
		key := fmt.Sprintf("op-%d", number)
		sent++
		wg.Go(func() {
			status := 0
			for attempt := range 4 { // a client retries with the same key at a random proxy
				res, _, err := sendRequest(proxies[rand.IntN(len(proxies))].ip, "/pay/seat", key, 1000+number*10+attempt)
				if status = 0; err == nil {
					status = res.StatusCode
				}
				if status == 200 || status == 502 { // 502: the result is unknown, and the operation never runs again
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			countByStatus[status]++
			succeeded[key] = status == 200
		})
	}
	wg.Wait()
	schedule.Wait()
	runs := map[string]int{}
	for _, s := range toyHosts {
		s.mu.Lock()
		for key, n := range s.runsByKey {
			runs[key] += n
		}
		s.mu.Unlock()
	}
	ranTwice, notOnce := 0, 0
	for key, ok := range succeeded {
		if runs[key] > 1 {
			ranTwice++
		}
		if ok && runs[key] != 1 {
			notOnce++
		}
	}
	fmt.Printf("%d operations through %d proxies: by status %v (0: no response), ran twice %d, successful but not run exactly once %d\n",
		sent, len(proxies), countByStatus, ranTwice, notOnce)
	select {
	case err := <-errs:
		return err
	default:
	}
	if ranTwice+notOnce > 0 {
		return fmt.Errorf("by the hosts' records, %d operations ran twice and %d successful ones did not run exactly once", ranTwice, notOnce)
	}
	if countByStatus[200] < sent*9/10 {
		return fmt.Errorf("only %d of %d operations succeeded", countByStatus[200], sent)
	}
	return nil
}

// isEjected asks a control server whether a host is ejected by a vote.
func isEjected(server, station string) bool {
	res, err := client.Get("http://" + server + "/-/state")
	if err != nil || res.StatusCode != http.StatusOK {
		return false
	}
	defer res.Body.Close()
	var s struct {
		EjectionLists []struct {
			Ejections []struct {
				Station string `json:"station"`
				LeftMs  int    `json:"left_ms"`
			} `json:"ejections"`
		} `json:"ejectionLists"`
	}
	if json.NewDecoder(res.Body).Decode(&s) != nil {
		return false
	}
	for _, list := range s.EjectionLists {
		for _, ejection := range list.Ejections {
			if ejection.Station == station && ejection.LeftMs > 0 {
				return true
			}
		}
	}
	return false
}
