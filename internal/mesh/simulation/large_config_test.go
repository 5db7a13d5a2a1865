package simulation

import (
	"encoding/json"
	"fmt"
	"testing"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/routeconfig"
)

// largeConfig returns a configuration with the given number of routes in addition to the usual ones.
func largeConfig(t *testing.T, version uint64, routes int) []byte {
	t.Helper()
	var c routeconfig.Config
	if err := json.Unmarshal(Config(version), &c); err != nil {
		t.Fatal(err)
	}
	for i := range routes {
		c.Routes = append(c.Routes, routeconfig.Route{Name: fmt.Sprintf("more-%d", i), Host: "shop.example",
			PathPrefix: fmt.Sprintf("/more%d/", i), Kind: routeconfig.Safe, TimeoutMs: 1000, TargetMs: 200,
			Service: "shop", MaxAttempts: 2})
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A configuration of 1,400 routes is compressed between control servers and on their disks. All proxies use the
// configuration, and it is read back unchanged.
func TestLargeConfigurationIsPacked(t *testing.T) {
	w := newCluster(t, 1, 3)
	text := largeConfig(t, 2, 1400)
	before := w.Bytes
	taken := false
	w.SendConfig(w.Servers[0], 2, text, func(r control.OrderResult) { taken = r == control.OrderTaken })
	w.Run(2)
	if !taken {
		t.Fatal("the configuration is not accepted")
	}
	if sent := w.Bytes - before; sent > len(text)/2 {
		t.Errorf("%d bytes between control servers for a text of %d, want at most half of it", sent, len(text))
	}
	for _, s := range w.Proxies {
		if got := s.State().Edition; got != 2 {
			t.Errorf("%s uses version %d, want 2", s.addr, got)
		}
	}
	for _, h := range w.Servers {
		h.input(func() {
			h.server.Configuration(w.Now, func(read []byte, result control.OrderResult) {
				if result != control.OrderTaken || string(read) != string(text) {
					t.Errorf("%s returns %d bytes that differ from the text sent, or result %v", h.addr, len(read), result)
				}
			})
		})
	}
	w.Run(1)
	for _, h := range w.Servers {
		if size := len(h.disk.values["k."+"\x00configuration"]); size == 0 || size > len(text)/5 {
			t.Errorf("%s stores %d bytes of configuration, want more than 0 and at most a fifth of the text", h.addr, size)
		}
	}
	checkOutcome(t, w, "large", 0)
}
