package store

import (
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
)

// blockingStore passes writes on to a store, and blocks each one until it is unblocked.
type blockingStore struct {
	store   *Store
	unblock chan struct{} // nil: writes are not blocked
}

func (s *blockingStore) Write(batch []Put) error {
	if s.unblock != nil {
		<-s.unblock
	}
	return s.store.Write(batch)
}

// fixture is a Writer on an in-memory disk, with a clock that only the test advances.
type fixture struct {
	code    *codec
	disk    *memoryDisk
	store   *blockingStore
	writer  *Writer[string]
	now     float64
	sent    []string
	changes []ConditionChange
}

// runFixture runs a test on a fixture in a synctest bubble, where the Writer's goroutine can be waited for. The
// codec's own goroutine cannot be stopped at will and stays outside the bubble.
func runFixture(t *testing.T, test func(*testing.T, *fixture)) {
	t.Helper()
	code, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	defer code.close()
	synctest.Test(t, func(t *testing.T) { test(t, newFixture(t, code)) })
}

func newFixture(t *testing.T, code *codec) *fixture {
	f := &fixture{code: code, disk: newMemoryDisk(nil), now: 1}
	s, values, _, err := openWith(f.disk, code)
	if err != nil {
		t.Fatal(err)
	}
	f.store = &blockingStore{store: s}
	f.writer = NewWriter(Options[string]{Store: f.store, Names: slices.Collect(maps.Keys(values)),
		Now:              func() float64 { return f.now },
		Release:          func(messages []string) { f.sent = append(f.sent, messages...) },
		ConditionChanged: func(c ConditionChange) { f.changes = append(f.changes, c) }})
	go f.writer.Run(t.Context())
	synctest.Wait()
	return f
}

// wait advances the clock in ticks.
func (f *fixture) wait(seconds float64) {
	for end := f.now + seconds; f.now < end; f.now += 0.05 {
		f.writer.Tick()
		synctest.Wait()
	}
}

func (f *fixture) value(t *testing.T, name string) string {
	_, values, _, err := openWith(f.disk, f.code)
	if err != nil {
		t.Fatal(err)
	}
	return string(values[name])
}

func (f *fixture) expectSent(t *testing.T, expected string) {
	t.Helper()
	if got := strings.Join(f.sent, " "); got != expected {
		t.Fatalf("sent %q, want %q", got, expected)
	}
}

func (f *fixture) expectCondition(t *testing.T, c Condition, changes int) {
	t.Helper()
	if got := f.writer.Stats().Condition; got != c || len(f.changes) != changes {
		t.Fatalf("the disk is %v after %v, want %v after %d changes", got, f.changes, c, changes)
	}
}

// The disk fills up while messages wait. No message may be released for values that could not be stored. Once
// there is room, all queued values are written and new messages are released.
func TestWriterOnAFullDisk(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		f.writer.Add(put("a", "1"), []string{"a1"})
		synctest.Wait()
		f.expectSent(t, "a1")
		f.disk.capacity = f.disk.used()
		f.writer.Add(put("a", "2"), []string{"a2"})
		f.wait(4)
		f.writer.Add(put("b", "1"), []string{"b1"})
		f.wait(0.1)
		f.expectSent(t, "a1")
		f.expectCondition(t, Full, 1)
		if f.value(t, "a") != "1" {
			t.Fatalf("a = %q", f.value(t, "a"))
		}
		f.disk.capacity = 0
		f.writer.Add(put("c", "1"), []string{"c1"})
		f.wait(maxRetryDelay)
		f.writer.Add(put("d", "1"), []string{"d1"})
		f.wait(0.1)
		f.expectCondition(t, Healthy, 2)
		if got := f.value(t, "a") + f.value(t, "b") + f.value(t, "c") + f.value(t, "d"); got != "2111" {
			t.Fatalf("kept %q", got)
		}
		if last := f.sent[len(f.sent)-1]; last != "d1" || f.writer.Stats().Dropped == 0 {
			t.Fatalf("sent %v, dropped %d", f.sent, f.writer.Stats().Dropped)
		}
	})
}

// A write that does not return must delay only the messages that wait for it, and must be reported. When it
// returns, everything goes on.
func TestWriterOnAStalledDisk(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		f.store.unblock = make(chan struct{})
		f.writer.Add(put("a", "1"), []string{"a1"})
		f.wait(0.4)
		f.expectCondition(t, Healthy, 0)
		f.wait(0.3)
		f.expectCondition(t, Stalled, 1)
		f.writer.Add(put("a", "2"), []string{"a2"})
		f.wait(3)
		f.expectSent(t, "")
		close(f.store.unblock)
		synctest.Wait()
		f.expectSent(t, "a1")
		f.wait(healthyAfterSeconds + 0.2)
		f.expectCondition(t, Healthy, 2)
		if f.value(t, "a") != "2" {
			t.Fatalf("a = %q", f.value(t, "a"))
		}
	})
}

// A failed sync is a failed write, although the bytes are there. Messages that waited for it are released only
// once a new file holds their values.
func TestWriterOnAFailedSync(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		f.disk.fail = map[int]fault{len(f.disk.steps) + 1: ioError}
		f.writer.Add(put("a", "1"), []string{"a1"})
		synctest.Wait()
		f.expectSent(t, "")
		f.wait(0.1)
		f.expectCondition(t, Failing, 1)
		if !strings.Contains(f.changes[0].Reason, syscall.EIO.Error()) {
			t.Fatalf("reason: %q", f.changes[0].Reason)
		}
		f.wait(initialRetryDelay + 0.1)
		f.expectSent(t, "a1")
		f.expectCondition(t, Healthy, 2)
	})
}
