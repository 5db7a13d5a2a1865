package main

import "testing"

// Hosts fail, die and are ejected by an operator under traffic, and a proxy is killed. The test fails if an operation ran twice,
// if a successful one did not run, or if a host received requests while it was ejected by the operator.
func TestRemovalUnderTraffic(t *testing.T) {
	t.Chdir("../..")
	*removal, *proxies, *rate = true, 24, 150
	if err := run(); err != nil {
		t.Fatal(err)
	}
}

// Processes are killed, paused and cut off and a disk is wiped at random, with two or three overlapping faults, under traffic.
// The test fails if the runs recorded by the hosts, the configuration that is read back or the processes' own invariants are
// wrong. For a longer run: go run ./examples/mesh -soak 100 -controls 4 -seed 1000.
func TestSoak(t *testing.T) {
	t.Chdir("../..")
	*soakSeeds, *controls, *proxies, *rate = 1, 4, 6, 60
	defer func() { *soakSeeds = 0 }()
	if err := run(); err != nil {
		t.Fatal(err)
	}
}
