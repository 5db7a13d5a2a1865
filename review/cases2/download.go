package main

import (
	"fmt"
	"hash/crc32"
)

// playDownload has a host answer a download with a long body in chunks, and compares what the client gets as complete.
func playDownload(rec *record) (bool, error) {
	size := 40 << 20
	if trouble {
		size = 80 << 20
	}
	w, err := newMesh(rec, []string{"desk"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	routes := []route{{"r-desk", "desk.example", "/file/", "download", 30000, 10000, 1, "desk", 2}}
	if err := w.up(configuration(1, routes, "desk")); err != nil {
		return false, err
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i>>16 ^ i*7)
	}
	h := w.couriers[0].host
	h.mu.Lock()
	h.answer = body
	h.mu.Unlock()
	a := w.couriers[0].try(&request{method: "GET", host: "desk.example", path: "/file/statement", deadlineMs: 30000})
	rec.say("status %d, stamp %q, %d bytes of %d, %v", a.status, a.header.Get("Beechwing-Postmark"), len(a.body), size, a.err)
	for _, m := range w.couriers {
		rec.say("%s used %d MB", m.name, m.memory("VmHWM"))
	}
	if a.status != 200 {
		return false, fmt.Errorf("no success: %s", a.body)
	}
	return len(a.body) != size || crc32.ChecksumIEEE(a.body) != crc32.ChecksumIEEE(body), nil
}
