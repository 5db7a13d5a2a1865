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

// What the mesh adds to a call, from paired calls: of each three, one goes to a host directly, one by two proxies, and one by
// two proxies with a key that is claimed and settled. All go by kept connections of the same client.

var added = flag.Bool("added", false, "only compare calls through the mesh with direct ones")

const (
	warmUp          = time.Second // of calls that are not counted: connections are opened
	leastComparable = 100         // calls of each kind, below which no percentile is told
)

// pathTaken is how a call goes.
type pathTaken int

const (
	direct pathTaken = iota
	proxied
	keyed
	pathsTaken
)

func (p pathTaken) String() string {
	return [...]string{"direct", "by two proxies", "the same with a key"}[p]
}

// samples are the times of calls by how they went.
type samples struct {
	mu     sync.Mutex
	took   [pathsTaken][]time.Duration
	failed [pathsTaken]int
}

func (s *samples) add(path pathTaken, took time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !served {
		s.failed[path]++
		return
	}
	s.took[path] = append(s.took[path], took)
}

// compareAdded sends calls of the three kinds in turn at the rate, and tells what the mesh adds at each percentile.
func compareAdded(proxies []*process) error {
	s := &samples{}
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	var calls sync.WaitGroup
	for n := 0; time.Since(began) < warmUp+*length; n++ {
		<-tick.C
		counted := time.Since(began) > warmUp
		path := pathTaken(n % int(pathsTaken))
		calls.Go(func() {
			at := time.Now()
			served := callBy(path, proxies, n)
			if took := time.Since(at); counted {
				s.add(path, took, served)
			}
		})
	}
	calls.Wait()
	return s.tell()
}

// callBy sends one call.
func callBy(path pathTaken, proxies []*process, n int) bool {
	ip := proxies[n/int(pathsTaken)%len(proxies)].ip
	switch path {
	case direct:
		return askHost(servers[n/int(pathsTaken)%len(servers)], n)
	case proxied:
		res, _, err := ask(ip, "/read/list", "", n+10)
		return err == nil && res.StatusCode == http.StatusOK
	}
	res, _, err := ask(ip, "/pay/seat", fmt.Sprintf("added-%d", n), n+10)
	return err == nil && res.StatusCode == http.StatusOK
}

// askHost sends a call to a host without the mesh, as its proxy would.
func askHost(s *server, n int) bool {
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

// tell prints the percentiles of each kind, and what they are above those of direct calls.
func (s *samples) tell() error {
	for path := range s.took {
		if len(s.took[path]) < leastComparable {
			return fmt.Errorf("%v: only %d calls were served, %d failed", pathTaken(path), len(s.took[path]), s.failed[path])
		}
		slices.Sort(s.took[path])
	}
	fmt.Printf("%-20s %7s %7s %9s %9s %9s %9s\n", "call", "served", "failed", "p50 ms", "added", "p99 ms", "added")
	for path := range s.took {
		p50, p99 := s.at(pathTaken(path), 50), s.at(pathTaken(path), 99)
		fmt.Printf("%-20v %7d %7d %9.2f %9.2f %9.2f %9.2f\n", pathTaken(path), len(s.took[path]), s.failed[path],
			p50, p50-s.at(direct, 50), p99, p99-s.at(direct, 99))
	}
	return nil
}

// at is a percentile in milliseconds.
func (s *samples) at(path pathTaken, percent int) float64 {
	took := s.took[path]
	return took[len(took)*percent/100].Seconds() * 1000
}
