package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestList checks the response with the whole list, a watch that times out and a watch that ends at a change.
func TestList(t *testing.T) {
	l := newList(&server{ID: "a", Addr: "127.0.0.1:1", State: "ready"}, &server{ID: "b", Addr: "127.0.0.1:2", State: "ready"})
	s := httptest.NewServer(l.handler())
	defer s.Close()
	get := func(query string) (out struct {
		Version int
		Full    bool
		Servers []server
	}) {
		t.Helper()
		r, err := http.Get(s.URL + "/catalog/members" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		if err := json.NewDecoder(r.Body).Decode(&out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	if got := get(""); !got.Full || got.Version != 1 || len(got.Servers) != 2 {
		t.Fatalf("whole list: %+v", got)
	}
	if got := get("?since=1&timeout_ms=1"); got.Full || len(got.Servers) != 0 {
		t.Fatalf("after the timeout of a watch: %+v", got)
	}
	r, err := http.Post(s.URL+"/state/b/draining", "", nil)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatal(err, r)
	}
	r.Body.Close()
	if got := get("?since=1&timeout_ms=60000"); got.Version != 2 || len(got.Servers) != 1 || got.Servers[0].State != "draining" {
		t.Fatalf("after a change: %+v", got)
	}
	if err := l.set("c", "gone"); err == nil {
		t.Fatal("setting the state of an unknown host succeeded")
	}
}

// TestHost checks that a host's response names the request and reports the load.
func TestHost(t *testing.T) {
	w := httptest.NewRecorder()
	host("toy-1", 0).ServeHTTP(w, httptest.NewRequest("POST", "/api?x=1", strings.NewReader("abc")))
	if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "toy-1 served POST /api?x=1 with 3 bytes") ||
		w.Header().Get("X-Pressure") != `{"inflight":1}` {
		t.Fatalf("%d %v %q", w.Code, w.Header(), w.Body)
	}
}
