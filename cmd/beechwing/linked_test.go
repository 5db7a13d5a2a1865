package main

import (
	"debug/elf"
	"os"
	"testing"
)

// builtProgram names the variable with the path of a program that the deploy file's build made.
const builtProgram = "BEECHWING_BUILT"

// TestBuiltProgramHasALoader guards against a build that links the program statically: the platform loads a library
// into it on some days, which only a dynamic loader can do.
func TestBuiltProgramHasALoader(t *testing.T) {
	path := os.Getenv(builtProgram)
	if path == "" {
		t.Skip(builtProgram + " is not set; .ci/run sets it after the deploy build")
	}
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return
		}
	}
	t.Errorf("%s has no dynamic loader", path)
}
