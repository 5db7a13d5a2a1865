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

// server is a toy host with its record: how often each key ran here.
type server struct {
	id, carrier string
	ln          net.Listener
	grey        atomic.Bool // most of its answers are lost after the run
	total       atomic.Int64
	stopped     atomic.Bool // it sends no more beats

	mu   sync.Mutex
	keys map[string]int
}

var servers []*server

// stop ends a host.
func (s *server) stop() {
	s.stopped.Store(true)
	s.ln.Close()
}

// ran notes a run, and says whether its answer is to be lost.
func (s *server) ran(key string) (lost bool) {
	s.total.Add(1)
	if key != "" {
		s.mu.Lock()
		if s.keys == nil {
			s.keys = map[string]int{}
		}
		s.keys[key]++
		s.mu.Unlock()
	}
	return s.grey.Load() && rand.IntN(10) > 0
}

// event is something that happens to the mesh at a time.
type event struct {
	at   time.Duration
	what string
	do   func() error
}

// prove removes hosts under live traffic, by agreement, by death and by hand, and kills a proxy; the hosts' records judge: each operation
// at most once, each that was answered with success exactly once, nothing at a host that is out.
func prove(proxies []*process, seeds []string) error {
	var tills []*server
	for _, s := range servers {
		if s.carrier == "till" {
			tills = append(tills, s)
		}
	}
	if len(tills) < 4 {
		return fmt.Errorf("-removal needs 8 -proxies or more: four hosts that take operations")
	}
	grey, dies, hand := tills[0], tills[1], tills[2]
	var onset time.Time
	var before int64
	order := func(out bool) func() error {
		return func() error {
			body, err := json.Marshal(map[string]any{"out": out, "by": "example", "why": "removal under traffic"})
			if err != nil {
				return err
			}
			if got := put("http://"+seeds[0]+"/-/orders/"+hand.id, string(body)); got/100 != 2 {
				return fmt.Errorf("the order on %s: %d", hand.id, got)
			}
			return nil
		}
	}
	var atHand int64
	events := []event{
		{2 * time.Second, grey.id + " loses nine answers of ten, its health is good", func() error {
			onset, before = time.Now(), grey.total.Load()
			grey.grey.Store(true)
			return until(4*time.Second, func() bool { return out(seeds[0], grey.id) })
		}},
		{5 * time.Second, grey.id + " is well again", func() error { grey.grey.Store(false); return nil }},
		{8 * time.Second, dies.id + " dies without a word", func() error { return dies.ln.Close() }},
		{11 * time.Second, hand.id + " is taken out by hand", order(true)},
		{11500 * time.Millisecond, "from here nothing may reach " + hand.id, func() error { atHand = hand.total.Load(); return nil }},
		{12 * time.Second, "a proxy is killed", func() error { return proxies[0].cmd.Process.Signal(syscall.SIGKILL) }},
		{14 * time.Second, hand.id + " is called back", func() error {
			if n := hand.total.Load() - atHand; n > 0 {
				return fmt.Errorf("%d operations reached it while it was out", n)
			}
			return order(false)()
		}},
	}
	const length = 16 * time.Second
	began := time.Now()
	failed := make(chan error, len(events))
	var plan sync.WaitGroup
	plan.Go(func() {
		for _, e := range events {
			time.Sleep(time.Until(began.Add(e.at)))
			fmt.Printf("%5.1f s  %s\n", time.Since(began).Seconds(), e.what)
			if err := e.do(); err != nil {
				failed <- fmt.Errorf("%s: %w", e.what, err)
			}
			if e.at == events[0].at {
				fmt.Printf("%5.1f s  agreed %v after that; it ran %d operations meanwhile\n", time.Since(began).Seconds(),
					time.Since(onset).Round(10*time.Millisecond), grey.total.Load()-before)
			}
		}
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	succeeded, ended := map[string]bool{}, map[int]int{}
	asked, n := 0, 0
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	for time.Since(began) < length {
		<-tick.C
		n++
		number := n
		key := fmt.Sprintf("op-%d", number)
		asked++
		wg.Go(func() {
			status := 0
			for try := range 4 { // a client asks again, with the same key, at any proxy
				res, _, err := ask(proxies[rand.IntN(len(proxies))].ip, "/pay/seat", key, 1000+number*10+try)
				if status = 0; err == nil {
					status = res.StatusCode
				}
				if status == 200 || status == 502 { // of the latter nobody knows, and it never runs again
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			ended[status]++
			succeeded[key] = status == 200
		})
	}
	wg.Wait()
	plan.Wait()
	runs := map[string]int{}
	for _, s := range servers {
		s.mu.Lock()
		for key, n := range s.keys {
			runs[key] += n
		}
		s.mu.Unlock()
	}
	twice, never := 0, 0
	for key, ok := range succeeded {
		if runs[key] > 1 {
			twice++
		}
		if ok && runs[key] != 1 {
			never++
		}
	}
	fmt.Printf("%d operations by %d proxies: ended %v (0: no answer), ran twice %d, answered with success and not run once %d\n", asked, len(proxies),
		ended, twice, never)
	select {
	case err := <-failed:
		return err
	default:
	}
	if twice+never > 0 {
		return fmt.Errorf("the records say: %d twice, %d not once", twice, never)
	}
	if ended[200] < asked*9/10 {
		return fmt.Errorf("only %d of %d operations succeeded", ended[200], asked)
	}
	return nil
}

// out asks a control process whether a host is out by agreement.
func out(server, station string) bool {
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
	for _, b := range s.EjectionLists {
		for _, r := range b.Ejections {
			if r.Station == station && r.LeftMs > 0 {
				return true
			}
		}
	}
	return false
}
