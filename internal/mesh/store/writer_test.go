package store

import (
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
)

// heldKeeper passes writes on to a store, and holds each until it is let go.
type heldKeeper struct {
	store *Store
	hold  chan struct{} // nil: nothing is held
}

func (k *heldKeeper) Write(batch []Put) error {
	if k.hold != nil {
		<-k.hold
	}
	return k.store.Write(batch)
}

// bench is a Writer on a disk in memory, with a clock that only the test moves.
type bench struct {
	code    *codec
	disk    *memoryDisk
	keeper  *heldKeeper
	writer  *Writer[string]
	now     float64
	sent    []string
	changes []Change
}

// play runs a test on a bench, in a bubble in which the Writer's goroutine can be waited for. The codec's
// own goroutine, which can't be ended at will, stays outside.
func play(t *testing.T, test func(*testing.T, *bench)) {
	t.Helper()
	code, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	defer code.close()
	synctest.Test(t, func(t *testing.T) { test(t, newBench(t, code)) })
}

func newBench(t *testing.T, code *codec) *bench {
	b := &bench{code: code, disk: newMemoryDisk(nil), now: 1}
	s, values, _, err := openWith(b.disk, code)
	if err != nil {
		t.Fatal(err)
	}
	b.keeper = &heldKeeper{store: s}
	b.writer = NewWriter(Options[string]{Keeper: b.keeper, Names: slices.Collect(maps.Keys(values)),
		Now:     func() float64 { return b.now },
		Release: func(messages []string) { b.sent = append(b.sent, messages...) },
		Changed: func(c Change) { b.changes = append(b.changes, c) }})
	go b.writer.Run(t.Context())
	synctest.Wait()
	return b
}

// wait lets time pass in ticks.
func (b *bench) wait(seconds float64) {
	for end := b.now + seconds; b.now < end; b.now += 0.05 {
		b.writer.Tick()
		synctest.Wait()
	}
}

func (b *bench) value(t *testing.T, name string) string {
	_, values, _, err := openWith(b.disk, b.code)
	if err != nil {
		t.Fatal(err)
	}
	return string(values[name])
}

func (b *bench) expectSent(t *testing.T, expected string) {
	t.Helper()
	if got := strings.Join(b.sent, " "); got != expected {
		t.Fatalf("sent %q, not %q", got, expected)
	}
}

func (b *bench) expectCondition(t *testing.T, c Condition, changes int) {
	t.Helper()
	if got := b.writer.Figures().Condition; got != c || len(b.changes) != changes {
		t.Fatalf("the disk is %v after %v, not %v after %d changes", got, b.changes, c, changes)
	}
}

// A disk that fills up while messages wait: nothing is said of what it can't keep; once there is room all
// that waits is written and new messages go.
func TestWriterOnAFullDisk(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.writer.Add(put("a", "1"), []string{"a1"})
		synctest.Wait()
		b.expectSent(t, "a1")
		b.disk.capacity = b.disk.used()
		b.writer.Add(put("a", "2"), []string{"a2"})
		b.wait(4)
		b.writer.Add(put("b", "1"), []string{"b1"})
		b.wait(0.1)
		b.expectSent(t, "a1")
		b.expectCondition(t, Full, 1)
		if b.value(t, "a") != "1" {
			t.Fatalf("a = %q", b.value(t, "a"))
		}
		b.disk.capacity = 0
		b.writer.Add(put("c", "1"), []string{"c1"})
		b.wait(retryMost)
		b.writer.Add(put("d", "1"), []string{"d1"})
		b.wait(0.1)
		b.expectCondition(t, Healthy, 2)
		if got := b.value(t, "a") + b.value(t, "b") + b.value(t, "c") + b.value(t, "d"); got != "2111" {
			t.Fatalf("kept %q", got)
		}
		if last := b.sent[len(b.sent)-1]; last != "d1" || b.writer.Figures().Dropped == 0 {
			t.Fatalf("sent %v, dropped %d", b.sent, b.writer.Figures().Dropped)
		}
	})
}

// A write that doesn't return holds nothing up but what waits for it, and is told; as it returns all goes on.
func TestWriterOnAStalledDisk(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.keeper.hold = make(chan struct{})
		b.writer.Add(put("a", "1"), []string{"a1"})
		b.wait(0.4)
		b.expectCondition(t, Healthy, 0)
		b.wait(0.3)
		b.expectCondition(t, Stalled, 1)
		b.writer.Add(put("a", "2"), []string{"a2"})
		b.wait(3)
		b.expectSent(t, "")
		close(b.keeper.hold)
		synctest.Wait()
		b.expectSent(t, "a1")
		b.wait(calmFor + 0.2)
		b.expectCondition(t, Healthy, 2)
		if b.value(t, "a") != "2" {
			t.Fatalf("a = %q", b.value(t, "a"))
		}
	})
}

// A sync that fails is a failed write, though the bytes are there: what waited for it is not said before a
// new file holds it.
func TestWriterOnAFailedSync(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.disk.fail = map[int]fault{len(b.disk.steps) + 1: ioError}
		b.writer.Add(put("a", "1"), []string{"a1"})
		synctest.Wait()
		b.expectSent(t, "")
		b.wait(0.1)
		b.expectCondition(t, Failing, 1)
		if !strings.Contains(b.changes[0].Why, syscall.EIO.Error()) {
			t.Fatalf("why: %q", b.changes[0].Why)
		}
		b.wait(retryFirst + 0.1)
		b.expectSent(t, "a1")
		b.expectCondition(t, Healthy, 2)
	})
}
