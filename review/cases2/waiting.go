package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// playWaiting kills a proxy beside which keyed requests wait for their host. The clients, at another machine, try again with the
// same keys.
func playWaiting(rec *record) (bool, error) {
	const work = 500 * time.Millisecond
	w, err := newMesh(rec, withFronts(10, "front", "desk", "desk"))
	if err != nil {
		return false, err
	}
	defer w.stop()
	routes := []route{{"r-desk", "desk.example", "/seat/", "tracked", 1500, 1500, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "front", "desk")); err != nil {
		return false, err
	}
	entry, killed, second := w.couriers[0], w.couriers[1], w.couriers[2]
	for _, m := range []*machine{killed, second} {
		m.host.mu.Lock()
		m.host.work = work
		m.host.mu.Unlock()
	}
	type operation struct {
		key      string
		statuses []int
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	requests := 0
	// A client tries again inside its deadline after any failure, and waits as it is told.
	run := func(o *operation, deadline time.Duration) {
		defer wg.Done()
		end := time.Now().Add(deadline)
		for n := 0; n < 4 && time.Now().Before(end); n++ {
			q := &request{method: "POST", host: "desk.example", path: "/seat/choice", key: o.key, id: newID(),
				deadlineMs: int(time.Until(end).Milliseconds()) + 1, body: []byte("first, second, third")}
			a := entry.try(q)
			rec.add("client: key %s, id %s: status %d, body %q %v", o.key, q.id, a.status, a.body, a.err)
			mu.Lock()
			requests++
			o.statuses = append(o.statuses, a.status)
			mu.Unlock()
			if a.status == 200 {
				return
			}
			wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(wait * float64(time.Second)))
		}
	}
	for range 30 { // the machines learn how long a run takes
		wg.Add(1)
		go run(&operation{key: "k-warm-" + newID()}, 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(3500 * time.Millisecond) // all machines are in touch
	const operations = 30
	all := make([]*operation, operations)
	begin := time.Now()
	for i := range all {
		all[i] = &operation{key: fmt.Sprintf("k-%s-%d", newID()[:6], i)}
		wg.Add(1)
		go run(all[i], 1500*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(250 * time.Millisecond)))
	if trouble {
		killed.kill()
		rec.say("platform: %s killed", killed.name)
		time.Sleep(300 * time.Millisecond)
		if err := killed.start(); err != nil {
			return false, err
		}
		rec.say("platform: %s started again", killed.name)
	}
	wg.Wait()
	begun := map[string]bool{}
	for _, m := range w.couriers {
		for _, r := range m.host.runsSince(begin) {
			begun[r.key] = true
		}
	}
	denied, stuck := 0, 0
	for _, o := range all {
		n409 := 0
		for _, s := range o.statuses {
			if s == 409 {
				n409++
			}
		}
		if !begun[o.key] && n409 > 0 {
			denied += n409
			stuck++
			rec.say("key %s: no host has begun it, its tries were answered %v", o.key, o.statuses)
		}
	}
	// Not judged: what becomes of these operations.
	for _, after := range []time.Duration{8 * time.Second, 20 * time.Second} {
		time.Sleep(time.Until(begin.Add(after)))
		later := map[int]int{}
		for _, o := range all {
			if !begun[o.key] && slices.Contains(o.statuses, 409) {
				a := entry.try(&request{method: "POST", host: "desk.example", path: "/seat/choice", key: o.key, deadlineMs: 1500,
					body: []byte("first, second, third")})
				later[a.status]++
			}
		}
		if stuck > 0 {
			rec.say("sent again after %v: by status %v", after, later)
		}
	}
	rec.say("%d requests; %d tries of %d keys that no host has begun were answered 409; the limit is 5 + one in 500", requests, denied, stuck)
	return float64(denied) > 5+float64(requests)/500, nil
}
