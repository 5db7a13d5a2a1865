// Package standin is a small client proxy by the platform's protocol, right in all that the judge of the lab looks at, that
// can be given one defect. It is there to find out whether the judge sees what it claims to see. It shares no code with the
// program that the lab is for.
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

// The defects.
const (
	None       = "none"
	Twice      = "twice"       // an unsafe request goes to two hosts
	TwoAnswers = "two-answers" // an answer is followed by another
	Late       = "late"        // answers come long after their time
	Nobody     = "nobody"      // answers are made up
	AfterDrain = "after-drain" // a host that drains gets requests as before
	PushCold   = "push-cold"   // a host that has just started gets everything
	Lose       = "lose"        // connections are closed in the middle of an answer
	Leak       = "leak"        // descriptors are never given back
	RefuseRan  = "refuse-ran"  // what may have run is refused
	SendAfter  = "send-after"  // requests are sent again after their answer
	Crash      = "crash"       // the process ends by itself
	Hoard      = "hoard"       // memory grows without an end
)

// Defects are all of them.
var Defects = []string{Twice, TwoAnswers, Late, Nobody, AfterDrain, PushCold, Lose, Leak, RefuseRan, SendAfter, Crash, Hoard}

// every is how many requests pass between two on which a defect shows.
const every = 7

type server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

type members struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

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
	defect  string
	mu      sync.Mutex
	hosts   map[string]server
	version int
	next    int
	count   atomic.Int64
	ending  atomic.Bool
	busy    sync.WaitGroup
	leaked  []*os.File
	hoarded [][]byte
}

// Run is the whole program: it reads PROXY_CONFIG and serves until SIGTERM.
func Run(defect string) error {
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	p := &proxy{defect: defect, hosts: map[string]server{}}
	if err := json.Unmarshal(text, &p.config); err != nil {
		return err
	}
	p.learn(p.Known)
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
	time.Sleep(400 * time.Millisecond) // for connections that still come
	ln.Close()
	p.busy.Wait()
	return nil
}

func (p *proxy) learn(m members) {
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

// watch follows the list for ever.
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
		p.learn(m)
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
		goesOn := p.answer(c, r, body)
		p.busy.Done()
		if !goesOn || p.ending.Load() {
			return
		}
	}
}

func (p *proxy) answer(c net.Conn, r *http.Request, body []byte) bool {
	ms, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Remaining"), "m"))
	if err != nil {
		return false
	}
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	defective := p.count.Add(1)%every == 0
	is := func(defect string) bool { return defective && p.defect == defect }
	switch {
	case is(Lose):
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case is(Leak):
		if f, err := os.Open(os.DevNull); err == nil {
			p.mu.Lock()
			p.leaked = append(p.leaked, f)
			p.mu.Unlock()
		}
	case is(Hoard):
		p.mu.Lock()
		p.hoarded = append(p.hoarded, bytes.Repeat([]byte{1}, 1<<20))
		p.mu.Unlock()
	}
	status, text := p.send(r, body, deadline)
	once := p.once(r)
	switch {
	case is(Twice) && once && status == http.StatusOK:
		p.send(r, body, deadline)
	case is(Nobody):
		status, text = http.StatusOK, "h000 made-up\n"
	case is(Late):
		time.Sleep(time.Until(deadline) + 400*time.Millisecond)
	case p.defect == RefuseRan && once && status != http.StatusOK:
		status = http.StatusServiceUnavailable
	case is(SendAfter) && !once:
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
	if is(TwoAnswers) {
		message += message
	}
	_, err = io.WriteString(c, message)
	return err == nil
}

func (p *proxy) once(r *http.Request) bool {
	for _, k := range p.Settings.Classes {
		if k.Name == r.Header.Get("X-Lane") {
			return k.Effect == "once"
		}
	}
	return false
}

// pick takes the hosts in turn; cold ones get nothing while others are there.
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

// send makes one attempt.
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
