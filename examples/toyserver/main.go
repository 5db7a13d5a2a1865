// Command toyserver provides an environment to try out beechwing: a discovery service that lists three hosts, and the hosts
// themselves. It is an example and not a part of the service.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is an entry of the host list, in the JSON format of the discovery service.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int     // the list version of the entry's last change
}

// list is the discovery service with its host list.
type list struct {
	mu      sync.Mutex
	version int
	servers []*server
	changed chan struct{} // closed at the next change of the list
}

func newList(servers ...*server) *list {
	return &list{version: 1, servers: servers, changed: make(chan struct{})}
}

// set changes the state of a host and wakes all watches.
func (l *list) set(id, state string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		if s.ID == id {
			l.version++
			s.State, s.version = state, l.version
			close(l.changed)
			l.changed = make(chan struct{})
			return nil
		}
	}
	return fmt.Errorf("no host %q", id)
}

// members responds with the whole list. A request with the parameter "since" is a watch: its response has the entries that
// changed after that version. If there are none yet, members waits for a change for at most "timeout_ms".
func (l *list) members(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if full := err != nil; full {
		l.write(w, -1)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	l.mu.Lock()
	changed, newer := l.changed, l.version > since
	l.mu.Unlock()
	if !newer {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	l.write(w, since)
}

// write sends the entries that changed after a version, or the whole list if since is negative.
func (l *list) write(w io.Writer, since int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := struct {
		Version int       `json:"version"`
		Full    bool      `json:"full"`
		Servers []*server `json:"servers"`
	}{l.version, since < 0, []*server{}}
	for _, s := range l.servers {
		if s.version > since {
			out.Servers = append(out.Servers, s)
		}
	}
	json.NewEncoder(w).Encode(out)
}

// handler returns the handler of the discovery service, with a call that sets the state of a host.
func (l *list) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /catalog/members", l.members)
	m.HandleFunc("POST /state/{id}/{state}", func(w http.ResponseWriter, r *http.Request) {
		if err := l.set(r.PathValue("id"), r.PathValue("state")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	})
	return m
}

// host returns the handler of a host. It responds after the time work with the host's name, and reports its load in a header.
func host(name string, work time.Duration) http.Handler {
	var inflight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer inflight.Add(-1)
		load := fmt.Sprintf(`{"inflight":%d}`, inflight.Add(1))
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
		if err != nil {
			http.Error(w, "body", http.StatusInternalServerError)
			return
		}
		time.Sleep(work)
		w.Header().Set("X-Pressure", load)
		fmt.Fprintf(w, "%s served %s %s with %d bytes\n", name, r.Method, r.URL, len(text))
	})
}

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address of the discovery service")
	work := flag.Duration("work", 20*time.Millisecond, "duration of each request")
	flag.Parse()
	if err := serve(*discovery, *work); err != nil {
		log.Fatal(err)
	}
}

// serve runs the discovery service and the hosts until one of them fails.
func serve(discovery string, work time.Duration) error {
	failed := make(chan error, 4)
	var servers []*server
	for n := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("toy-%d", n+1)
		servers = append(servers, &server{ID: name, Addr: ln.Addr().String(), Zone: "here", State: "ready", Weight: 1})
		log.Printf("host %s at %s", name, ln.Addr())
		go func() { failed <- http.Serve(ln, host(name, work)) }()
	}
	ln, err := net.Listen("tcp", discovery)
	if err != nil {
		return errors.Join(errors.New("discovery"), err)
	}
	log.Printf("discovery at %s", ln.Addr())
	go func() { failed <- http.Serve(ln, newList(servers...).handler()) }()
	return <-failed
}
