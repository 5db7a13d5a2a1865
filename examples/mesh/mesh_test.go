package main

import "testing"

// Hosts fail, die and are taken out by hand under live traffic, and a proxy is killed: the hosts' records judge.
func TestRemovalUnderTraffic(t *testing.T) {
	t.Chdir("../..")
	*removal, *proxies, *rate = true, 24, 150
	if err := run(); err != nil {
		t.Fatal(err)
	}
}

// Processes are killed, stopped, cut off and robbed of a disk by lot, two or three troubles at a time, under traffic: the hosts' records,
// what is read back and the processes' own invariants judge. For hours: go run ./examples/mesh -soak 100 -controls 4 -seed 1000.
func TestSoak(t *testing.T) {
	t.Chdir("../..")
	*soaks, *controls, *proxies, *rate = 1, 4, 6, 60
	defer func() { *soaks = 0 }()
	if err := run(); err != nil {
		t.Fatal(err)
	}
}
