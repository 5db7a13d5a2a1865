// Command platform shows an upgrade by hand: it holds the clients' listening socket, starts bin/beechwing at it, and with
// each line on standard input starts the program once more and ends the one before when the new one says yes. It wants
// the toy service of `make run` (bin/toyserver) beside it.
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
	listen   = "127.0.0.1:8080" // as in examples/config.json
	firstOps = 9601             // the door of the first process; the next one's is one higher
	patience = 6 * time.Second
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
		fmt.Printf("serving: process %d, door 127.0.0.1:%d. Enter: upgrade. End of input: end.\n", old.Process.Pid, port)
		if !lines.Scan() {
			end(old)
			return lines.Err()
		}
	}
}

// start runs the program and waits for its yes.
func start(socket *os.File, port int, tmp string) (*exec.Cmd, error) {
	door := fmt.Sprintf("127.0.0.1:%d", port)
	cmd := exec.Command("bin/beechwing")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=examples/config.json", "PROXY_FD=3", "PROXY_OPS="+door, "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{socket} // becomes descriptor 3
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	for began := time.Now(); time.Since(began) < patience; time.Sleep(20 * time.Millisecond) {
		if r, err := http.Get("http://" + door + "/admin/health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return cmd, nil
			}
		}
	}
	end(cmd)
	return nil, fmt.Errorf("no yes at %s within %v", door, patience)
}

func end(cmd *exec.Cmd) {
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		log.Printf("process %d ended with %v", cmd.Process.Pid, err)
	}
}
