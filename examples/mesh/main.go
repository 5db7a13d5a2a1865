// Command mesh starts a small mesh on loopback: control processes, proxies with a toy host beside each, an operator who sends
// a configuration, and clients. It says how long that took, what was answered, and what it cost.
//
//	go run ./examples/mesh              # builds the programs into target/ first
//	go run ./examples/mesh -rate 400 -for 10s
//	go run ./examples/mesh -added -work 1ms        # what the mesh adds to a call, from paired calls (added.go)
//	go run ./examples/mesh -soak 20 -controls 4    # processes killed, stopped, cut off and wiped by lot (soak.go)
//	go run ./examples/mesh -removal -proxies 24   # hosts fail and are taken out under traffic; their records judge (removal.go)
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of all machines, which have an address of loopback each.
const (
	inner    = 7620
	outbound = 8304
	ready    = 8302
	control  = 8306
	app      = 8301
)

var (
	controls  = flag.Int("controls", 3, "control processes")
	proxies   = flag.Int("proxies", 4, "proxies, each with a host")
	rate      = flag.Int("rate", 200, "requests a second")
	length    = flag.Duration("for", 3*time.Second, "how long clients ask")
	work      = flag.Duration("work", 10*time.Millisecond, "how long a host works on a request")
	level     = flag.String("log", "warn", "least level of the programs' logs")
	soaks     = flag.Int("soak", 0, "seeds of troubles by lot to play, one after the other, with hosts and clients that judge (soak.go)")
	firstSeed = flag.Uint64("seed", 1, "the first of them")
	share     = flag.Float64("share", 1, "of a processor's time that each control process has, with -soak")
	removal   = flag.Bool("removal", false, "hosts fail, die and are taken out by hand under traffic")
	profiles  = flag.String("profiles", "", "folder for a CPU profile of each process")
)

type process struct {
	name, ip string
	cmd      *exec.Cmd
}

func main() {
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mesh:", err)
		os.Exit(1)
	}
}

func run() error {
	if out, err := exec.Command("go", "build", "-o", "target/", "./cmd/beechwing-sidecar", "./cmd/beechwing-control").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	if *soaks > 0 {
		return soakAll(*soaks)
	}
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []*process
	defer func() {
		stop(all)
		for _, s := range servers {
			s.stop()
		}
		servers = nil
	}()
	var seeds []string
	for i := range min(3, *controls) {
		seeds = append(seeds, fmt.Sprintf("127.0.7.%d:%d", i+1, control))
	}
	began := time.Now()
	for i := range *controls {
		p, err := start(dir, "beechwing-control", fmt.Sprintf("127.0.7.%d", i+1), "", seeds)
		if err != nil {
			return err
		}
		all = append(all, p)
	}
	for i := range *proxies {
		p, err := start(dir, "beechwing-sidecar", fmt.Sprintf("127.0.8.%d", i+1), []string{"shop", "till"}[i%2], seeds)
		if err != nil {
			return err
		}
		all = append(all, p)
		if err := host(p.ip, []string{"shop", "till"}[i%2], i); err != nil {
			return err
		}
	}
	if err := configure(seeds); err != nil {
		return err
	}
	fmt.Printf("configuration taken by a majority of %d control processes %v after the start\n", *controls, time.Since(began).Round(time.Millisecond))
	for _, p := range all[*controls:] {
		if err := until(10*time.Second, func() bool { return status("http://"+p.ip+":"+strconv.Itoa(ready)+"/-/ready") == 200 }); err != nil {
			return fmt.Errorf("%s is not ready: %w", p.ip, err)
		}
	}
	if *removal {
		time.Sleep(1500 * time.Millisecond) // the beats of all hosts have come round
		return prove(all[*controls:], seeds)
	}
	if *added {
		time.Sleep(1500 * time.Millisecond) // the beats of all hosts have come round
		return compareAdded(all[*controls:])
	}
	fmt.Printf("%d proxies ready %v after the start\n", *proxies, time.Since(began).Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond) // the beats of all hosts have come round
	rest := usage(all)
	show(all[*controls].ip)
	asked, served, times := load(all[*controls:])
	if asked == 0 {
		return fmt.Errorf("nothing was asked")
	}
	end := usage(all)
	slices.Sort(times)
	fmt.Printf("%d of %d requests served, p50 %v, p99 %v (a host works %v)\n", served, asked, times[len(times)/2].Round(100*time.Microsecond),
		times[len(times)*99/100].Round(100*time.Microsecond), *work)
	for _, kind := range []string{"beechwing-sidecar", "beechwing-control"} {
		fmt.Printf("%-9s  %.3f ms of CPU a request over all of them, %d to %d MB at rest, %d MB at the end\n", kind,
			float64((end[kind].cpu-rest[kind].cpu).Microseconds())/1000/float64(asked), rest[kind].least, rest[kind].most, end[kind].most)
	}
	if served < asked*99/100 {
		return fmt.Errorf("only %d of %d were served", served, asked)
	}
	return nil
}

func start(dir, program, ip, carrier string, seeds []string) (*process, error) {
	path, err := writeSettings(dir, program, ip, carrier, seeds, true)
	if err != nil {
		return nil, err
	}
	var args []string
	if program == "beechwing-sidecar" && *removal {
		args = append(args, "--agreed-ejection")
	}
	if *profiles != "" {
		args = append(args, "--profile", filepath.Join(*profiles, program+"-"+ip+".pprof"))
	}
	return launch(program, ip, path, os.Stderr, args...)
}

// writeSettings writes the settings file of a process, and gives its path.
func writeSettings(dir, program, ip, carrier string, seeds []string, first bool) (string, error) {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	text := fmt.Sprintf("nodeName = %q\nstationRole = %q\nip = %q\nzone = \"a\"\nsparePorts = [%d,%d]\nseedDepots = [%s]\n"+
		"firstStart = %v\nbeatMs = 1500\ndataDir = %q\nappAddress = \"%s:%d\"\ncarrier = %q\nbounds = [\"passWindowS=60\",\"retryRatio=0.2\","+
		"\"retrySlack=60\",\"graceS=6\"]\n[docking]\noutboundDock = \"%s:%d\"\nreadyDock = \"%s:%d\"\ncontrolDock = \"%s:%d\"\n"+
		"[sizeLimits]\nmemoryMb = 256\n[tolerance]\nmachines = 1\n", program+"-"+ip, program, ip, inner, inner+15, strings.Join(quoted, ","),
		first, dataDir(dir, ip), ip, app, carrier, ip, outbound, ip, ready, ip, control)
	path := filepath.Join(dir, ip+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// dataDir is the disk of a machine.
func dataDir(dir, ip string) string { return filepath.Join(dir, "data-"+ip) }

// launch starts a program on a settings file.
func launch(program, ip, settings string, log io.Writer, args ...string) (*process, error) {
	cmd := exec.Command("target/"+program, append([]string{"run", "--log", *level}, args...)...)
	cmd.Env = append(os.Environ(), "BEECHWING_SETTINGS="+settings, "GOMAXPROCS=1")
	cmd.Stderr = log
	return &process{program, ip, cmd}, cmd.Start()
}

func stop(all []*process) {
	for _, p := range all {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range all {
		p.cmd.Wait()
	}
}

// host serves a toy host beside a proxy, and sends its beats there.
func host(ip, carrier string, n int) error {
	id := fmt.Sprintf("i-%d", n)
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, app))
	if err != nil {
		return err
	}
	var runs atomic.Int64
	s := &server{id: id, carrier: carrier, ln: ln}
	servers = append(servers, s)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Beechwing-Addressee") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		lost := s.ran(r.Header.Get("Beechwing-Once-Key"))
		time.Sleep(*work)
		if lost { // it has run, and nobody hears of it
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Beechwing-Consignment-Id", r.Header.Get("Beechwing-Consignment-Id"))
		w.Header().Set("Beechwing-Postmark", fmt.Sprintf("%s.%d", id, runs.Add(1)))
		fmt.Fprintf(w, "%s of %s answers %s, asked by %s\n", id, carrier, r.URL.Path, r.Header.Get("Beechwing-Sender-Carrier"))
	}))
	go func() {
		for seq := 1; !s.stopped.Load(); seq++ {
			beat := fmt.Sprintf(`{"carrier":%q,"address":"%s:%d","zone":"a","edition":"v1","berths":16,"condition":"at_dock","sequence":%d}`,
				carrier, ip, app, seq)
			if put(fmt.Sprintf("http://%s:%d/-/stations/%s", ip, control, id), beat) == 200 {
				time.Sleep(1500 * time.Millisecond)
			} else {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return nil
}

// configure is the operator: the configuration is sent until it is taken.
func configure(seeds []string) error {
	text, err := configText(1)
	if err != nil {
		return err
	}
	n := 0
	return until(10*time.Second, func() bool {
		n++
		return put("http://"+seeds[n%len(seeds)]+"/-/timetable", text) == 200
	})
}

// configText is the configuration of a version: a route for reads and one for operations, the same in each.
func configText(version int) (string, error) {
	var c struct {
		Edition     string           `json:"edition"`
		Itineraries []map[string]any `json:"itineraries"`
		Carriers    []map[string]any `json:"carriers"`
	}
	c.Edition = fmt.Sprintf("r%d", version)
	for _, r := range []struct{ name, kind, carrier string }{{"read", "safe", "shop"}, {"pay", "tracked", "till"}} {
		c.Itineraries = append(c.Itineraries, map[string]any{"name": r.name, "depot": "shop.example", "lanePrefix": "/" + r.name + "/",
			"routeKind": r.kind, "timeoutMs": 1000, "targetMs": 200, "precedence": 1, "carrier": r.carrier, "tries": 2})
	}
	for _, name := range []string{"shop", "till"} {
		c.Carriers = append(c.Carriers, map[string]any{"name": name, "healthPath": "/health", "berthCap": 110})
	}
	text, err := json.Marshal(c)
	return string(text), err
}

func until(most time.Duration, f func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", most)
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func status(url string) int {
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func put(url, body string) int {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func ask(ip, path, key string, n int) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", ip, outbound, path), strings.NewReader("a seat"))
	if err != nil {
		return nil, "", err
	}
	req.Host = "shop.example"
	req.Header.Set("Beechwing-Consignment-Id", fmt.Sprintf("c%d", n))
	req.Header.Set("Beechwing-Deadline-Ms", "1000")
	if key != "" {
		req.Header.Set("Beechwing-Once-Key", key)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

// show asks for an operation twice: the second try gets the first one's answer.
func show(ip string) {
	for n := range 2 {
		res, text, err := ask(ip, "/pay/seat", "k-1", n)
		if err != nil {
			fmt.Println("asked:", err)
			return
		}
		fmt.Printf("POST /pay/seat with key k-1 at %s: %d, postmark %s: %s", ip, res.StatusCode, res.Header.Get("Beechwing-Postmark"), text)
	}
}

func load(proxies []*process) (asked, served int, times []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	for end := time.Now().Add(*length); time.Now().Before(end); {
		<-tick.C
		asked++
		n := asked
		wg.Go(func() {
			path, key := "/read/list", ""
			if n%3 == 0 {
				path, key = "/pay/seat", fmt.Sprintf("k-%d", n+10)
			}
			at := time.Now()
			res, _, err := ask(proxies[n%len(proxies)].ip, path, key, n+10)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(at))
			if err == nil && res.StatusCode == 200 {
				served++
			}
		})
	}
	wg.Wait()
	return asked, served, times
}

type used struct {
	cpu         time.Duration
	least, most int
}

// usage is what the processes of each kind have used: CPU in all, memory in MB.
func usage(all []*process) map[string]used {
	out := map[string]used{}
	for _, p := range all {
		u := out[p.name]
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) > 21 {
			user, _ := strconv.Atoi(fields[11])
			system, _ := strconv.Atoi(fields[12])
			pages, _ := strconv.Atoi(fields[21])
			mb := pages * os.Getpagesize() >> 20
			u.cpu += time.Duration(user+system) * 10 * time.Millisecond
			if u.least == 0 || mb < u.least {
				u.least = mb
			}
			u.most = max(u.most, mb)
		}
		out[p.name] = u
	}
	return out
}
