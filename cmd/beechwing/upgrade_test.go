package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startAtSocket starts the program with an inherited listening socket and an admin address of its own, and waits until it is
// healthy. It returns the command, its log and the admin address.
func startAtSocket(t *testing.T, socket *os.File, addr, host, tmp string) (*exec.Cmd, *logText, string) {
	t.Helper()
	admin := freeAddr(t)
	cmd, log := program(t, "PROXY_CONFIG="+configFile(t, addr, host), "PROXY_FD=3", "PROXY_OPS="+admin, "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{socket}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if status, _ := adminCall(admin, "/admin/health", ""); status == http.StatusOK {
			return cmd, log, admin
		}
		if time.Now().After(end) {
			t.Fatalf("the program did not become healthy; log: %s", log)
		}
	}
}

// adminCall makes an admin call: a POST with the body, or a GET if it is empty. It returns status 0 if the call fails.
func adminCall(admin, path, body string) (int, string) {
	c, err := net.Dial("tcp", admin)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	method := "POST"
	if body == "" {
		method = "GET"
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

// TestUpgrade checks that during several upgrades under load no request is lost and none runs twice, for clients that keep their
// connections and for clients that open a new one for each request. It also checks that a host which an operator has cordoned
// stays cordoned after an upgrade.
func TestUpgrade(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	host := serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		mu.Lock()
		ran[r.Header.Get("X-Txn")]++
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	ln := listen(t)
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	addr, tmp := ln.Addr().String(), t.TempDir()
	old, oldLog, _ := startAtSocket(t, socket, addr, host, tmp)

	var served, refused, last atomic.Int64
	var stop atomic.Bool
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for !stop.Load() {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						t.Errorf("connecting failed: %v", err)
						return
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					br = bufio.NewReader(c)
				}
				id := fmt.Sprint("id", last.Add(1))
				fmt.Fprintf(c,
					"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: write\r\nX-Remaining: 8000m\r\nContent-Length: 1\r\n\r\nx", id)
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Errorf("request %s got no response: %v", id, err)
					return
				}
				io.Copy(io.Discard, r.Body)
				switch mu.Lock(); {
				case r.StatusCode == http.StatusOK && ran[id] == 1:
					served.Add(1)
				case r.StatusCode == http.StatusServiceUnavailable && ran[id] == 0:
					refused.Add(1)
				default:
					t.Errorf("request %s ran %d times, but its response has status %d", id, ran[id], r.StatusCode)
				}
				mu.Unlock()
				if r.Close || n%2 == 0 {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	admin := ""
	for n := range 3 {
		next, log, nextAdmin := startAtSocket(t, socket, addr, host, tmp)
		before := served.Load()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := old.Wait(); err != nil {
			t.Fatalf("the old process ended with %v: %s", err, oldLog)
		}
		if n == 1 && served.Load() == before {
			t.Error("no request was served during the upgrade")
		}
		old, oldLog, admin = next, log, nextAdmin
	}
	stop.Store(true)
	clients.Wait()
	if served.Load() < 100 || refused.Load() > served.Load()/4 {
		t.Errorf("%d served, %d refused", served.Load(), refused.Load())
	}

	if status, text := adminCall(admin, "/admin/cordon", `{"who":"h"}`); status != http.StatusOK {
		t.Fatalf("cordon call: status %d, %s", status, text)
	}
	next, log, admin := startAtSocket(t, socket, addr, host, tmp)
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c,
		"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: out\r\nX-Lane: write\r\nX-Remaining: 8000m\r\nContent-Length: 1\r\n\r\nx")
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("with its only host cordoned before an upgrade: %+v, %v; log: %s", r, err, log)
	}
	c.Close()
	if _, text := adminCall(admin, "/admin/stats", ""); !strings.Contains(text, "proxy.shed.write=1\n") {
		t.Errorf("proxy.shed.write is not 1 in the statistics: %s", text)
	}
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Fatal(err)
	}
}
