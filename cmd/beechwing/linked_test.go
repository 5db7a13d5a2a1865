package main

import (
	"debug/elf"
	"os"
	"testing"
)

// builtProgramEnv is the environment variable with the path of the program that the deploy file's build command made.
const builtProgramEnv = "BEECHWING_BUILT"

// TestBuiltProgramHasALoader guards against a build that links the program statically. The platform sometimes preloads a library
// into the program, which requires a dynamic loader.
func TestBuiltProgramHasALoader(t *testing.T) {
	path := os.Getenv(builtProgramEnv)
	if path == "" {
		t.Skip(builtProgramEnv + " is not set; .ci/run sets it after the deploy build")
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
