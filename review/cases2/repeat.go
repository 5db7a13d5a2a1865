package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// playRepeat cuts a machine off from the control machines while its host runs keyed requests. The clients, at another machine,
// get their answers, and send the same keys again over a second later.
func playRepeat(rec *record) (bool, error) {
	const (
		work = 580 * time.Millisecond // the longest of seat-choice on the sheet
		cut  = 5500 * time.Millisecond
	)
	w, err := newMesh(rec, withFronts(6, "front", "desk", "desk", "front"))
	if err != nil {
		return false, err
	}
	w.relayed = true
	defer w.stop()
	routes := []route{{"r-desk", "desk.example", "/seat/", "tracked", 1500, 250, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "front", "desk")); err != nil {
		return false, err
	}
	entry, runner, second, other := w.couriers[0], w.couriers[1], w.couriers[2], w.couriers[3]
	try := func(m *machine, key, what string) answer {
		q := &request{method: "POST", host: "desk.example", path: "/seat/choice", key: key, deadlineMs: 1500, id: newID(),
			body: []byte("first, second, third")}
		a := m.try(q)
		rec.add("client at %s: %s, key %s, id %s: status %d, stamp %q, body %q %v", m.name, what, key, q.id, a.status,
			a.header.Get("Beechwing-Postmark"), a.body, a.err)
		return a
	}
	if a := try(entry, "k-warm", "a first request"); a.status != 200 {
		return false, fmt.Errorf("the first request is answered with %d", a.status)
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	for _, m := range []*machine{runner, second} {
		m.host.mu.Lock()
		m.host.work = work
		m.host.mu.Unlock()
	}
	const operations = 16
	keys := make([]string, operations)
	firsts, answeredAt := make([]answer, operations), make([]time.Time, operations)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = fmt.Sprintf("k-%s-%d", newID()[:6], i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			firsts[i] = try(entry, keys[i], "the operation")
			answeredAt[i] = time.Now()
		}()
	}
	time.Sleep(work / 2)
	if trouble {
		w.cut(runner, w.controls, true)
		rec.say("network: %s is cut off from the control machines", runner.name)
		go func() {
			time.Sleep(cut)
			w.cut(runner, w.controls, false)
			rec.say("network: the cut heals")
		}()
	}
	wg.Wait()
	served := 0
	for _, a := range firsts {
		if a.status == 200 {
			served++
		}
	}
	rec.say("%d of %d operations were answered with success", served, len(keys))
	// Each key is sent again at the other machine: 1.2, 2.4 and 3.6 s after its success, and twice after the cut. A client
	// that gets 503 waits as it is told and tries again.
	var mu sync.Mutex
	atWork, wrong := map[string]bool{}, 0
	for _, after := range []time.Duration{1200 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond,
		8 * time.Second, 12 * time.Second} {
		counts := map[int]int{}
		for i, key := range keys {
			if firsts[i].status != 200 {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Until(answeredAt[i].Add(after)))
				a := try(other, key, "the operation again")
				for n := 0; n < 4 && a.status == 503; n++ {
					wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(wait * float64(time.Second)))
					a = try(other, key, "the operation again")
				}
				mu.Lock()
				defer mu.Unlock()
				counts[a.status]++
				if a.status == 409 {
					atWork[key] = true
				}
				if a.status == 200 && (string(a.body) != string(firsts[i].body) ||
					a.header.Get("Beechwing-Postmark") != firsts[i].header.Get("Beechwing-Postmark")) {
					wrong++
				}
			}()
		}
		wg.Wait()
		rec.say("repeats %v after the success: by status %v", after, counts)
	}
	runs := map[string]int{}
	for _, m := range []*machine{runner, second} {
		for _, r := range m.host.runsSince(rec.start) {
			runs[r.key]++
		}
	}
	for _, key := range keys {
		if runs[key] > 1 {
			rec.say("key %s ran %d times", key, runs[key])
		}
	}
	if served < 4 {
		return false, fmt.Errorf("too few operations were served")
	}
	rec.say("%d keys got a 409 over a second after their success, %d repeats another answer", len(atWork), wrong)
	return len(atWork) > 3 || wrong > 0, nil
}
