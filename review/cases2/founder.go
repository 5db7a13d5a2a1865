package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playFounder loses one control machine for good while the system starts for the first time. An empty machine takes its place.
// Clients begin 8 s after the machines, as on the sheet.
func playFounder(rec *record) (bool, error) {
	const (
		lostAfter = 400 * time.Millisecond
		newAfter  = time.Second // x of replace_core
		lead      = 8 * time.Second
		traffic   = 30 * time.Second
	)
	w, err := newMesh(rec, []string{"front", "desk", "desk"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	config := configuration(1, []route{{"r-desk", "desk.example", "/file/", "safe", 1200, 200, 1, "desk", 2}}, "front", "desk")
	begin := time.Now()
	for _, m := range w.machines() {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	for _, m := range w.couriers {
		if err := m.host.start(); err != nil {
			return false, err
		}
	}
	rec.say("platform: all machines started within %.3f s", time.Since(begin).Seconds())
	if trouble {
		time.Sleep(time.Until(begin.Add(lostAfter)))
		w.controls[0].kill()
		rec.say("platform: %s is gone for good %.3f s after the start", w.controls[0].name, time.Since(begin).Seconds())
		time.Sleep(newAfter)
		fresh := &machine{mesh: w, name: "hub-4", role: "control", zone: w.controls[0].zone, ip: fmt.Sprintf("%s.14", w.net)}
		w.controls = append(w.controls[1:], fresh)
		if err := fresh.start(); err != nil {
			return false, err
		}
		rec.say("platform: %s, empty, is started in its place at another address", fresh.name)
	}
	// The operator sends the first configuration again and again until it is taken.
	taken := make(chan time.Duration, 1)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			m := w.controls[i%len(w.controls)]
			q, _ := http.NewRequest("PUT", "http://"+m.at(portControl)+"/-/timetable", strings.NewReader(config))
			q.Header.Set("Content-Type", "application/json")
			res, err := c.Do(q)
			if err != nil {
				rec.add("operator: configuration to %s: %v", m.name, err)
				continue
			}
			res.Body.Close()
			rec.add("operator: configuration to %s: %d", m.name, res.StatusCode)
			if res.StatusCode == http.StatusOK {
				taken <- time.Since(begin)
				return
			}
		}
	}()
	time.Sleep(time.Until(begin.Add(lead)))
	sent, served := 0, 0
	for time.Since(begin) < lead+traffic {
		q := &request{method: "GET", host: "desk.example", path: "/file/x", deadlineMs: 1200, id: newID()}
		a := w.couriers[0].try(q)
		rec.add("client: %s: status %d %v", q.id, a.status, a.err)
		sent++
		if a.status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	select {
	case after := <-taken:
		rec.say("operator: the configuration was acknowledged %.3f s after the start", after.Seconds())
	default:
		rec.say("operator: the configuration was not acknowledged in %.0f s", time.Since(begin).Seconds())
	}
	rec.say("%d requests sent, %d served", sent, served)
	return served == 0, nil
}
