package wire

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// pair returns the two ends of a loopback connection, both wrapped by NewDirectConn.
func pair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if a, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return NewDirectConn(a), NewDirectConn(b)
}

// TestQuickCarriesLargeMessages checks that a message larger than the kernel's socket buffers arrives complete, although the
// writer has to wait for the reader many times.
func TestQuickCarriesLargeMessages(t *testing.T) {
	a, b := pair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		a.Write(sent)
		a.(interface{ CloseWrite() error }).CloseWrite()
	}()
	got, err := io.ReadAll(b)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("got %d bytes of %d, error %v", len(got), len(sent), err)
	}
}

// TestQuickEnds checks that read and write deadlines work, that a reset and a locally closed connection give the right errors,
// and that Pending consumes nothing.
func TestQuickEnds(t *testing.T) {
	a, b := pair(t)
	a.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read with no data available: got %v, want a deadline error", err)
	}
	a.SetReadDeadline(time.Time{})
	a.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	if n, err := a.Write(make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) || n == 0 {
		t.Errorf("write to a peer that does not read: wrote %d bytes, got %v, want a deadline error", n, err)
	}
	if readable, ended := Pending(b); !readable || ended {
		t.Errorf("Pending with unread bytes: readable %v, ended %v", readable, ended)
	}
	b.(*DirectConn).SetLinger(0)
	b.Close()
	if _, err := a.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read after a reset: got %v, want an error other than EOF", err)
	}
	if _, err := a.Write([]byte("x")); err == nil {
		t.Error("a write after a reset succeeded")
	}
	if _, err := b.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read from a closed connection: got %v, want net.ErrClosed", err)
	}
}
