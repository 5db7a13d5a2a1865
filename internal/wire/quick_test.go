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

// pair is two ends of a connection on loopback, both quickened.
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
	return Quicken(a), Quicken(b)
}

// A message larger than what the kernel holds goes through whole, though the writer has to wait for the reader many times.
func TestQuickCarriesLargeMessages(t *testing.T) {
	a, b := pair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		a.Write(sent)
		a.(interface{ CloseWrite() error }).CloseWrite()
	}()
	got, err := io.ReadAll(b)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d bytes of %d, %v", len(got), len(sent), err)
	}
}

// Deadlines hold in both directions, a reset and a closed end are told as such, and looking ahead takes nothing.
func TestQuickEnds(t *testing.T) {
	a, b := pair(t)
	a.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read without anything: %v", err)
	}
	a.SetReadDeadline(time.Time{})
	a.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	if n, err := a.Write(make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) || n == 0 {
		t.Errorf("write to one that does not read: %d, %v", n, err)
	}
	if said, ended := Arrived(b); !said || ended {
		t.Errorf("arrived: %v, %v", said, ended)
	}
	b.(*Quick).SetLinger(0)
	b.Close()
	if _, err := a.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read after a reset: %v", err)
	}
	if _, err := a.Write([]byte("x")); err == nil {
		t.Error("a write after a reset went well")
	}
	if _, err := b.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read of a closed one: %v", err)
	}
}
