// Package standin implements a small client proxy that speaks the platform's protocol and can be given one deliberate
// defect. Without a defect it behaves correctly in everything that the lab checks. The lab's self-test runs it with each
// defect, to verify that the checks detect what they claim to detect. It shares no code with the program under test.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Defects that a proxy can be given.
const (
	None       = "none"
	Twice      = "twice"       // a request that must run once is sent to two hosts
	TwoAnswers = "two-answers" // the answer is sent twice
	Late       = "late"        // answers are sent 400 ms after their deadline
	Nobody     = "nobody"      // the answer is made up, no host sent it
	AfterDrain = "after-drain" // draining hosts get requests as before
	PushCold   = "push-cold"   // hosts that have just started get all requests
	Lose       = "lose"        // connections are closed in the middle of an answer
	Leak       = "leak"        // file descriptors are never closed
	RefuseRan  = "refuse-ran"  // a request that may have run is answered as refused
	SendAfter  = "send-after"  // requests are sent again after they were answered
	Crash      = "crash"       // the process exits by itself
	Hoard      = "hoard"       // memory use grows without bound
)

// Defects lists all defects except None.
var Defects = []string{Twice, TwoAnswers, Late, Nobody, AfterDrain, PushCold, Lose, Leak, RefuseRan, SendAfter, Crash, Hoard}

// defectPeriod is the period of a defect: most defects affect one request in so many.
const defectPeriod = 7

// server is a host in the list of the platform's discovery.
type server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

// members is an answer of the platform's discovery: the whole list if Full is set, else the changes.
type members struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// config is the part of the PROXY_CONFIG file that the proxy uses.
type config struct {
	Listen    string  `json:"listen"`
	Discovery string  `json:"discovery"`
	Known     members `json:"known"`
	Settings  struct {
		Classes []struct{ Name, Effect string }
		Rules   struct{ ColdS float64 }
	} `json:"settings"`
}

type proxy struct {
	config
	defect       string
	mu           sync.Mutex
	hosts        map[string]server
	version      int
	next         int            // round-robin position
	count        atomic.Int64   // requests received
	ending       atomic.Bool    // SIGTERM received: connections end after the current request
	busy         sync.WaitGroup // requests in progress
	leakedFiles  []*os.File
	leakedMemory [][]byte
}

// Run runs the proxy with a defect: it reads the file that PROXY_CONFIG names and serves until SIGTERM.
func Run(defect string) error {
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	p := &proxy{defect: defect, hosts: map[string]server{}}
	if err := json.Unmarshal(text, &p.config); err != nil {
		return err
	}
	p.updateHosts(p.Known)
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	go p.watch()
	go p.accept(ln)
	if defect == Crash {
		time.AfterFunc(1500*time.Millisecond, func() { os.Exit(3) })
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM)
	<-end
	p.ending.Store(true)
	time.Sleep(400 * time.Millisecond) // accept connections that clients are still opening
	ln.Close()
	p.busy.Wait()
	return nil
}

// updateHosts applies an answer of the discovery to the known hosts.
func (p *proxy) updateHosts(m members) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Full {
		clear(p.hosts)
	}
	for _, s := range m.Servers {
		p.hosts[s.ID] = s
	}
	p.version = m.Version
}

// watch follows the changes of the list until the process exits.
func (p *proxy) watch() {
	for {
		p.mu.Lock()
		url := fmt.Sprintf("http://%s/catalog/members?since=%d&timeout_ms=3000", p.Discovery, p.version)
		p.mu.Unlock()
		var m members
		r, err := http.Get(url)
		if err == nil {
			err = json.NewDecoder(r.Body).Decode(&m)
			r.Body.Close()
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		p.updateHosts(m)
	}
}

func (p *proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/_health" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p.busy.Add(1)
		keepOpen := p.answer(c, r, body)
		p.busy.Done()
		if !keepOpen || p.ending.Load() {
			return
		}
	}
}

// answer serves one request and reports whether the connection stays open.
func (p *proxy) answer(c net.Conn, r *http.Request, body []byte) bool {
	ms, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Remaining"), "m"))
	if err != nil {
		return false
	}
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	defective := p.count.Add(1)%defectPeriod == 0
	hasDefect := func(defect string) bool { return defective && p.defect == defect }
	switch {
	case hasDefect(Lose):
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case hasDefect(Leak):
		if f, err := os.Open(os.DevNull); err == nil {
			p.mu.Lock()
			p.leakedFiles = append(p.leakedFiles, f)
			p.mu.Unlock()
		}
	case hasDefect(Hoard):
		p.mu.Lock()
		p.leakedMemory = append(p.leakedMemory, bytes.Repeat([]byte{1}, 1<<20))
		p.mu.Unlock()
	}
	status, text := p.send(r, body, deadline)
	runsOnce := p.isOnce(r)
	switch {
	case hasDefect(Twice) && runsOnce && status == http.StatusOK:
		p.send(r, body, deadline)
	case hasDefect(Nobody):
		status, text = http.StatusOK, "h000 made-up\n"
	case hasDefect(Late):
		time.Sleep(time.Until(deadline) + 400*time.Millisecond)
	case p.defect == RefuseRan && runsOnce && status != http.StatusOK:
		status = http.StatusServiceUnavailable
	case hasDefect(SendAfter) && !runsOnce:
		defer func() {
			p.busy.Add(1)
			go func() {
				defer p.busy.Done()
				time.Sleep(300 * time.Millisecond)
				p.send(r, body, time.Now().Add(time.Second))
			}()
		}()
	}
	message := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
	if hasDefect(TwoAnswers) {
		message += message
	}
	_, err = io.WriteString(c, message)
	return err == nil
}

// isOnce reports whether the class of a request must not be executed more than once.
func (p *proxy) isOnce(r *http.Request) bool {
	for _, k := range p.Settings.Classes {
		if k.Name == r.Header.Get("X-Lane") {
			return k.Effect == "once"
		}
	}
	return false
}

// pick returns the next host by round robin. Cold hosts are used only if there are no warm ones.
func (p *proxy) pick() (server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var warm, cold []server
	for _, s := range p.hosts {
		draining := s.State == "draining" && p.defect != AfterDrain
		if draining || s.State == "gone" {
			continue
		}
		age := time.Since(time.UnixMilli(s.Started)).Seconds()
		if s.Started != 0 && age < p.Settings.Rules.ColdS {
			cold = append(cold, s)
		} else {
			warm = append(warm, s)
		}
	}
	if len(warm) == 0 || p.defect == PushCold && len(cold) > 0 {
		warm = cold
	}
	if len(warm) == 0 {
		return server{}, false
	}
	p.next++
	return warm[p.next%len(warm)], true
}

// send makes one attempt and returns the status and body of the answer.
func (p *proxy) send(r *http.Request, body []byte, deadline time.Time) (status int, text string) {
	host, ok := p.pick()
	if !ok {
		return http.StatusServiceUnavailable, ""
	}
	c, err := net.DialTimeout("tcp", host.Addr, 250*time.Millisecond)
	if err != nil {
		return http.StatusServiceUnavailable, "" // nothing was sent
	}
	defer c.Close()
	c.SetDeadline(deadline)
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URL.Path, r.Host)
	for _, name := range []string{"X-Txn", "X-Lane", "X-Entity", "X-Remaining"} {
		if v := r.Header.Get(name); v != "" {
			fmt.Fprintf(&out, "%s: %s\r\n", name, v)
		}
	}
	if len(body) > 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := c.Write(out.Bytes()); err != nil {
		return http.StatusInternalServerError, ""
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return http.StatusInternalServerError, ""
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		return http.StatusInternalServerError, ""
	case a.Header.Get("X-Turned-Away") != "":
		return http.StatusServiceUnavailable, ""
	case a.StatusCode != http.StatusOK:
		return http.StatusInternalServerError, ""
	}
	return http.StatusOK, string(b)
}
