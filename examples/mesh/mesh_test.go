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
