package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"beechwing-control": func() { os.Exit(Main()) }, "get": get})
}

// get prints what an address answers, and asks until the answer holds a word.
func get() {
	url, word := os.Args[1], os.Args[2]
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if strings.Contains(string(text), word) {
			os.Stdout.Write(text)
			return
		}
	}
	os.Exit(1)
}

func TestCommandLine(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
