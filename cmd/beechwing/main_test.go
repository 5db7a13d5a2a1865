package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 40 * time.Second

// TestMain lets the test binary run as the program itself, so that tests can start it and send it signals.
func TestMain(m *testing.M) {
	if os.Getenv("BEECHWING_TEST_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program with the given environment, and its log.
func program(t *testing.T, env ...string) (*exec.Cmd, *logText) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append([]string{"BEECHWING_TEST_MAIN=1"}, env...)
	log := &logText{}
	cmd.Stderr = log
	return cmd, log
}

// logText collects the program's log. It can be read while the program runs.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// await waits until the program's log contains a text.
func (l *logText) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(l.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%q did not appear in the log: %s", text, l)
		}
	}
}

// listen opens a listener on a loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// freeAddr returns a free address for the program to listen on.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// serve starts a server and returns its address. The server handles each request with answer, which returns false to close the
// connection.
func serve(t *testing.T, answer func(net.Conn, *bufio.Reader, *http.Request) bool) string {
	t.Helper()
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if !answer(c, br, r) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// configFile writes a configuration with one known host and no reachable discovery service.
func configFile(t *testing.T, listen, host string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen": %q, "discovery": "127.0.0.1:1", "limits": {"cores": 1},
 "known": {"version": 4, "full": true, "servers": [{"id": "h", "addr": %q, "zone": "a", "state": "ready", "weight": 1}]},
 "settings": {"Dcs": ["a"], "Discovery": "ask", "Classes": [{"Name": "write", "Effect": "once", "AimS": 2.0,
 "DeadlineS": 9.0, "Credit": 1.0, "LateWorth": 0.5}], "Rules": {"AskWithinS": 10.0}}}`, listen, host)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestBadStart checks that a failure at the start gives one line on standard error and exit code 1.
func TestBadStart(t *testing.T) {
	taken := listen(t).Addr().String()
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, env, want string }{
		{"no configuration", "", "PROXY_CONFIG"},
		{"no such file", "PROXY_CONFIG=" + broken + ".not", "no such file"},
		{"broken file", "PROXY_CONFIG=" + broken, "broken.json"},
		{"address taken", "PROXY_CONFIG=" + configFile(t, taken, taken), "address already in use"},
		{"unknown log level", "BEECHWING_LOG=loud", "BEECHWING_LOG"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd, log := program(t, c.env)
			err := cmd.Run()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Fatalf("the program ended with %v, want exit code 1", err)
			}
			text := log.String()
			if !strings.HasPrefix(text, "beechwing: ") || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.want) {
				t.Fatalf("unexpected standard error %q", text)
			}
		})
	}
}

// TestTerminate checks that the program serves from the host list in its configuration while the discovery service is down, and
// that after SIGTERM it answers the requests in progress and those that still arrive, and exits with code 0.
func TestTerminate(t *testing.T) {
	got, release := make(chan bool, 2), make(chan struct{})
	host := serve(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		got <- true
		<-release
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	addr := freeAddr(t)
	cmd, log := program(t, "PROXY_CONFIG="+configFile(t, addr, host))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	send := func(id string) (net.Conn, *bufio.Reader) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			c, err := net.Dial("tcp", addr)
			if err == nil {
				c.SetDeadline(time.Now().Add(testTimeout))
				fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "+id+"\r\nX-Lane: write\r\n"+
					"X-Remaining: 8000m\r\nContent-Length: 1\r\n\r\nx")
				return c, bufio.NewReader(c)
			}
			if time.Now().After(end) {
				t.Fatalf("%v; log: %s", err, log)
			}
		}
	}
	_, before := send("a")
	<-got
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	log.await(t, `"from":"serving"`) // otherwise both requests may be answered before the program handles the signal
	_, after := send("b")            // new connections are still accepted while the proxy drains
	<-got
	close(release)
	for name, br := range map[string]*bufio.Reader{"before": before, "after": after} {
		r, err := http.ReadResponse(br, nil)
		if err != nil || r.StatusCode != http.StatusOK || !r.Close {
			t.Errorf("the request sent %s SIGTERM: %v %+v", name, err, r)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the program ended with %v; log: %s", err, log)
	}
	for _, phase := range []string{"serving", "draining", "finishing", "stopped"} {
		if !strings.Contains(log.String(), `"to":"`+phase+`"`) {
			t.Errorf("the log does not contain the phase %s", phase)
		}
	}
}

// TestHangup checks that the program reloads its configuration file at SIGHUP and switches to the discovery service named there,
// although PROXY_DISCOVERY still names the old one. An invalid file and a signal during the start or the drain must do no harm.
func TestHangup(t *testing.T) {
	calls := make(chan string, 64)
	discovery := func(name string) string {
		return serve(t, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			calls <- name
			if r.URL.Query().Get("timeout_ms") > "1" {
				br.Peek(1) // a watch without changes, until the proxy closes the connection
				return false
			}
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"+
				"{\"version\":1,\"full\":true,\"servers\":[]}")
			return err == nil
		})
	}
	wait := func(name string) {
		t.Helper()
		for end := time.After(testTimeout); ; {
			select {
			case got := <-calls:
				if got == name {
					return
				}
			case <-end:
				t.Fatalf("no call arrived at the %s discovery service", name)
			}
		}
	}
	addr := freeAddr(t)
	before, after := discovery("old"), discovery("new")
	path := configFile(t, addr, before)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(discovery string) {
		t.Helper()
		if err := os.WriteFile(path, bytes.ReplaceAll(text, []byte("127.0.0.1:1"), []byte(discovery)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(before)
	cmd, log := program(t, "PROXY_CONFIG="+path, "PROXY_DISCOVERY="+before)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	wait("old")
	hangUp := func() {
		t.Helper()
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp()
	write(after)
	hangUp()
	hangUp()
	wait("new")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	hangUp()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the program ended with %v; log: %s", err, log)
	}
}
