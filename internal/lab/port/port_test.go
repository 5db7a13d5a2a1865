package port

import (
	"net"
	"net/netip"
	"testing"
)

// TestHeldPortStays checks that the kernel gives a reserved port to no outgoing connection as its source port, and that a
// server can listen there repeatedly.
func TestHeldPortStays(t *testing.T) {
	h, err := Reserve(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer h.Release()
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if c, err := net.Dial("tcp4", h.Addr().String()); err == nil {
		c.Close()
		t.Error("connected to a reserved port at which nobody listens")
	}
	for range 3 {
		ln, err := net.Listen("tcp4", h.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
	}
	for range 500 {
		c, err := net.Dial("tcp4", other.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if c.LocalAddr().(*net.TCPAddr).Port == int(h.Addr().Port()) {
			t.Fatal("a connection was given the reserved port")
		}
	}
}
