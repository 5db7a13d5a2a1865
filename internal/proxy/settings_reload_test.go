package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"beechwing/internal/settings"
)

// otherSettings are the settings of a different deployment: a single zone, other classes in another order, no probes, no
// hedging, no load reports, and more proxies.
const otherSettings = `{"Balancers": 16, "Me": 3, "Zone": 0, "Dcs": ["c"], "Discovery": "push",
 "Classes": [
 {"Name": "pay", "Effect": "once", "AimS": 0.8, "DeadlineS": 2.5, "Credit": 8.0, "LateWorth": 0.3},
 {"Name": "write", "Effect": "once", "AimS": 0.2, "DeadlineS": 1.0, "Credit": 5.0}],
 "Tenants": [{"Name": "other", "Share": 0.4}, {"Name": "acme", "Share": 0.6}],
 "Limits": {"Cancelling": true, "MaxAttempts": 6, "ConnectTimeoutS": 0.2, "ConnIdleS": 30.0},
 "Goal": {"Punctual": 0.4, "MissAllowed": 0.02}, "Report": {"How": "none"}, "WeightKind": "rough",
 "Rules": {"AskWithinS": 5.0, "StopSendingWithinS": 1.0, "ColdFrom": 0.12, "ColdS": 23.0, "FallMultiple": 3.0,
  "TipAfterS": 2.0}}`

// withSettings returns a change that parses the settings in text, as when the file is read.
func withSettings(text string) func(*Config) error {
	return func(c *Config) (err error) {
		if c.Settings, err = settings.Parse([]byte(text)); err != nil {
			return err
		}
		if c.Balancer, err = c.Settings.Config(c.Seed); err != nil {
			return err
		}
		c.Balancer.AskForList = true
		c.file.Settings = []byte(text)
		return nil
	}
}

// reloadWith reloads the configuration with the settings in text, and waits for the log message that ends the reload.
func (r *fakeConfigFile) reloadWith(t testing.TB, g *testProxy, text, log string) {
	t.Helper()
	r.set(withSettings(text))
	g.p.Reload()
	for got := ""; got != log; {
		got = r.logged.next(t, log)
	}
}

// TestSwitchUnderLoad switches several times between two different settings while clients send requests. Each request gets
// one response, each unsafe request reaches hosts at most once, and classes that the current settings lack are rejected.
func TestSwitchUnderLoad(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	serve := func(c net.Conn, r receivedRequest) bool {
		mu.Lock()
		runs[r.Header.Get(headerID)]++
		mu.Unlock()
		return respondWith(okResponse)(c, r)
	}
	a, b := newFakeHost(t, serve), newFakeHost(t, serve)
	l := newFakeDiscovery(t, entry("h1", a.addr()), entry("h2", b.addr()))
	l.set(entry("h1", a.addr()), entry("h2", b.addr()))
	file, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", f)
	g.waitReady()
	stop := make(chan struct{})
	counts := make([]map[int]int, 6)
	var clients sync.WaitGroup
	for i := range counts {
		counts[i] = map[int]int{}
		class, text := []string{"write", "read", "pay"}[i%3], []string{"x", "", "x"}[i%3]
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c := g.dial()
				io.WriteString(c, requestText(class, text))
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Errorf("%s without a response: %v", class, err)
					c.Close()
					return
				}
				counts[i][r.StatusCode]++
				c.Close()
			}
		})
	}
	for range 6 {
		file.reloadWith(t, g, otherSettings, "settings in force")
		if a := g.raw(requestText("pay", "")); a.status == http.StatusBadRequest {
			t.Error("a class of the new settings is unknown")
		}
		if a := g.raw(requestText("read", "")); a.status != http.StatusBadRequest {
			t.Errorf("a class that the new settings lack: %d", a.status)
		}
		file.reloadWith(t, g, testSettings, "settings in force")
		if a := g.raw(requestText("pay", "")); a.status != http.StatusBadRequest {
			t.Errorf("a class of the other settings, after switching back: %d", a.status)
		}
	}
	close(stop)
	clients.Wait()
	for i, count := range counts {
		if count[http.StatusOK] == 0 || i%3 == 0 && (count[http.StatusBadRequest] > 0 || count[http.StatusBadGateway] > 0) {
			t.Errorf("client %d: responses %v", i, count)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if stats := string(g.p.owner.stats.text()); strings.Count(stats, "proxy.ok.write=") != 1 ||
		!strings.Contains(stats, "proxy.ok.pay=") || !strings.Contains(stats, "proxy.active=0") {
		t.Errorf("statistics: %s", stats)
	}
}

// TestClassGoesWhileOpen checks that requests accepted under earlier settings still complete under them, although their
// class may no longer exist or their deadline may exceed all current ones.
func TestClassGoesWhileOpen(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	// Three hosts, because concurrency limits start low.
	l := newFakeDiscovery(t, entry("h1", h.addr()), entry("h2", h.addr()), entry("h3", h.addr()))
	file, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", f)
	g.waitReady()
	open := map[string]net.Conn{}
	for _, class := range []string{"read", "write", "log"} {
		c := g.dial()
		defer c.Close()
		io.WriteString(c, requestText(class, ""))
		h.requests.next(t, class)
		open[class] = c
	}
	file.reloadWith(t, g, otherSettings, "settings in force")
	release.open()
	for class, c := range open {
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("%s: %d", class, a.status)
		}
	}
	if len(h.requests) > 0 {
		t.Errorf("%d more attempts", len(h.requests))
	}
}

// TestBadSettingsChangeNothing checks that with one invalid field in the new settings, the old settings stay in force as a
// whole.
func TestBadSettingsChangeNothing(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	file, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", f)
	g.waitReady()
	bad := strings.Replace(otherSettings, `"MissAllowed": 0.02`, `"MissAllowed": 2`, 1)
	file.reloadWith(t, g, bad, "configuration not read again, the old one stays")
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Errorf("a class of the old settings: %d", a.status)
	}
	if a := g.raw(requestText("pay", "")); a.status != http.StatusBadRequest {
		t.Errorf("a class of the rejected settings: %d", a.status)
	}
}

// TestSwitchWhileEnding checks reloads in quick succession, and while the proxy is told to stop: pending requests are
// answered, the last settings come into force, and the proxy ends.
func TestSwitchWhileEnding(t *testing.T) {
	release, ending := newGate(), newGate()
	defer release.open()
	defer ending.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	file, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", f, func(p *Proxy) {
		step := p.phaseFuncs[Draining]
		p.phaseFuncs[Draining] = func(ctx context.Context) (Phase, error) {
			<-ending.opened
			return step(ctx)
		}
	})
	g.waitReady()
	c := g.dial()
	defer c.Close()
	io.WriteString(c, requestText("write", ""))
	h.requests.next(t, "the request")
	for range 20 {
		file.set(withSettings(testSettings))
		g.p.Reload()
		file.set(withSettings(otherSettings))
		g.p.Reload()
	}
	g.shutDown()
	for end := time.Now().Add(testTimeout); len(g.p.front.names.Load().classNames) != 2; {
		if time.Now().After(end) {
			t.Fatal("the last settings are not in force")
		}
		g.p.Reload()
		file.logged.next(t, "a reload")
	}
	release.open()
	if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
		t.Errorf("the pending request: %d", a.status)
	}
	ending.open()
	g.stop()
}
