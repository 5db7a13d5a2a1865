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

func (k *blockingStore) Write(batch []Put) error {
	if k.unblock != nil {
		<-k.unblock
	}
	return k.store.Write(batch)
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
	b := &fixture{code: code, disk: newMemoryDisk(nil), now: 1}
	s, values, _, err := openWith(b.disk, code)
	if err != nil {
		t.Fatal(err)
	}
	b.store = &blockingStore{store: s}
	b.writer = NewWriter(Options[string]{Store: b.store, Names: slices.Collect(maps.Keys(values)),
		Now:              func() float64 { return b.now },
		Release:          func(messages []string) { b.sent = append(b.sent, messages...) },
		ConditionChanged: func(c ConditionChange) { b.changes = append(b.changes, c) }})
	go b.writer.Run(t.Context())
	synctest.Wait()
	return b
}

// wait advances the clock in ticks.
func (b *fixture) wait(seconds float64) {
	for end := b.now + seconds; b.now < end; b.now += 0.05 {
		b.writer.Tick()
		synctest.Wait()
	}
}

func (b *fixture) value(t *testing.T, name string) string {
	_, values, _, err := openWith(b.disk, b.code)
	if err != nil {
		t.Fatal(err)
	}
	return string(values[name])
}

func (b *fixture) expectSent(t *testing.T, expected string) {
	t.Helper()
	if got := strings.Join(b.sent, " "); got != expected {
		t.Fatalf("sent %q, want %q", got, expected)
	}
}

func (b *fixture) expectCondition(t *testing.T, c Condition, changes int) {
	t.Helper()
	if got := b.writer.Stats().Condition; got != c || len(b.changes) != changes {
		t.Fatalf("the disk is %v after %v, want %v after %d changes", got, b.changes, c, changes)
	}
}

// The disk fills up while messages wait. No message may be released for values that could not be stored. Once
// there is room, all queued values are written and new messages are released.
func TestWriterOnAFullDisk(t *testing.T) {
	runFixture(t, func(t *testing.T, b *fixture) {
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
		b.wait(maxRetryDelay)
		b.writer.Add(put("d", "1"), []string{"d1"})
		b.wait(0.1)
		b.expectCondition(t, Healthy, 2)
		if got := b.value(t, "a") + b.value(t, "b") + b.value(t, "c") + b.value(t, "d"); got != "2111" {
			t.Fatalf("kept %q", got)
		}
		if last := b.sent[len(b.sent)-1]; last != "d1" || b.writer.Stats().Dropped == 0 {
			t.Fatalf("sent %v, dropped %d", b.sent, b.writer.Stats().Dropped)
		}
	})
}

// A write that does not return must delay only the messages that wait for it, and must be reported. When it
// returns, everything goes on.
func TestWriterOnAStalledDisk(t *testing.T) {
	runFixture(t, func(t *testing.T, b *fixture) {
		b.store.unblock = make(chan struct{})
		b.writer.Add(put("a", "1"), []string{"a1"})
		b.wait(0.4)
		b.expectCondition(t, Healthy, 0)
		b.wait(0.3)
		b.expectCondition(t, Stalled, 1)
		b.writer.Add(put("a", "2"), []string{"a2"})
		b.wait(3)
		b.expectSent(t, "")
		close(b.store.unblock)
		synctest.Wait()
		b.expectSent(t, "a1")
		b.wait(healthyAfterSeconds + 0.2)
		b.expectCondition(t, Healthy, 2)
		if b.value(t, "a") != "2" {
			t.Fatalf("a = %q", b.value(t, "a"))
		}
	})
}

// A failed sync is a failed write, although the bytes are there. Messages that waited for it are released only
// once a new file holds their values.
func TestWriterOnAFailedSync(t *testing.T) {
	runFixture(t, func(t *testing.T, b *fixture) {
		b.disk.fail = map[int]fault{len(b.disk.steps) + 1: ioError}
		b.writer.Add(put("a", "1"), []string{"a1"})
		synctest.Wait()
		b.expectSent(t, "")
		b.wait(0.1)
		b.expectCondition(t, Failing, 1)
		if !strings.Contains(b.changes[0].Reason, syscall.EIO.Error()) {
			t.Fatalf("reason: %q", b.changes[0].Reason)
		}
		b.wait(initialRetryDelay + 0.1)
		b.expectSent(t, "a1")
		b.expectCondition(t, Healthy, 2)
	})
}
