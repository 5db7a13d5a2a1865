package main

import (
	"testing"
	"time"
)

// report returns an error if too few calls were served on a path, and failed calls do not affect the percentiles.
func TestAddedTells(t *testing.T) {
	s := &samples{}
	for path := range pathCount {
		for n := range 200 {
			s.add(path, time.Duration(n+1)*time.Millisecond*time.Duration(path+1), true)
		}
		s.add(path, time.Hour, false)
	}
	if got := s.percentileMs(direct, 99); got != 199 {
		t.Errorf("99th percentile of 1 to 200 ms: %v, want 199", got)
	}
	if got := s.percentileMs(proxied, 50) - s.percentileMs(direct, 50); got != 101 {
		t.Errorf("difference of the medians of 2 to 400 ms and of 1 to 200 ms: %v, want 101", got)
	}
	if err := s.report(); err != nil || s.failed != [pathCount]int{1, 1, 1} {
		t.Errorf("%v, failed %v", err, s.failed)
	}
	s.took[keyed] = s.took[keyed][:50]
	if s.report() == nil {
		t.Error("no error with only 50 calls on a path")
	}
}
