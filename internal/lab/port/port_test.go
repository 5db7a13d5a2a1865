package port

import (
	"net"
	"net/netip"
	"testing"
)

// A port that is held goes to no connection of somebody else's, however many are opened, and a listener can come, go and come back.
func TestHeldPortStays(t *testing.T) {
	h, err := Hold(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer h.Free()
	busy, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	if c, err := net.Dial("tcp4", h.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection to a held port that nobody listens at came up")
	}
	for range 3 {
		ln, err := net.Listen("tcp4", h.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
	}
	for range 500 {
		c, err := net.Dial("tcp4", busy.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if c.LocalAddr().(*net.TCPAddr).Port == int(h.Addr().Port()) {
			t.Fatal("a connection was given the held port")
		}
	}
}
