// Package list implements a test service discovery that speaks the platform's protocol: a versioned list of hosts, which
// proxies fetch whole or watch for changes. Service serves all calls through one queue at a fixed rate and simulates the
// failures in Faults. It records each call, and when each proxy was told of a host that is draining or gone.
package list

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"beechwing/internal/lab/link"
	"beechwing/internal/lab/record"
)

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Entry is a host in the list. Addr returns the address at which a proxy reaches the host.
type Entry struct {
	ID      string
	Addr    func(proxy int) string
	Zone    string
	Weight  float64
	State   string
	Started int64 // Unix time in milliseconds; 0: before the run
}

// Config holds the capacity of the service.
type Config struct {
	Rate  float64       // calls served per second, in order of arrival
	Queue int           // maximum number of waiting calls; more are rejected at once
	Wait  time.Duration // calls are rejected after waiting for so long
}

// Faults selects the failures of the service. Each one lasts as long as it is set.
type Faults struct {
	Down  bool          // calls are reset and watches end
	Late  time.Duration // delay of each answer
	Stale bool          // answers hold the list as of the time at which Stale was set
	Back  bool          // every other answer holds the previous version
	Torn  bool          // answers are cut off after two thirds, and the connection is reset
}

// Service is a running list service. It is a target of a link.Network.
type Service struct {
	*link.Target
	cfg          Config
	book         *record.Book
	mu           sync.Mutex
	faults       Faults
	initial      []Entry
	changes      []change
	version      int
	staleVersion int             // version served while Stale is set
	answers      int             // calls answered, for Back
	changed      chan struct{}   // closed and replaced when changes or faults change
	queueEnd     time.Time       // when the calls in the queue will have been served
	waiting      int             // calls in the queue
	told         map[[2]int]bool // recorded as told, by proxy and index in changes
	heard        map[[2]int]bool // recorded as heard, by the same keys
}

// change is the update of one entry, which creates a version.
type change struct {
	version int
	host    int // index of the entry in the list
	entry   Entry
	at      time.Duration
}

// New starts the service as a new target of the network, with entries as version 1.
func New(network *link.Network, c Config, book *record.Book, entries []Entry) (*Service, error) {
	s := &Service{cfg: c, book: book, version: 1, initial: entries, changed: make(chan struct{}), told: map[[2]int]bool{},
		heard: map[[2]int]bool{}}
	var err error
	s.Target, err = network.Listen(s.serve)
	return s, err
}

// Set replaces the entry with the index host, or adds an entry if host is the length of the list.
func (s *Service) Set(host int, e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = append(s.changes, change{version: s.version, host: host, entry: e, at: s.book.Now()})
	s.notifyWatches()
}

// Entry returns the current entry of a host.
func (s *Service) Entry(host int) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesAt(s.version)[host]
}

// Change calls f with the faults under the lock, to alter them from now on.
func (s *Service) Change(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	f(&s.faults)
	if s.faults.Stale && !before.Stale {
		s.staleVersion = s.version
	}
	s.notifyWatches()
}

// notifyWatches makes pending watches check for changes and faults again. mu is held.
func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) serve(c *link.Conn) {
	c.ServeRequests(func(r *http.Request, clientGone chan struct{}) bool { return s.call(c, r, clientGone) })
}

// call serves one call and reports whether the connection stays open.
func (s *Service) call(c *link.Conn, r *http.Request, clientGone chan struct{}) bool {
	rec := record.Call{Proxy: c.Proxy, At: s.book.Now(), Failed: true}
	defer func() {
		select {
		case <-clientGone:
			rec.Left = rec.Failed
		default:
		}
		rec.Done = s.book.Now()
		s.book.Add(rec)
	}()
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	rec.Watch = err == nil
	if rec.Watch {
		s.recordHeard(c.Proxy, since)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if r.URL.Path != "/catalog/members" {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if rec.Watch && !s.awaitChange(since, time.Duration(wait)*time.Millisecond, clientGone) {
		return false
	}
	if ok, keepOpen := s.awaitTurn(c, clientGone); !ok {
		return keepOpen
	}
	s.mu.Lock()
	f, version := s.faults, s.version
	if f.Stale {
		version = s.staleVersion
	}
	if s.answers++; f.Back && s.answers%2 == 0 {
		version--
	}
	text := s.encode(c.Proxy, version, since, rec.Watch)
	s.mu.Unlock()
	if f.Down {
		c.Reset()
		return false
	}
	if f.Late > 0 {
		time.Sleep(f.Late)
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	if f.Torn {
		c.Write(answer[:len(answer)*2/3])
		c.Reset()
		return false
	}
	if _, err := c.Write(answer); err != nil {
		return false
	}
	rec.Failed, rec.Version = false, version
	s.recordTold(c.Proxy, version)
	return true
}

// awaitChange blocks a watch until there is a version after since, or wait is over. It returns false if the client has
// disconnected or the service is down.
func (s *Service) awaitChange(since int, wait time.Duration, clientGone chan struct{}) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		changed, newer, down := s.changed, s.version > since && !s.faults.Stale, s.faults.Down
		s.mu.Unlock()
		if down {
			return false
		}
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-t.C:
			return true
		case <-clientGone:
			return false
		}
	}
}

// awaitTurn waits in the queue until the call is served. If the call fails, ok is false and keepOpen reports whether the
// connection stays open.
func (s *Service) awaitTurn(c *link.Conn, clientGone chan struct{}) (ok, keepOpen bool) {
	refuse := func() (bool, bool) {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return false, err == nil
	}
	s.mu.Lock()
	now := time.Now()
	if s.faults.Down {
		s.mu.Unlock()
		c.Reset()
		return false, false
	}
	if s.waiting >= s.cfg.Queue {
		s.mu.Unlock()
		return refuse()
	}
	s.waiting++
	if s.queueEnd.Before(now) {
		s.queueEnd = now
	}
	s.queueEnd = s.queueEnd.Add(time.Duration(float64(time.Second) / s.cfg.Rate))
	turn := s.queueEnd
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	// A call whose client has disconnected keeps its place in the queue: the service notices only when it answers.
	late := turn.Sub(now) > s.cfg.Wait
	time.Sleep(min(turn.Sub(now), s.cfg.Wait))
	select {
	case <-clientGone:
		return false, false
	default:
	}
	if late {
		return refuse()
	}
	return true, true
}

// wireEntry is an entry as the protocol encodes it.
type wireEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

func (e *Entry) wire(proxy int) wireEntry {
	return wireEntry{ID: e.ID, Addr: e.Addr(proxy), Zone: e.Zone, State: e.State, Weight: e.Weight, Started: e.Started}
}

// encode encodes the list at a version, or for a watch the changes after since. mu is held.
func (s *Service) encode(proxy, version, since int, watch bool) []byte {
	servers := []wireEntry{}
	if watch && since <= version {
		for _, c := range s.changes {
			if c.version > since && c.version <= version {
				servers = append(servers, c.entry.wire(proxy))
			}
		}
	} else {
		watch = false
		for _, e := range s.entriesAt(version) {
			if e.State != Gone {
				servers = append(servers, e.wire(proxy))
			}
		}
	}
	text, err := json.Marshal(map[string]any{"version": version, "full": !watch, "servers": servers})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded as JSON
	}
	return text
}

// entriesAt returns the list as of a version. mu is held.
func (s *Service) entriesAt(version int) []Entry {
	list := slices.Clone(s.initial)
	for _, c := range s.changes {
		if c.version > version {
			break
		}
		if c.host == len(list) {
			list = append(list, c.entry)
		} else {
			list[c.host] = c.entry
		}
	}
	return list
}

// recordTold records that a proxy was told of the changes up to a version, once for each change after which requests to the
// host must stop.
func (s *Service) recordTold(proxy, version int) {
	s.forEachNewStop(s.told, proxy, version, func(c change) {
		s.book.Add(record.WithdrawalNotice{Proxy: proxy, Host: c.host, Changed: c.at, At: s.book.Now()})
	})
}

// recordHeard records that a proxy has acknowledged these changes, by asking for changes after a version.
func (s *Service) recordHeard(proxy, version int) {
	s.forEachNewStop(s.heard, proxy, version, func(c change) {
		s.book.Add(record.WithdrawalAck{Proxy: proxy, Host: c.host, Changed: c.at, At: s.book.Now()})
	})
}

// forEachNewStop calls f for each change up to a version that makes a host draining or gone and is not in noted for this
// proxy yet. It adds these changes to noted.
func (s *Service) forEachNewStop(noted map[[2]int]bool, proxy, version int, f func(change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.changes {
		k := [2]int{proxy, i}
		if c.version > version || c.entry.State == Ready || noted[k] {
			continue
		}
		noted[k] = true
		f(c)
	}
}

// Snapshot returns the current list in full, with the addresses for a proxy, as the protocol encodes it.
func (s *Service) Snapshot(proxy int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encode(proxy, s.version, 0, false)
}
