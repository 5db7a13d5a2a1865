// Command mesh starts a small mesh on loopback addresses: control servers, sidecars with a toy host beside each, an operator who
// submits a configuration, and clients. It prints how long the start took, how many requests were served, and the CPU time and
// memory that this took.
//
//	go run ./examples/mesh              # builds the programs into target/ first
//	go run ./examples/mesh -rate 400 -for 10s
//	go run ./examples/mesh -added -work 1ms        # latency that the mesh adds to a call (added.go)
//	go run ./examples/mesh -soak 20 -controls 4    # random faults: processes killed, paused, cut off, disks wiped (soak.go)
//	go run ./examples/mesh -removal -proxies 24    # hosts fail and are ejected under traffic (removal.go)
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

// The ports of each machine. All machines use the same ports, and each has a loopback address of its own.
const (
	meshPort     = 7620
	outboundPort = 8304
	readyPort    = 8302
	controlPort  = 8306
	hostPort     = 8301
)

const healthPath = "/health" // of all hosts

var (
	controls     = flag.Int("controls", 3, "number of control servers")
	proxies      = flag.Int("proxies", 4, "number of proxies, each with a host")
	rate         = flag.Int("rate", 200, "requests per second")
	loadDuration = flag.Duration("for", 3*time.Second, "how long clients send requests")
	workTime     = flag.Duration("work", 10*time.Millisecond, "how long a host takes for a request")
	logLevel     = flag.String("log", "warn", "minimum log level of the programs")
	soakSeeds    = flag.Int("soak", 0, "number of seeds for which to run the test with random faults, one after the other (soak.go)")
	firstSeed    = flag.Uint64("seed", 1, "the first seed, with -soak")
	cpuShare     = flag.Float64("share", 1, "share of a processor's time that each control server gets, with -soak")
	removal      = flag.Bool("removal", false, "run the test in which hosts fail, die and are ejected by an operator under traffic")
	profileDir   = flag.String("profiles", "", "directory for a CPU profile of each process")
)

// process is a running program of the mesh.
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
	if *soakSeeds > 0 {
		return soakAll(*soakSeeds)
	}
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []*process
	defer func() {
		stop(all)
		for _, s := range toyHosts {
			s.stop()
		}
		toyHosts = nil
	}()
	var seeds []string
	for i := range min(3, *controls) {
		seeds = append(seeds, fmt.Sprintf("127.0.7.%d:%d", i+1, controlPort))
	}
	startedAt := time.Now()
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
		if err := startHost(p.ip, []string{"shop", "till"}[i%2], i); err != nil {
			return err
		}
	}
	if err := configure(seeds); err != nil {
		return err
	}
	fmt.Printf("configuration accepted by a majority of %d control servers %v after the start\n",
		*controls, time.Since(startedAt).Round(time.Millisecond))
	for _, p := range all[*controls:] {
		if err := waitUntil(10*time.Second, func() bool {
			return getStatus("http://"+p.ip+":"+strconv.Itoa(readyPort)+"/-/ready") == 200
		}); err != nil {
			return fmt.Errorf("%s is not ready: %w", p.ip, err)
		}
	}
	if *removal {
		time.Sleep(1500 * time.Millisecond) // until the heartbeats of all hosts have reached all proxies
		return testRemoval(all[*controls:], seeds)
	}
	if *added {
		time.Sleep(1500 * time.Millisecond) // until the heartbeats of all hosts have reached all proxies
		return compareLatency(all[*controls:])
	}
	fmt.Printf("%d proxies ready %v after the start\n", *proxies, time.Since(startedAt).Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond) // until the heartbeats of all hosts have reached all proxies
	before := usage(all)
	showDeduplication(all[*controls].ip)
	sent, served, latencies := sendLoad(all[*controls:])
	if sent == 0 {
		return fmt.Errorf("no request was sent")
	}
	after := usage(all)
	slices.Sort(latencies)
	fmt.Printf("%d of %d requests served, p50 %v, p99 %v (a host takes %v)\n",
		served, sent, latencies[len(latencies)/2].Round(100*time.Microsecond),
		latencies[len(latencies)*99/100].Round(100*time.Microsecond), *workTime)
	for _, kind := range []string{"beechwing-sidecar", "beechwing-control"} {
		fmt.Printf("%-9s  %.3f ms of CPU time per request, summed over its processes; %d to %d MB before the load, at most %d MB after it\n",
			kind, float64((after[kind].cpu-before[kind].cpu).Microseconds())/1000/float64(sent),
			before[kind].minMB, before[kind].maxMB, after[kind].maxMB)
	}
	if served < sent*99/100 {
		return fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return nil
}

// start writes the settings file of a process and starts the process.
func start(dir, program, ip, carrier string, seeds []string) (*process, error) {
	path, err := writeSettings(dir, program, ip, carrier, seeds, true)
	if err != nil {
		return nil, err
	}
	var args []string
	if program == "beechwing-sidecar" && *removal {
		args = append(args, "--agreed-ejection")
	}
	if *profileDir != "" {
		args = append(args, "--profile", filepath.Join(*profileDir, program+"-"+ip+".pprof"))
	}
	return launch(program, ip, path, os.Stderr, args...)
}

// writeSettings writes the settings file of a process and returns its path.
func writeSettings(dir, program, ip, carrier string, seeds []string, first bool) (string, error) {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	text := fmt.Sprintf("nodeName = %q\nstationRole = %q\nip = %q\nzone = \"a\"\nsparePorts = [%d,%d]\nseedDepots = [%s]\n"+
		"firstStart = %v\nbeatMs = 1500\ndataDir = %q\nappAddress = \"%s:%d\"\ncarrier = %q\nbounds = [\"passWindowS=60\",\"retryRatio=0.2\","+
		"\"retrySlack=60\",\"graceS=6\"]\n[docking]\noutboundDock = \"%s:%d\"\nreadyDock = \"%s:%d\"\ncontrolDock = \"%s:%d\"\n"+
		"[sizeLimits]\nmemoryMb = 256\n[tolerance]\nmachines = 1\n", program+"-"+ip, program, ip, meshPort, meshPort+15, strings.Join(quoted, ","),
		first, dataDir(dir, ip), ip, hostPort, carrier, ip, outboundPort, ip, readyPort, ip, controlPort)
	path := filepath.Join(dir, ip+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// dataDir returns the data directory of a machine.
func dataDir(dir, ip string) string { return filepath.Join(dir, "data-"+ip) }

// launch starts a program with a settings file.
func launch(program, ip, settings string, log io.Writer, args ...string) (*process, error) {
	cmd := exec.Command("target/"+program, append([]string{"run", "--log", *logLevel}, args...)...)
	cmd.Env = append(os.Environ(), "BEECHWING_SETTINGS="+settings, "GOMAXPROCS=1")
	cmd.Stderr = log
	return &process{program, ip, cmd}, cmd.Start()
}

// stop shuts processes down and waits until they have ended.
func stop(all []*process) {
	for _, p := range all {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range all {
		p.cmd.Wait()
	}
}

// startHost starts a toy host beside a proxy. The host sends heartbeats to this proxy.
func startHost(ip, carrier string, n int) error {
	id := fmt.Sprintf("i-%d", n)
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, hostPort))
	if err != nil {
		return err
	}
	var runs atomic.Int64
	s := &toyHost{id: id, carrier: carrier, ln: ln}
	toyHosts = append(toyHosts, s)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			w.Header().Set("Beechwing-Station", id)
			return
		}
		if r.Header.Get("Beechwing-Addressee") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		loseResponse := s.recordRun(r.Header.Get("Beechwing-Once-Key"))
		time.Sleep(*workTime)
		if loseResponse { // the request has run, but the client gets no response
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Beechwing-Consignment-Id", r.Header.Get("Beechwing-Consignment-Id"))
		w.Header().Set("Beechwing-Postmark", fmt.Sprintf("%s.%d", id, runs.Add(1)))
		fmt.Fprintf(w, "%s of %s responds to %s, requested by %s\n", id, carrier, r.URL.Path, r.Header.Get("Beechwing-Sender-Carrier"))
	}))
	go func() {
		for seq := 1; !s.stopped.Load(); seq++ {
			beat := fmt.Sprintf(`{"carrier":%q,"address":"%s:%d","zone":"a","edition":"v1","berths":16,"condition":"at_dock","sequence":%d}`,
				carrier, ip, hostPort, seq)
			if put(fmt.Sprintf("http://%s:%d/-/stations/%s", ip, controlPort, id), beat) == 200 {
				time.Sleep(1500 * time.Millisecond)
			} else {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return nil
}

// configure acts as the operator: it sends the configuration until a control server accepts it.
func configure(seeds []string) error {
	text, err := configText(1)
	if err != nil {
		return err
	}
	n := 0
	return waitUntil(10*time.Second, func() bool {
		n++
		return put("http://"+seeds[n%len(seeds)]+"/-/timetable", text) == 200
	})
}

// configText returns the configuration of a version. All versions have the same two routes, one for reads and one for operations.
func configText(version int) (string, error) {
	var c struct {
		Version  string           `json:"edition"`
		Routes   []map[string]any `json:"itineraries"`
		Services []map[string]any `json:"carriers"`
	}
	c.Version = fmt.Sprintf("r%d", version)
	for _, r := range []struct{ name, kind, carrier string }{{"read", "safe", "shop"}, {"pay", "tracked", "till"}} {
		c.Routes = append(c.Routes, map[string]any{"name": r.name, "depot": "shop.example", "lanePrefix": "/" + r.name + "/",
			"routeKind": r.kind, "timeoutMs": 1000, "targetMs": 200, "precedence": 1, "carrier": r.carrier, "tries": 2})
	}
	for _, name := range []string{"shop", "till"} {
		c.Services = append(c.Services, map[string]any{"name": name, "healthPath": healthPath, "berthCap": 110})
	}
	text, err := json.Marshal(c)
	return string(text), err
}

// waitUntil waits until a condition is met, and returns an error if this takes longer than the time-out.
func waitUntil(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %v", timeout)
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// getStatus returns the HTTP status of a GET request, or 0 if there is no response.
func getStatus(url string) int {
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// put returns the HTTP status of a PUT request, or 0 if there is no response.
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

// sendRequest sends request number n through the proxy at an IP address, with an idempotency key unless key is empty.
func sendRequest(ip, path, key string, n int) (*http.Response, string, error) {
	return sendRequestFor(hostSpellings[0], ip, path, key, n)
}

// hostSpellings are ways in which clients may write the host name of the routes.
var hostSpellings = []string{"shop.example", "Shop.Example", "shop.example:8080"}

// sendRequestFor is like sendRequest, with a host name as the client writes it.
func sendRequestFor(host, ip, path, key string, n int) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", ip, outboundPort, path), strings.NewReader("a seat"))
	if err != nil {
		return nil, "", err
	}
	req.Host = host
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

// showDeduplication sends the same operation twice. The second request gets the response of the first one.
func showDeduplication(ip string) {
	for n := range 2 {
		res, text, err := sendRequest(ip, "/pay/seat", "k-1", n)
		if err != nil {
			fmt.Println("request failed:", err)
			return
		}
		fmt.Printf("POST /pay/seat with key k-1 at %s: %d, postmark %s: %s", ip, res.StatusCode, res.Header.Get("Beechwing-Postmark"), text)
	}
}

// sendLoad sends requests at the rate of the flag -rate, to all proxies in turn. Every third one is an operation with a key.
func sendLoad(proxies []*process) (sent, served int, latencies []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	for end := time.Now().Add(*loadDuration); time.Now().Before(end); {
		<-tick.C
		sent++
		n := sent
		wg.Go(func() {
			path, key := "/read/list", ""
			if n%3 == 0 {
				path, key = "/pay/seat", fmt.Sprintf("k-%d", n+10)
			}
			startedAt := time.Now()
			res, _, err := sendRequest(proxies[n%len(proxies)].ip, path, key, n+10)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(startedAt))
			if err == nil && res.StatusCode == 200 {
				served++
			}
		})
	}
	wg.Wait()
	return sent, served, latencies
}

// resourceUsage is what the processes of one program have used: CPU time in total, and the smallest and largest memory of a
// process.
type resourceUsage struct {
	cpu          time.Duration
	minMB, maxMB int
}

// usage returns the resource usage by program.
func usage(all []*process) map[string]resourceUsage {
	out := map[string]resourceUsage{}
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
			if u.minMB == 0 || mb < u.minMB {
				u.minMB = mb
			}
			u.maxMB = max(u.maxMB, mb)
		}
		out[p.name] = u
	}
	return out
}
