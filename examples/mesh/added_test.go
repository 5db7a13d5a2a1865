package main

import (
	"testing"
	"time"
)

// What is added is told by kind only where enough calls were served, and failed calls count for no percentile.
func TestAddedTells(t *testing.T) {
	s := &samples{}
	for path := range pathsTaken {
		for n := range 200 {
			s.add(path, time.Duration(n+1)*time.Millisecond*time.Duration(path+1), true)
		}
		s.add(path, time.Hour, false)
	}
	if got := s.at(direct, 99); got != 199 {
		t.Errorf("the 99th percentile of 1 to 200 ms is told as %v", got)
	}
	if got := s.at(proxied, 50) - s.at(direct, 50); got != 101 {
		t.Errorf("the median of 2 to 400 ms is above that of 1 to 200 ms by %v", got)
	}
	if err := s.tell(); err != nil || s.failed != [pathsTaken]int{1, 1, 1} {
		t.Errorf("%v, failed %v", err, s.failed)
	}
	s.took[keyed] = s.took[keyed][:50]
	if s.tell() == nil {
		t.Error("50 calls have a 99th percentile")
	}
}
