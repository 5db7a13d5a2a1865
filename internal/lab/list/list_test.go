package list

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"beechwing/internal/lab/link"
	"beechwing/internal/lab/record"
)

// answer is the decoded answer to a call.
type answer struct {
	Version int  `json:"version"`
	Full    bool `json:"full"`
	Servers []struct {
		ID    string `json:"id"`
		Addr  string `json:"addr"`
		State string `json:"state"`
	} `json:"servers"`
}

func call(s *Service, proxy int, query string) (m answer, status int, err error) {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s/catalog/members%s", s.Addr(proxy), query))
	if err != nil {
		return m, 0, err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusOK {
		err = json.NewDecoder(r.Body).Decode(&m)
	}
	return m, r.StatusCode, err
}

func start(t *testing.T, c Config) (*Service, *record.Book) {
	table, book := link.New(1), record.NewBook()
	book.Begin()
	t.Cleanup(table.Close)
	addr := func(proxy int) string { return fmt.Sprintf("127.64.%d.1:9", proxy) }
	s, err := New(table, c, book, []Entry{{ID: "h0", Addr: addr, State: Ready}, {ID: "h1", Addr: addr, State: Ready}})
	if err != nil {
		t.Fatal(err)
	}
	return s, book
}

// TestVersions checks that a watch returns the changes, that telling a proxy of a draining host is recorded once, and that
// each fault has its effect: an outdated list, a version that goes back, a truncated answer, no answer.
func TestVersions(t *testing.T) {
	s, book := start(t, Config{Rate: 1000, Queue: 10, Wait: time.Second})
	if m, _, err := call(s, 7, ""); err != nil || m.Version != 1 || !m.Full || len(m.Servers) != 2 ||
		m.Servers[0].Addr != "127.64.7.1:9" {
		t.Fatalf("%+v %v", m, err)
	}
	e := s.Entry(1)
	e.State = Draining
	time.AfterFunc(30*time.Millisecond, func() { s.Set(1, e) })
	for range 2 {
		if m, _, err := call(s, 7, "?since=1&timeout_ms=4000"); err != nil || m.Full || len(m.Servers) != 1 ||
			m.Servers[0].State != Draining {
			t.Fatalf("%+v %v", m, err)
		}
	}
	if len(book.Tolds) != 1 || book.Tolds[0].Proxy != 7 || book.Tolds[0].Host != 1 || book.Tolds[0].At < book.Tolds[0].Changed {
		t.Errorf("%+v", book.Tolds)
	}
	s.Change(func(f *Faults) { f.Stale = true })
	e.State = Gone
	s.Set(1, e)
	if m, _, _ := call(s, 1, ""); m.Version != 2 || len(m.Servers) != 2 {
		t.Errorf("stale: %+v", m)
	}
	s.Change(func(f *Faults) { *f = Faults{Back: true} })
	a, _, _ := call(s, 1, "")
	if b, _, _ := call(s, 1, ""); a.Version+b.Version != 5 || len(a.Servers)+len(b.Servers) != 3 {
		t.Errorf("going back: %+v %+v", a, b)
	}
	for name, f := range map[string]Faults{"torn": {Torn: true}, "down": {Down: true}} {
		s.Change(func(all *Faults) { *all = f })
		if m, status, err := call(s, 1, ""); err == nil {
			t.Errorf("%s: %d %+v", name, status, m)
		}
	}
}

// TestQueue checks that calls are served one after another at the configured rate, and that a call that finds the queue
// full is rejected.
func TestQueue(t *testing.T) {
	s, book := start(t, Config{Rate: 20, Queue: 2, Wait: time.Second})
	done := make(chan int, 3)
	for range 3 {
		go func() {
			_, status, _ := call(s, 0, "")
			done <- status
		}()
	}
	got := map[int]int{}
	for range 3 {
		got[<-done]++
	}
	if got[http.StatusOK] != 2 || got[http.StatusServiceUnavailable] != 1 {
		t.Errorf("%v", got)
	}
	if book.Now() < 100*time.Millisecond {
		t.Errorf("two calls at 20 calls per second took %v", book.Now())
	}
}
