package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// scenario is a sequence of writes on a disk that may fail. Every value names the batch that it came with.
type scenario struct {
	disk    *memoryDisk
	store   *Store
	batch   int
	history []map[string]string // for each batch, from 0: the values it puts; an empty value removes the name
}

// newScenario starts on a disk that already holds a generation.
func newScenario(t *testing.T, fail map[int]fault) *scenario {
	t.Helper()
	before := newMemoryDisk(nil)
	s, _, _ := openMemory(t, before)
	write(t, s, Put{"a", []byte("batch 0")}, Put{"gone", []byte("batch 0")})
	s.Close()
	sc := &scenario{history: []map[string]string{{"a": "batch 0", "gone": "batch 0"}}}
	sc.disk = newMemoryDisk(filesOf(before))
	sc.disk.fail = fail
	sc.disk.steps = append(sc.disk.steps, step{kind: stepAcknowledged, number: 0})
	sc.store, _, _ = openMemory(t, sc.disk)
	return sc
}

func filesOf(d *memoryDisk) map[string][]byte {
	files := map[string][]byte{}
	for name, f := range d.names {
		files[name] = f.content
	}
	return files
}

func openMemory(t *testing.T, d *memoryDisk) (*Store, map[string][]byte, bool) {
	t.Helper()
	s, values, found, err := OpenDisk(d)
	if err != nil {
		t.Fatal(err)
	}
	return s, values, found
}

// open opens a disk with the codec of the scenario's store. Closing a codec of its own for each of thousands of
// disks would take a second.
func (sc *scenario) open(t *testing.T, disk Disk) (*Store, map[string][]byte, bool) {
	t.Helper()
	s, values, found, err := openWith(disk, sc.store.code)
	if err != nil {
		t.Fatal(err)
	}
	return s, values, found
}

// write attempts a batch; names that end in "-" are removed.
func (sc *scenario) write(names ...string) {
	sc.batch++
	puts, values := []Put{}, map[string]string{}
	for _, name := range names {
		value := fmt.Sprintf("batch %d", sc.batch)
		if trimmed, gone := strings.CutSuffix(name, "-"); gone {
			name, value = trimmed, ""
		}
		values[name] = value
		puts = append(puts, Put{name, []byte(value)})
	}
	sc.history = append(sc.history, values)
	if sc.store.Write(puts) == nil {
		sc.disk.steps = append(sc.disk.steps, step{kind: stepAcknowledged, number: sc.batch})
	}
}

// run performs the writes that all scenarios share: names are added, changed and removed, also twice in one
// batch, and a generation is replaced.
func (sc *scenario) run() {
	sc.write("a", "b")
	sc.write("a", "gone-")
	sc.write("a", "c")
	sc.store.compact()
	sc.write("b-", "gone")
	sc.write("a", "b")
	sc.write("b")
	sc.write("b-") // an older value of the name is in the other slot
}

// acknowledged returns the batches that were acknowledged within steps.
func acknowledged(steps []step) map[int]bool {
	batches := map[int]bool{}
	for _, s := range steps {
		if s.kind == stepAcknowledged {
			batches[s.number] = true
		}
	}
	return batches
}

// allowed reports whether a name may have a value after a power loss: the last one that was acknowledged, or
// one that was attempted later.
func (sc *scenario) allowed(name, value string, acknowledged map[int]bool) bool {
	for b := len(sc.history) - 1; b >= 0; b-- {
		attempted, ok := sc.history[b][name]
		if ok && attempted == value {
			return true
		}
		if ok && acknowledged[b] {
			return false
		}
	}
	return value == ""
}

// check opens each disk state that a power loss after some steps may leave, and writes to it.
func (sc *scenario) check(t *testing.T, seen map[string]bool, steps []step, stride int) (opened int) {
	t.Helper()
	acked := acknowledged(steps)
	for _, files := range crashAfter(steps).disks(stride) {
		key := fmt.Sprint(len(acked))
		for _, name := range slices.Sorted(maps.Keys(files)) {
			key += name + string(files[name])
		}
		if seen[key] {
			continue
		}
		seen[key] = true
		opened++
		disk := newMemoryDisk(files)
		s, values, found := sc.open(t, disk)
		if !found {
			t.Fatalf("after %d steps, acknowledged %v: no store in %q", len(steps), acked, files)
		}
		for _, name := range []string{"a", "b", "c", "gone"} {
			if value := string(values[name]); !sc.allowed(name, value, acked) {
				t.Fatalf("after %d steps, acknowledged %v: %s is %q in %q", len(steps), acked, name, value, files)
			}
		}
		write(t, s, Put{"a", []byte("later")})
		_, again, _ := sc.open(t, disk)
		values["a"] = []byte("later")
		if !maps.EqualFunc(again, values, slices.Equal) {
			t.Fatalf("after %d steps: read back %q after a later write", len(steps), again)
		}
	}
	return opened
}

// Steps of the scenario at which a fault leaves most behind.
const (
	tornAppend    = 15 // the third batch
	directorySync = 22 // when the second generation of the scenario has its completion mark
)

// Simulates a power loss at every byte of every step, without faults and with one fault of each kind at the
// steps where it leaves most behind. Names that were created and removed are kept or lost independently.
// Acknowledged values must survive, and the store must accept writes afterwards.
func TestPowerLossAtEveryByte(t *testing.T) {
	opened := 0
	for _, fail := range []map[int]fault{nil, {tornAppend: shortWrite}, {directorySync: ioError}} {
		sc, seen := newScenario(t, fail), map[string]bool{}
		from := len(sc.disk.steps)
		sc.run()
		for n := from; n <= len(sc.disk.steps); n++ {
			opened += sc.check(t, seen, sc.disk.steps[:n], 1)
		}
	}
	t.Logf("%d disks opened", opened)
}

// Injects a fault of each kind at each step, alone and with another one two steps later. Power is then lost at
// every later step, with the unsynced bytes cut at some places.
func TestPowerLossAfterEveryFault(t *testing.T) {
	plain := newScenario(t, nil)
	from := len(plain.disk.steps)
	plain.run()
	opened := 0
	for at := from; at < len(plain.disk.steps)+4; at++ {
		for _, kind := range []fault{ioError, shortWrite} {
			for _, fail := range []map[int]fault{{at: kind}, {at: kind, at + 2: kind}} {
				sc, seen := newScenario(t, fail), map[string]bool{}
				sc.run()
				for n := at; n <= len(sc.disk.steps); n++ {
					opened += sc.check(t, seen, sc.disk.steps[:n], 61)
				}
			}
		}
	}
	t.Logf("%d disks opened", opened)
}

// After any single fault the next write must succeed, and the store must hold the acknowledged batches and
// nothing of a failed one.
func TestStoreIsConsistentAfterEveryFault(t *testing.T) {
	plain := newScenario(t, nil)
	from := len(plain.disk.steps)
	plain.run()
	for at := from; at < len(plain.disk.steps); at++ {
		for _, kind := range []fault{ioError, shortWrite} {
			sc := newScenario(t, map[int]fault{at: kind})
			sc.run()
			sc.disk.fail = nil
			expected := map[string]string{}
			acked := acknowledged(sc.disk.steps)
			for b, puts := range sc.history {
				if acked[b] {
					maps.Copy(expected, puts)
				}
			}
			maps.DeleteFunc(expected, func(_, value string) bool { return value == "" })
			write(t, sc.store, Put{"last", []byte("x")})
			expected["last"] = "x"
			_, values, _ := openMemory(t, sc.disk)
			for name, value := range expected {
				if string(values[name]) != value {
					t.Fatalf("fault %d at step %d: %s is %q, want %q", kind, at, name, values[name], value)
				}
			}
			if len(values) != len(expected) {
				t.Fatalf("fault %d at step %d: %q, want %q", kind, at, values, expected)
			}
		}
	}
}
