package store

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
	"golang.org/x/sys/unix"
)

func write(t *testing.T, s *Store, puts ...Put) {
	t.Helper()
	if err := s.Write(puts); err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, dir string) (*Store, map[string][]byte, bool) {
	t.Helper()
	s, values, found, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, values, found
}

// The file is cut and damaged at every byte. The batches before the last one must always be found, and every
// value found must be one that was once written for its name.
func TestOpensAfterATornWrite(t *testing.T) {
	disk := newMemoryDisk(nil)
	s, _, found := openMemory(t, disk)
	if found {
		t.Fatal("found a store in an empty directory")
	}
	type point struct{ size, last int }
	var points []point
	for i := 1; i <= 6; i++ {
		write(t, s, Put{"a", fmt.Appendf(nil, "value %d", i)}, Put{fmt.Sprintf("b%d", i), []byte("x")})
		points = append(points, point{disk.used(), i})
	}
	s.Close()
	name := fileName(s.generation)
	text := disk.names[name].content
	for cut := points[0].size; cut <= len(text); cut++ {
		acknowledged, lastSynced := 0, 0
		for _, p := range points {
			if p.size <= cut {
				acknowledged, lastSynced = p.last, p.size
			}
		}
		for _, damage := range []string{"cut", "zeros", "hole"} {
			kept := append([]byte{}, text[:cut]...)
			switch damage {
			case "zeros": // the length reached the disk, the bytes did not
				kept = append(kept, make([]byte, 64)...)
			case "hole": // the middle of the batch is missing
				for i := lastSynced; i < min(lastSynced+20, cut); i++ {
					kept[i] = 0
				}
			}
			other := newMemoryDisk(map[string][]byte{name: kept})
			reopened, values, found := openMemory(t, other)
			var got int
			fmt.Sscanf(string(values["a"]), "value %d", &got)
			if !found || got < acknowledged || got > acknowledged+1 {
				t.Fatalf("%s at %d: found %v, a is %q, acknowledged %d", damage, cut, found, values["a"], acknowledged)
			}
			write(t, reopened, Put{"a", []byte("value 99")}) // what is written after the damage must be found as well
			reopened.Close()
			reopened, values, _ = openMemory(t, other)
			if string(values["a"]) != "value 99" {
				t.Fatalf("%s at %d: read back %q after a later write", damage, cut, values["a"])
			}
			reopened.Close()
		}
	}
}

// A start that is interrupted while it writes the next generation must leave the previous one in force.
func TestGenerationWithoutItsMarkDoesNotCount(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir)
	write(t, s, Put{"a", []byte("kept")})
	s.Close()
	text, err := os.ReadFile(filepath.Join(dir, fileName(s.generation)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range text {
		os.WriteFile(filepath.Join(dir, fileName(90)), text[:cut], 0o644)
		reopened, values, found := open(t, dir)
		if !found || string(values["a"]) != "kept" {
			t.Fatalf("cut at %d: %v, %q", cut, found, values["a"])
		}
		reopened.Close()
	}
}

// A power loss may keep the completion mark of a new generation and lose a value before it. The previous
// generation must be read then.
func TestGenerationWithAHoleDoesNotCount(t *testing.T) {
	disk := newMemoryDisk(nil)
	s, _, _ := openMemory(t, disk)
	write(t, s, Put{"a", []byte("a value of some length")})
	s.Close()
	name := fileName(s.generation)
	text := disk.names[name].content
	at := bytes.Index(text, []byte("value of"))
	corrupted := bytes.Clone(text)
	clear(corrupted[at : at+5])
	after := newMemoryDisk(map[string][]byte{name: text, fileName(90): corrupted})
	_, values, found := openMemory(t, after)
	if !found || string(values["a"]) != "a value of some length" {
		t.Fatalf("found %v, a = %q", found, values["a"])
	}
}

// Generations of the previous version, in which marks had no checksum and names were removed by deletions, must
// still be read.
func TestReadsTheFormBefore(t *testing.T) {
	db, err := buntdb.Open(filepath.Join(t.TempDir(), "db"))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	text := func(seq uint32, value string) string { return record{"", seq, []byte(value)}.text() }
	err = db.Update(func(tx *buntdb.Tx) error {
		tx.Set("a/0", text(2, "new"), nil)
		tx.Set("a/1", text(1, "old"), nil)
		_, _, err := tx.Set(completionMark, "1", nil)
		return err
	})
	var file bytes.Buffer
	if saved := db.Save(&file); err != nil || saved != nil {
		t.Fatal(err, saved)
	}
	file.WriteString("*2\r\n$3\r\ndel\r\n$3\r\nb/1\r\n")
	_, values, found := openMemory(t, newMemoryDisk(map[string][]byte{fileName(7): file.Bytes()}))
	if !found || len(values) != 1 || string(values["a"]) != "new" {
		t.Fatalf("found %v, %q", found, values)
	}
}

// A file that cannot be read to its end must be an error. Otherwise acknowledged values in the rest of it would
// pass for lost.
func TestReadErrorIsNoEnd(t *testing.T) {
	disk := newMemoryDisk(nil)
	s, _, _ := openMemory(t, disk)
	write(t, s, Put{"a", []byte("kept")})
	write(t, s, Put{"a", []byte("newer")})
	disk.readFail = errRead
	if _, _, _, err := OpenDisk(disk); !errors.Is(err, errRead) {
		t.Fatalf("opened on a disk that cannot be read: %v", err)
	}
	disk.readFail = nil
	if _, values, _ := openMemory(t, disk); string(values["a"]) != "newer" {
		t.Fatalf("a = %q", values["a"])
	}
}

// Opening on a full disk reads the stored values; the store is usable once the disk has room.
func TestOpensOnAFullDisk(t *testing.T) {
	disk := newMemoryDisk(nil)
	s, _, _ := openMemory(t, disk)
	write(t, s, Put{"a", []byte("kept")})
	s.Close()
	disk.capacity = disk.used()
	s, values, found := openMemory(t, disk)
	if !found || string(values["a"]) != "kept" {
		t.Fatalf("found %v, a = %q", found, values["a"])
	}
	for range 3 {
		if err := s.Write([]Put{{"b", []byte("x")}}); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("write on a full disk: %v", err)
		}
		if disk.used() > disk.capacity || len(disk.names) != 1 {
			t.Fatalf("%d files of %d bytes are left", len(disk.names), disk.used())
		}
	}
	disk.capacity = 0
	write(t, s, Put{"c", []byte("y")})
	_, values, _ = openMemory(t, disk)
	if len(values) != 2 || string(values["a"]) != "kept" || string(values["c"]) != "y" || len(disk.names) != 1 {
		t.Fatalf("%q in %d files", values, len(disk.names))
	}
}

// The disk fills up. Without room for a new generation the store goes on in its current file. It fails when the
// file cannot grow, gives back what the failed write took, and recovers by itself once there is room for the
// live values.
func TestFillsUpAndRecovers(t *testing.T) {
	disk := newMemoryDisk(nil)
	disk.capacity = 64 << 10
	s, _, _ := openMemory(t, disk)
	value := func(i int) []byte { return bytes.Repeat([]byte{byte('a' + i%26)}, 1000) }
	kept, failed := 0, 0
	for i := 1; failed == 0; i++ {
		s.compactAt = 40 << 10
		var batch []Put
		for name := range 20 { // 20 KB are live
			batch = append(batch, Put{fmt.Sprint(name), value(i)})
		}
		if i > 1 {
			batch = batch[:1]
		}
		before := disk.used()
		if s.Write(batch) != nil {
			if failed = i; disk.used() != before {
				t.Fatalf("%d bytes of the failed write are left", disk.used()-before)
			}
			continue
		}
		kept = i
		if i == 10 { // from here on other files fill the disk
			disk.capacity = disk.used() + 4<<10
		}
	}
	if kept < 10 {
		t.Fatalf("failed at %d", failed)
	}
	_, values, _ := openMemory(t, disk)
	if !bytes.Equal(values["0"], value(kept)) {
		t.Fatalf("kept %d, found %.8q", kept, values["0"])
	}
	disk.capacity = disk.used() + 24<<10 // other files have made room for the live values
	write(t, s, Put{"0", value(100)})
	if _, values, _ = openMemory(t, disk); len(values) != 20 || !bytes.Equal(values["0"], value(100)) {
		t.Fatalf("%d values, found %.8q", len(values), values["0"])
	}
	if len(disk.names) != 1 || disk.used() > 24<<10 {
		t.Fatalf("%d files of %d bytes are left", len(disk.names), disk.used())
	}
}

// Rewriting a value again and again must not fill the disk, and removed names must stay removed.
func TestShrinks(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir)
	big := make([]byte, 1<<20)
	write(t, s, Put{"gone", []byte("x")}, Put{"stays", []byte("y")})
	write(t, s, Put{"gone", nil})
	for range 60 {
		write(t, s, Put{"a", big})
	}
	s.Close()
	files, _ := os.ReadDir(dir)
	if len(files) != 1 {
		t.Fatalf("%d files", len(files))
	}
	if info, _ := files[0].Info(); info.Size() > minCompactionBytes+4<<20 {
		t.Fatalf("%d bytes", info.Size())
	}
	_, values, _ := open(t, dir)
	if len(values) != 2 || string(values["stays"]) != "y" {
		t.Fatalf("%d names", len(values))
	}
}

// A write that does not fit on the disk must return an error. None of its values may be stored, and the earlier
// values must be there at the next start.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := open(t, dir)
	write(t, s, Put{"a", []byte("kept")})
	info, err := os.Stat(filepath.Join(dir, fileName(s.generation)))
	if err != nil {
		t.Fatal(err)
	}
	signal.Ignore(unix.SIGXFSZ) // makes a file that may not grow return an error from the write, as on a full disk
	var previous unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &previous); err != nil {
		t.Fatal(err)
	}
	full := unix.Rlimit{Cur: uint64(info.Size()) + 100, Max: previous.Max}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &full); err != nil {
		t.Fatal(err)
	}
	err = s.Write([]Put{{"a", make([]byte, 4096)}, {"b", []byte("x")}})
	if reset := unix.Setrlimit(unix.RLIMIT_FSIZE, &previous); reset != nil {
		t.Fatal(reset)
	}
	if err == nil {
		t.Fatal("a write that does not fit succeeded")
	}
	_, values, found := open(t, dir)
	if !found || string(values["a"]) != "kept" || len(values) != 1 {
		t.Errorf("found %v, %d values, a = %q", found, len(values), values["a"])
	}
	write(t, s, Put{"c", []byte("later")}) // the store goes on once there is room
	_, values, _ = open(t, dir)
	if len(values) != 2 || string(values["a"]) != "kept" || string(values["c"]) != "later" {
		t.Errorf("after room was made: %q", values)
	}
}
