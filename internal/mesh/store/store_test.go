package store

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

func write(t *testing.T, v *Store, puts ...Put) {
	t.Helper()
	if err := v.Write(puts); err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, dir string) (*Store, map[string][]byte, bool) {
	t.Helper()
	v, values, found, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return v, values, found
}

// The file of a recorded day is cut, and spoilt, at every byte: what was promised before the batch at hand is always there, and
// what is there of a name is a value that was once written for it.
func TestOpensAfterATornWrite(t *testing.T) {
	dir := t.TempDir()
	v, _, found := open(t, dir)
	if found {
		t.Fatal("an empty folder holds nothing")
	}
	type point struct {
		size int64
		last int
	}
	path := v.path(v.generation)
	size := func() int64 {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	var points []point
	for i := 1; i <= 6; i++ {
		write(t, v, Put{"a", fmt.Appendf(nil, "value %d", i)}, Put{fmt.Sprintf("b%d", i), []byte("x")})
		points = append(points, point{size(), i})
	}
	v.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := points[0].size; cut <= int64(len(text)); cut++ {
		promised := 0
		var until int64
		for _, p := range points {
			if p.size <= cut {
				promised, until = p.last, p.size
			}
		}
		for _, way := range []string{"cut", "zeros", "hole"} {
			other := t.TempDir()
			kept := append([]byte{}, text[:cut]...)
			switch way {
			case "zeros": // the length went to the disk, the bytes did not
				kept = append(kept, make([]byte, 64)...)
			case "hole": // a middle of the batch is missing
				for i := until; i < min(until+20, cut); i++ {
					kept[i] = 0
				}
			}
			if err := os.WriteFile(filepath.Join(other, filepath.Base(path)), kept, 0o644); err != nil {
				t.Fatal(err)
			}
			w, values, found := open(t, other)
			var got int
			fmt.Sscanf(string(values["a"]), "value %d", &got)
			if !found || got < promised || got > promised+1 {
				t.Fatalf("%s at %d: found %v, a is %q, promised %d", way, cut, found, values["a"], promised)
			}
			write(t, w, Put{"a", []byte("value 99")}) // and what is written behind it is found as well
			w.Close()
			w, values, _ = open(t, other)
			if string(values["a"]) != "value 99" {
				t.Fatalf("%s at %d: written behind it, read back %q", way, cut, values["a"])
			}
			w.Close()
		}
	}
}

// A start that is cut off while it writes the next generation leaves the one before it.
func TestGenerationWithoutItsMarkDoesNotCount(t *testing.T) {
	dir := t.TempDir()
	v, _, _ := open(t, dir)
	write(t, v, Put{"a", []byte("kept")})
	v.Close()
	text, err := os.ReadFile(v.path(v.generation))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range 20 {
		os.WriteFile(v.path(90), text[:cut], 0o644)
		w, values, found := open(t, dir)
		if !found || string(values["a"]) != "kept" {
			t.Fatalf("cut at %d: %v, %q", cut, found, values["a"])
		}
		w.Close()
	}
}

// What is written over and over does not fill the disk, and what was taken away stays away.
func TestShrinks(t *testing.T) {
	dir := t.TempDir()
	v, _, _ := open(t, dir)
	big := make([]byte, 1<<20)
	write(t, v, Put{"gone", []byte("x")}, Put{"stays", []byte("y")})
	write(t, v, Put{"gone", nil})
	for range 60 {
		write(t, v, Put{"a", big})
	}
	v.Close()
	files, _ := os.ReadDir(dir)
	if len(files) != 1 {
		t.Fatalf("%d files", len(files))
	}
	if info, _ := files[0].Info(); info.Size() > leastTurn+4<<20 {
		t.Fatalf("%d bytes", info.Size())
	}
	_, values, _ := open(t, dir)
	if len(values) != 2 || string(values["stays"]) != "y" {
		t.Fatalf("%d names", len(values))
	}
}

// A disk that takes no more: the write that does not fit is told as failed, nothing of it may be promised, and what was promised
// before it is there at the next start.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	v, _, _ := open(t, dir)
	write(t, v, Put{"a", []byte("kept")})
	info, err := os.Stat(v.path(v.generation))
	if err != nil {
		t.Fatal(err)
	}
	signal.Ignore(unix.SIGXFSZ) // then a file that may not grow is an error of the write, as on a full disk
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &was); err != nil {
		t.Fatal(err)
	}
	full := unix.Rlimit{Cur: uint64(info.Size()) + 100, Max: was.Max}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &full); err != nil {
		t.Fatal(err)
	}
	err = v.Write([]Put{{"a", make([]byte, 4096)}, {"b", []byte("x")}})
	if reset := unix.Setrlimit(unix.RLIMIT_FSIZE, &was); reset != nil {
		t.Fatal(reset)
	}
	if err == nil {
		t.Fatal("a write that does not fit went well")
	}
	_, values, found := open(t, dir)
	if !found || string(values["a"]) != "kept" || len(values) != 1 {
		t.Errorf("found %v, %d values, a = %q", found, len(values), values["a"])
	}
}
