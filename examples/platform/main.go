// Command platform demonstrates upgrades. It opens the clients' listening socket and starts bin/beechwing with it. For each line
// on standard input it starts a new process with the same socket, waits until that process is healthy, and stops the previous
// one. The discovery service and hosts of bin/toyserver must be running.
package main

import (
	"bufio"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	listen       = "127.0.0.1:8080" // as in examples/config.json
	firstOps     = 9601             // the port of the first process's admin server; each later process uses the next port
	startTimeout = 6 * time.Second
)

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp("", "beechwing-platform")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tmp)
	var old *exec.Cmd
	lines := bufio.NewScanner(os.Stdin)
	for port := firstOps; ; port++ {
		next, err := start(socket, port, tmp)
		if err != nil {
			return err
		}
		end(old)
		old = next
		fmt.Printf("serving: process %d, admin server 127.0.0.1:%d. Press Enter to upgrade, end the input to stop.\n",
			old.Process.Pid, port)
		if !lines.Scan() {
			end(old)
			return lines.Err()
		}
	}
}

// start starts a process with the socket and waits until it is healthy.
func start(socket *os.File, port int, tmp string) (*exec.Cmd, error) {
	admin := fmt.Sprintf("127.0.0.1:%d", port)
	cmd := exec.Command("bin/beechwing")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=examples/config.json", "PROXY_FD=3", "PROXY_OPS="+admin, "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{socket} // becomes descriptor 3
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(20 * time.Millisecond) {
		if r, err := http.Get("http://" + admin + "/admin/health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return cmd, nil
			}
		}
	}
	end(cmd)
	return nil, fmt.Errorf("process not healthy at %s within %v", admin, startTimeout)
}

// end stops a process and waits until it has exited; nil is ignored.
func end(cmd *exec.Cmd) {
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		log.Printf("process %d ended with %v", cmd.Process.Pid, err)
	}
}
