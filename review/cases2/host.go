package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func readAnswer(br *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, header: res.Header, body: body}
}

// run is a request that a host has begun.
type run struct {
	at       time.Time
	host     string
	id, key  string
	method   string
	path     string
	bodySum  uint32
	bodySize int
}

// host is a stand-in for an application host. It follows the operators' page: it answers with its stamp and the id, turns
// away what is addressed to another host, and sends beats to the proxy beside it.
type host struct {
	machine *machine
	id      string

	mu       sync.Mutex
	server   *http.Server
	ln       net.Listener
	runs     []run
	slots    chan struct{}
	work     time.Duration
	sequence uint64
	leaving  bool
	stopBeat chan struct{}
	answer   []byte // of every run, in chunks; nil: a short text
}

const berths = 6

func newHost(m *machine) *host { return &host{machine: m, work: 15 * time.Millisecond} }

// start starts a new life of the host.
func (h *host) start() error {
	ln, err := net.Listen("tcp", h.machine.at(portApp))
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.id = "i-" + newID()[:8]
	h.ln, h.slots, h.sequence, h.leaving, h.stopBeat = ln, make(chan struct{}, berths), 0, false, make(chan struct{})
	h.server = &http.Server{Handler: h, IdleTimeout: 10 * time.Second}
	server, stop := h.server, h.stopBeat
	h.mu.Unlock()
	go server.Serve(ln)
	go h.beats(stop)
	return nil
}

// stop ends the host.
func (h *host) stop() {
	h.mu.Lock()
	server, stop := h.server, h.stopBeat
	h.server, h.stopBeat = nil, nil
	h.mu.Unlock()
	if stop != nil {
		close(stop)
	}
	if server != nil {
		server.Close()
	}
}

func (h *host) beats(stop chan struct{}) {
	for {
		h.beat()
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// beatBody makes the next beat.
func (h *host) beatBody() (body []byte, sequence uint64, condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	condition = "at_dock"
	if h.leaving {
		condition = "unloading"
	}
	body, _ = json.Marshal(map[string]any{"carrier": h.machine.service, "address": h.machine.at(portApp), "zone": h.machine.zone,
		"edition": "v1", "berths": berths, "condition": condition, "coldLeftMs": 0, "sequence": h.sequence})
	return body, h.sequence, condition
}

// beat sends the next beat and reports whether it was acknowledged.
func (h *host) beat() bool {
	body, sequence, condition := h.beatBody()
	return h.sendBeat(body, sequence, condition)
}

func (h *host) sendBeat(body []byte, sequence uint64, condition string) bool {
	status := h.call("PUT", body)
	h.machine.mesh.rec.add("host %s: beat %d %s: %d", h.id, sequence, condition, status)
	return status/100 == 2
}

// call makes a call about this host to the proxy beside it.
func (h *host) call(method string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+h.machine.at(portControl)+"/-/stations/"+h.id, bytes.NewReader(body))
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	leaving, slots, work, long := h.leaving, h.slots, h.work, h.answer
	h.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Beechwing-Station", h.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Beechwing-Consignment-Id")
	w.Header().Set("Beechwing-Consignment-Id", id)
	if to := r.Header.Get("Beechwing-Addressee"); to != "" && to != h.id {
		w.Header().Set("Beechwing-Undelivered", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	started := run{at: time.Now(), host: h.id, id: id, key: r.Header.Get("Beechwing-Once-Key"), method: r.Method,
		path: r.RequestURI, bodySum: crc32.ChecksumIEEE(body), bodySize: len(body)}
	h.mu.Lock()
	h.runs = append(h.runs, started)
	n := len(h.runs)
	h.mu.Unlock()
	h.machine.mesh.rec.add("host %s: runs %s %s id %s key %q body %d", h.id, r.Method, r.RequestURI, id, started.key, len(body))
	time.Sleep(work)
	w.Header().Set("Beechwing-Postmark", fmt.Sprintf("%s.%d.%s", h.id, n, id))
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if long != nil {
		for at := 0; at < len(long); at += 1 << 20 {
			if _, err := w.Write(long[at:min(at+1<<20, len(long))]); err != nil {
				h.machine.mesh.rec.add("host %s: its answer breaks off after %d bytes", h.id, at)
				return
			}
		}
		h.machine.mesh.rec.add("host %s: its answer of %d bytes is written", h.id, len(long))
		return
	}
	answer := "answer of " + h.id + " to " + id + " " + strings.Repeat(".", 100)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if r.Method != http.MethodHead {
		io.WriteString(w, answer)
	}
}

// runsSince returns the runs that began at or after a time.
func (h *host) runsSince(t time.Time) (out []run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if !r.at.Before(t) {
			out = append(out, r)
		}
	}
	return out
}
