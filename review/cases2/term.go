package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playTerm stops the only proxy of a zone by SIGTERM while its clients go on, and looks for requests that were passed on to
// a host and whose connection ended without an answer.
func playTerm(rec *record) (bool, error) {
	const (
		grace    = 6 * time.Second // graceS
		work     = 750 * time.Millisecond
		interval = 80 * time.Millisecond
		deadline = 1500 // ms, of seat-choice on the sheet
	)
	w, err := newMesh(rec, []string{"front", "desk", "desk", "desk", "desk"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	for i, m := range w.couriers {
		m.zone = []string{"cairo-a", "cairo-b", "cairo-c"}[min(2, (i+1)/2)]
		m.host.work = work
	}
	routes := []route{{"r-desk", "desk.example", "/file/", "unsafe", 1500, 1200, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "front", "desk")); err != nil {
		return false, err
	}
	entry := w.couriers[0]
	type sent struct {
		q         *request
		at, ended time.Time
		answer    answer
	}
	var mu sync.Mutex
	var all []*sent
	var wg sync.WaitGroup
	var termAt time.Time
	begin := time.Now()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for time.Since(begin) < 3*time.Second+grace+time.Second {
		<-tick.C
		if trouble && termAt.IsZero() && time.Since(begin) > 3*time.Second {
			termAt = time.Now()
			rec.say("platform: SIGTERM to %s", entry.name)
			entry.signal(syscall.SIGTERM)
			entry.mu.Lock()
			cmd := entry.cmd
			entry.cmd = nil
			entry.mu.Unlock()
			ended := make(chan struct{})
			go func() {
				cmd.Wait()
				rec.say("platform: %s ended %.3f s after the SIGTERM", entry.name, time.Since(termAt).Seconds())
				close(ended)
			}()
			go func() {
				select {
				case <-ended:
				case <-time.After(grace):
					rec.say("platform: SIGKILL to %s", entry.name)
					cmd.Process.Kill()
				}
			}()
		}
		s := &sent{q: &request{method: "POST", host: "desk.example", path: "/file/x", deadlineMs: deadline, id: newID(),
			body: []byte("one seat")}, at: time.Now()}
		mu.Lock()
		all = append(all, s)
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := entry.try(s.q)
			mu.Lock()
			s.ended, s.answer = time.Now(), a
			mu.Unlock()
			rec.add("client: %s sent %.3f: status %d %v", s.q.id, s.at.Sub(rec.start).Seconds(), a.status, a.err)
		}()
	}
	wg.Wait()
	runs := map[string]time.Time{}
	for _, m := range w.couriers {
		for _, r := range m.host.runsSince(begin) {
			runs[r.id] = r.at
		}
	}
	answered, lost, excused, unread := 0, 0, 0, 0
	for _, s := range all {
		ranAt, ran := runs[s.q.id]
		switch {
		case s.answer.status > 0:
			answered++
		case !ran:
			unread++
		case s.ended.Sub(s.at) >= deadline*time.Millisecond:
			excused++ // the deadline was reached
		case s.at.Before(termAt.Add(3*time.Second)) && ranAt.Add(work).After(termAt.Add(grace*5/6)):
			excused++ // the host was still at work in the last sixth of graceS
		default:
			lost++
			rec.say("LOST: %s sent %.3f s after the SIGTERM, begun by a host at %.3f s, connection ended at %.3f s without an answer",
				s.q.id, s.at.Sub(termAt).Seconds(), ranAt.Sub(termAt).Seconds(), s.ended.Sub(termAt).Seconds())
		}
	}
	rec.say("%d requests: %d answered, %d not run and not answered, %d excused, %d lost", len(all), answered, unread, excused, lost)
	if answered < len(all)/4 {
		return false, fmt.Errorf("only %d of %d requests were answered", answered, len(all))
	}
	return lost > 0, nil
}
