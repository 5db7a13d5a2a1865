package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/standin"
)

// TestMain lets this binary be the stand-in proxy too, as beechwing-lab is.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "standin" {
		if err := standin.Run(os.Args[2]); err != nil {
			os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSelftest: the judge names each planted defect and accuses a right proxy of none.
func TestSelftest(t *testing.T) {
	var out bytes.Buffer
	if err := selftest(t.Context(), &out); err != nil {
		t.Errorf("%v\n%s", err, &out)
	}
}

// build makes the program as it stands.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "beechwing")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "beechwing/cmd/beechwing").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// TestSmallExperiments plays the experiments that are small enough for CI on the program as it stands.
func TestSmallExperiments(t *testing.T) {
	binary := build(t)
	files, err := filepath.Glob("../../examples/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		f, err := plan.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		s := f.Draw(f.Seed)
		if len(s.Proxies) > 12 {
			continue
		}
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			for range playsMost {
				var out bytes.Buffer
				v, err := (&play{binary: binary}).run(t.Context(), &out, path)
				if err == nil && v.Void != "" {
					continue
				}
				if err != nil || !v.OK() {
					t.Errorf("%v\n%s", err, &out)
				}
				return
			}
			t.Error("the machine is too busy for any verdict")
		})
	}
}

// TestSchedule: the same file and seed give the same schedule to the byte, another seed another one.
func TestSchedule(t *testing.T) {
	draw := func(seed uint64) string {
		f, err := plan.Load("../../examples/experiments/silent-link.toml")
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		if err := f.Draw(seed).Write(&text); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	first, again, other := draw(1), draw(1), draw(2)
	if first != again || first == other || strings.Count(first, "\n") < 500 {
		t.Error("a schedule is not its seed's alone")
	}
}

// TestMistakes: every mistake of a file is named at once, by line and field.
func TestMistakes(t *testing.T) {
	_, err := plan.Parse("x.toml", []byte(`name = "x"
span = "0s"
[[zone]]
name = "a"
proxies = 1
hosts = 1
[[class]]
name = "look"
effect = "maybe"
aim = "1s"
deadline = "1s"
share = 1
[[fault]]
kind = "silent"
at = "1s"
to = "hosts@b"
`))
	if err == nil {
		t.Fatal("taken")
	}
	for _, want := range []string{"x.toml:2: span: ", "x.toml:9: class.0.effect: ", "x.toml:15: fault.0.at: ", `x.toml:16: fault.0.to: "b"`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in\n%v", want, err)
		}
	}
}
