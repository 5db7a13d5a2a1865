package main

import (
	"fmt"
	"sync"
	"time"
)

// playDrain has a host sign off while one of its beats is late, kills the proxy beside it after the acknowledgement, and
// looks for requests that reach the host later than drainMs after the acknowledgement.
func playDrain(rec *record) (bool, error) {
	w, err := newMesh(rec, withFronts(10, "front", "desk", "desk", "desk"))
	if err != nil {
		return false, err
	}
	defer w.stop()
	routes := []route{{"r-desk", "desk.example", "/file/", "safe", 1200, 200, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "front", "desk")); err != nil {
		return false, err
	}
	entry, leaver := w.couriers[0], w.couriers[1]
	begin := time.Now()
	ids := map[string]bool{} // of the requests that the clients of entry sent
	served := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				q := &request{method: "GET", host: "desk.example", path: "/file/x", deadlineMs: 1200, id: newID()}
				mu.Lock()
				ids[q.id] = true
				mu.Unlock()
				a := entry.try(q)
				rec.add("client: %s: status %d %v", q.id, a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				if a.status == 200 {
					served++
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second) // all machines are in touch: over contactMs without any trouble
	h := leaver.host
	h.mu.Lock()
	close(h.stopBeat) // it sends no beats after its sign-off
	h.stopBeat = nil
	h.mu.Unlock()
	lateBody, lateSequence, lateCondition := h.beatBody() // this beat is under way for seconds
	lateSince := time.Now()
	h.mu.Lock()
	h.leaving = true // its health answer is 503 from now on
	h.mu.Unlock()
	if status := h.call("DELETE", nil); status/100 != 2 {
		close(done)
		wg.Wait()
		return false, fmt.Errorf("the sign-off is not acknowledged: %d", status)
	}
	ackedAt := time.Now()
	rec.say("host %s: its sign-off is acknowledged by %s", h.id, leaver.name)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		leaver.kill()
		rec.say("platform: %s killed %.3f s after the acknowledgement", leaver.name, time.Since(ackedAt).Seconds())
		time.Sleep(300 * time.Millisecond)
		if err := leaver.start(); err != nil {
			return false, err
		}
		rec.say("platform: %s started again", leaver.name)
	}
	time.Sleep(time.Until(ackedAt.Add(1500 * time.Millisecond)))
	acked := h.sendBeat(lateBody, lateSequence, lateCondition)
	rec.say("host %s: beat %d arrives %.3f s late, acknowledged %v", h.id, lateSequence, time.Since(lateSince).Seconds(), acked)
	time.Sleep(time.Until(ackedAt.Add(6 * time.Second)))
	close(done)
	wg.Wait()
	h.stop()
	rec.say("host %s: ends %.3f s after the acknowledgement", h.id, time.Since(ackedAt).Seconds())
	late, last := 0, time.Duration(0)
	for _, r := range h.runsSince(ackedAt.Add(drainTime)) {
		if ids[r.id] {
			late, last = late+1, r.at.Sub(ackedAt)
		}
	}
	before := len(h.runsSince(begin)) - len(h.runsSince(ackedAt))
	rec.say("%d requests sent, %d served, %d of them by %s before its sign-off; %d reached it over %v after the acknowledgement, the last %.3f s after it",
		len(ids), served, before, h.id, late, drainTime, last.Seconds())
	if before == 0 || served < len(ids)*3/4 {
		return false, fmt.Errorf("the traffic was not served")
	}
	return late > 0, nil
}
