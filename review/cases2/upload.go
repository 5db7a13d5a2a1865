package main

import (
	"fmt"
	"sync"
	"time"
)

// playUpload has clients send long bodies, no longer than the configuration allows, at two machines. The platform kills a process
// that uses more memory than its machine allows, and starts it again.
func playUpload(rec *record) (bool, error) {
	const clients, rounds = 8, 3
	size := 256 << 10
	if trouble {
		size = 32 << 20
	}
	w, err := newMesh(rec, []string{"front", "front", "desk", "desk", "desk", "desk"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	routes := []route{{"r-desk", "desk.example", "/file/", "unsafe", 10000, 5000, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "front", "desk")); err != nil {
		return false, err
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i>>12 ^ i*7)
	}
	ended := map[*machine]int{} // by machine: how often it was killed for its memory
	done := make(chan struct{})
	var mu sync.Mutex
	var platform sync.WaitGroup
	for _, m := range w.couriers {
		platform.Add(1)
		go func() {
			defer platform.Done()
			most := 0
			for {
				select {
				case <-done:
					rec.say("%s used %d MB at most", m.name, most)
					return
				case <-time.After(2 * time.Millisecond):
				}
				used := m.memory("VmRSS")
				most = max(most, used)
				if used <= memoryMB {
					continue
				}
				m.kill()
				rec.say("platform: %s uses %d MB of %d and is killed", m.name, used, memoryMB)
				mu.Lock()
				ended[m]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				if err := m.start(); err != nil {
					rec.say("platform: %s: %v", m.name, err)
				}
			}
		}()
	}
	answered, unanswered := 0, 0
	for range rounds {
		var wg sync.WaitGroup
		for _, m := range w.couriers[:2] {
			for range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					q := &request{method: "POST", host: "desk.example", path: "/file/x", deadlineMs: 8000, id: newID(), body: body}
					a := m.try(q)
					rec.add("client at %s: %s of %d bytes: status %d %v", m.name, q.id, size, a.status, a.err)
					mu.Lock()
					defer mu.Unlock()
					if a.status > 0 {
						answered++
					} else {
						unanswered++
					}
				}()
			}
		}
		wg.Wait()
		for deadline := time.Now().Add(10 * time.Second); !w.couriers[0].isReady() || !w.couriers[1].isReady(); {
			if time.Now().After(deadline) {
				close(done)
				platform.Wait()
				return false, fmt.Errorf("a machine is not ready again")
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	}
	close(done)
	platform.Wait()
	total := 0
	for _, n := range ended {
		total += n
	}
	rec.say("%d requests answered, %d ended without an answer; %d ends of processes on %d machines", answered, unanswered, total, len(ended))
	return total >= 3 && len(ended) >= 2, nil
}
