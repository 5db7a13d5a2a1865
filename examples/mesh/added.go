package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file measures the latency that the mesh adds to a call. Of three consecutive calls, one goes to a host directly, one
// through two proxies, and one through two proxies with a key that has to be claimed and settled. All use persistent connections
// of the same client.

var added = flag.Bool("added", false, "only compare the latency of calls through the mesh with that of direct calls")

const (
	warmUpTime = time.Second // calls in this time are not counted, because connections are opened
	minSamples = 100         // minimum number of served calls of each kind for percentiles
)

// callPath is the way that a call takes.
type callPath int

const (
	direct callPath = iota // to the host
	proxied
	keyed
	pathCount
)

func (p callPath) String() string {
	return [...]string{"direct", "by two proxies", "the same with a key"}[p]
}

// samples holds the latencies of served calls and the number of failed calls, by path.
type samples struct {
	mu     sync.Mutex
	took   [pathCount][]time.Duration
	failed [pathCount]int
}

func (s *samples) add(path callPath, took time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !served {
		s.failed[path]++
		return
	}
	s.took[path] = append(s.took[path], took)
}

// compareLatency sends calls on the three paths in turn at the rate of the flag -rate, and prints what the mesh adds at each
// percentile.
func compareLatency(proxies []*process) error {
	s := &samples{}
	startedAt := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	var calls sync.WaitGroup
	for n := 0; time.Since(startedAt) < warmUpTime+*loadDuration; n++ {
		<-tick.C
		counted := time.Since(startedAt) > warmUpTime
		path := callPath(n % int(pathCount))
		calls.Go(func() {
			sentAt := time.Now()
			served := sendCall(path, proxies, n)
			if took := time.Since(sentAt); counted {
				s.add(path, took, served)
			}
		})
	}
	calls.Wait()
	return s.report()
}

// sendCall sends one call and reports whether it was served.
func sendCall(path callPath, proxies []*process, n int) bool {
	ip := proxies[n/int(pathCount)%len(proxies)].ip
	switch path {
	case direct:
		return callHost(toyHosts[n/int(pathCount)%len(toyHosts)], n)
	case proxied:
		res, _, err := sendRequest(ip, "/read/list", "", n+10)
		return err == nil && res.StatusCode == http.StatusOK
	}
	res, _, err := sendRequest(ip, "/pay/seat", fmt.Sprintf("added-%d", n), n+10)
	return err == nil && res.StatusCode == http.StatusOK
}

// callHost sends a call to a host directly, with the headers that the host's proxy would send.
func callHost(s *toyHost, n int) bool {
	url := "http://" + s.ln.Addr().String() + "/read/list"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("a seat"))
	if err != nil {
		return false
	}
	req.Header.Set("Beechwing-Consignment-Id", fmt.Sprintf("d%d", n))
	req.Header.Set("Beechwing-Addressee", s.id)
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// report prints the percentiles of each path, and their differences from those of direct calls.
func (s *samples) report() error {
	for path := range s.took {
		if len(s.took[path]) < minSamples {
			return fmt.Errorf("%v: only %d calls served and %d failed, too few for percentiles",
				callPath(path), len(s.took[path]), s.failed[path])
		}
		slices.Sort(s.took[path])
	}
	fmt.Printf("%-20s %7s %7s %9s %9s %9s %9s\n", "call", "served", "failed", "p50 ms", "added", "p99 ms", "added")
	for path := range s.took {
		p50, p99 := s.percentileMs(callPath(path), 50), s.percentileMs(callPath(path), 99)
		fmt.Printf("%-20v %7d %7d %9.2f %9.2f %9.2f %9.2f\n", callPath(path), len(s.took[path]), s.failed[path],
			p50, p50-s.percentileMs(direct, 50), p99, p99-s.percentileMs(direct, 99))
	}
	return nil
}

// percentileMs returns a percentile in milliseconds. The latencies must be sorted.
func (s *samples) percentileMs(path callPath, percent int) float64 {
	took := s.took[path]
	return took[len(took)*percent/100].Seconds() * 1000
}
