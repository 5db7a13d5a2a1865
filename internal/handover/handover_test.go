package handover

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// descriptor returns the number of a duplicate of a socket's file descriptor.
func descriptor(t *testing.T, c interface{ File() (*os.File, error) }) string {
	t.Helper()
	f, err := c.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // Listener closes the descriptor that it gets
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(fd)
}

// TestListener checks that Listener rejects everything but a listening TCP socket with the right address, and that the listener
// for such a socket accepts connections.
func TestListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr := ln.Addr().String()
	dialed, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	plain, err := os.Create(filepath.Join(t.TempDir(), "plain"))
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	for name, c := range map[string]struct{ fd, addr, want string }{
		"no number":       {"three", addr, "is not a number"},
		"not open":        {"987", addr, "bad file descriptor"},
		"a file":          {strconv.Itoa(int(plain.Fd())), addr, "getsockopt"},
		"a connection":    {descriptor(t, dialed.(*net.TCPConn)), addr, "does not listen"},
		"another address": {descriptor(t, ln.(*net.TCPListener)), "127.0.0.2:" + addr[strings.LastIndexByte(addr, ':')+1:], "not on"},
		"another port":    {descriptor(t, ln.(*net.TCPListener)), "127.0.0.1:1", "not on"},
	} {
		if _, err := Listener(c.fd, c.addr); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	taken, err := Listener(descriptor(t, ln.(*net.TCPListener)), addr)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // the duplicated descriptor keeps the socket open
	defer taken.Close()
	for range 2 { // the connection dialed above is the first in the queue
		c, err := taken.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if c, err = net.Dial("tcp", addr); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}

type counts map[string]int

// validate is the check of the state files below: it rejects a value with the key "bad".
func validate(c counts) error {
	if c["bad"] != 0 {
		return errors.New("value is bad")
	}
	return nil
}

// TestFile checks that another process reads what was written, and that a file which is truncated at any byte or invalid is
// renamed and reads as missing.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	a, b := NewFile(path, validate), NewFile(path, validate)
	if v, err := a.Read(); err != nil || v != nil || a.Changed() {
		t.Fatalf("with no file: %v, %v", v, err)
	}
	if err := a.Write(counts{"x": 1}); err != nil {
		t.Fatal(err)
	}
	if a.Changed() || !b.Changed() {
		t.Fatal("Changed must report a write to the other File only")
	}
	if v, err := b.Read(); err != nil || v["x"] != 1 || b.Changed() {
		t.Fatalf("read %v, %v", v, err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if v, err := b.Read(); !errors.Is(err, ErrCorrupt) || v != nil {
			t.Fatalf("cut at %d: %v, %v", n, v, err)
		}
		if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
			t.Fatalf("cut at %d: the file was not renamed", n)
		}
	}
	for _, text := range []string{`{"version":2,"state":{}}`, `{"version":1,"state":{"bad":1}}`, `{"version":1,"state":[]}`,
		`{"version":1,"state":{"x":"` + strings.Repeat("x", maxStateBytes) + `"}}`} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := b.Read(); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("%.40s: %v", text, err)
		}
	}
	if err := NewFile(filepath.Join(path, "nowhere"), validate).Write(counts{}); err == nil {
		t.Fatal("no error for a file that cannot be written")
	}
}

// TestLock checks that only one holder has the lock at a time, and that waiting for it ends with the context.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	a, b := NewFile(path, validate), NewFile(path, validate)
	unlock, err := a.Lock(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := b.Lock(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the second Lock returned %v while the lock was held", err)
	}
	unlock()
	unlock, err = b.Lock(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	unlock()
}

// FuzzState checks that every text is either rejected or gives a value that passes the check.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"version":1,"state":{"x":1}}`))
	f.Add([]byte(`{"version":1,"state":{"bad":1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if v, err := NewFile("", validate).parse(text); err == nil && v["bad"] != 0 {
			t.Fatal("an invalid value was accepted")
		}
	})
}
