package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"beechwing-sidecar": func() { os.Exit(Main()) }})
}

func TestCommandLine(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
