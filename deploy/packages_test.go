// Package deploy_test checks that the Debian packages listed in a deploy file suffice for its build command.
package deploy_test

import (
	"errors"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// systemFile is the part of deploy/system.toml that describes the build.
type systemFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

func readSystemFile(t *testing.T) systemFile {
	t.Helper()
	text, err := os.ReadFile("system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file systemFile
	if err := toml.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	return file
}

// installed is the content of this machine's package database.
type installed struct {
	depends   map[string][]string // by package: its dependencies, including all alternatives
	providers map[string][]string // by virtual package: the packages that provide it
	essential []string
}

func readInstalled(t *testing.T) *installed {
	t.Helper()
	const format = `${Package}\t${Essential}\t${Provides}\t${Pre-Depends}, ${Depends}\n`
	out, err := exec.Command("dpkg-query", "-W", "-f", format).Output()
	if err != nil {
		t.Fatalf("reading the package database with dpkg-query: %v", err)
	}
	all := &installed{depends: map[string][]string{}, providers: map[string][]string{}}
	for line := range strings.Lines(string(out)) {
		field := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		name := field[0]
		all.depends[name] = append(all.depends[name], packageNames(field[3])...)
		for _, virtual := range packageNames(field[2]) {
			all.providers[virtual] = append(all.providers[virtual], name)
		}
		if field[1] == "yes" {
			all.essential = append(all.essential, name)
		}
	}
	return all
}

// packageNames returns the names in a dependency field such as "libc6 (>= 2.36), default-mta | mail-transport-agent".
func packageNames(field string) []string {
	var names []string
	for _, entry := range strings.FieldsFunc(field, func(r rune) bool { return r == ',' || r == '|' }) {
		if word := strings.Fields(entry); len(word) > 0 {
			name, _, _ := strings.Cut(word[0], ":")
			names = append(names, name)
		}
	}
	return names
}

// closure returns the packages that exist on a machine where only these packages, their dependencies and the essential packages
// are installed.
func (i *installed) closure(packages []string) map[string]bool {
	closed := map[string]bool{}
	open := slices.Concat(packages, i.essential)
	for len(open) > 0 {
		name := open[len(open)-1]
		open = open[:len(open)-1]
		if closed[name] {
			continue
		}
		open = append(open, i.providers[name]...)
		if _, known := i.depends[name]; known {
			closed[name] = true
			open = append(open, i.depends[name]...)
		}
	}
	return closed
}

// commands creates a directory to use as the only entry of PATH. It links the go command and the commands of the closure of some
// packages.
func (i *installed) commands(t *testing.T, packages []string) string {
	t.Helper()
	dir := t.TempDir()
	closed := i.closure(packages)
	for _, name := range packages {
		if !closed[name] {
			t.Errorf("package %s is listed but not installed on this machine", name)
		}
	}
	list, err := exec.Command("dpkg-query", append([]string{"-L"}, slices.Sorted(maps.Keys(closed))...)...).Output()
	if err != nil {
		t.Fatal(err)
	}
	for path := range strings.Lines(string(list)) {
		path = strings.TrimSpace(path)
		if slices.Contains([]string{"/bin", "/usr/bin", "/usr/sbin", "/sbin"}, filepath.Dir(path)) {
			link(t, path, filepath.Join(dir, filepath.Base(path)))
		}
	}
	goCommand, err := exec.LookPath("go")
	if err != nil {
		t.Fatal(err)
	}
	link(t, goCommand, filepath.Join(dir, "go"))
	return dir
}

func link(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Symlink(from, to); err != nil && !errors.Is(err, os.ErrExist) {
		t.Fatal(err)
	}
}

// run runs a shell command line at the root of the repository, with the directory commands as PATH and an empty Go build cache.
func run(t *testing.T, line, commands string) ([]byte, error) {
	t.Helper()
	cache := t.TempDir()
	cmd := exec.CommandContext(t.Context(), filepath.Join(commands, "sh"), "-c", line)
	cmd.Dir = ".."
	cmd.Env = append(os.Environ(), "PATH="+commands, "GOCACHE="+cache, "CC=")
	return cmd.CombinedOutput()
}

// TestBuildNeedsListedPackages checks that the build succeeds from scratch with only the Go toolchain and the commands of the
// listed packages, their dependencies and Debian's essential packages. It fails if the build needs a package that is not listed.
func TestBuildNeedsListedPackages(t *testing.T) {
	file := readSystemFile(t)
	machine := readInstalled(t)
	if out, err := run(t, file.Build, machine.commands(t, file.Packages)); err != nil {
		t.Errorf("%s\nwith the packages %v: %v\n%s", file.Build, file.Packages, err, out)
	}
}

// TestUnlistedPackageIsFound checks that the method of the test above detects a missing package: tools of unlisted packages must
// not be found.
func TestUnlistedPackageIsFound(t *testing.T) {
	file := readSystemFile(t)
	machine := readInstalled(t)
	for _, tool := range []string{"as", "gcc", "ld"} {
		if out, err := run(t, tool+" --version", machine.commands(t, file.Packages)); err != nil {
			t.Errorf("%s: %v\n%s", tool, err, out)
		}
		if out, err := run(t, tool+" --version", machine.commands(t, []string{"ca-certificates"})); err == nil {
			t.Errorf("%s was found although its package is not listed\n%s", tool, out)
		}
	}
	if out, err := run(t, "git --version && make --version", machine.commands(t, file.Packages)); err == nil {
		t.Errorf("tools of unlisted packages were found\n%s", out)
	}
}
