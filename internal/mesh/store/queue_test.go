package store

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
)

// startedQueue returns a queue whose first write has succeeded.
func startedQueue(t *testing.T, names ...string) *queue[string] {
	t.Helper()
	q := newQueue[string](names)
	if puts, write, ok := q.begin(0); len(puts) != 0 || !write || !ok {
		t.Fatal("the first write must begin without values")
	}
	q.end(0, true, nil)
	return q
}

func expectBatch(t *testing.T, q *queue[string], now float64, expected ...string) {
	t.Helper()
	puts, _, ok := q.begin(now)
	var got []string
	for _, p := range puts {
		got = append(got, p.Name+"="+string(p.Value))
	}
	if !ok || !slices.Equal(got, expected) {
		t.Fatalf("at %v: began %v %v, want %v", now, ok, got, expected)
	}
}

func expectIdle(t *testing.T, q *queue[string], now float64) {
	t.Helper()
	if puts, _, ok := q.begin(now); ok {
		t.Fatalf("at %v: began %v", now, puts)
	}
}

func put(name, value string) []Put { return []Put{{name, []byte(value)}} }

// Guards against acknowledging values that were only read at the start: they may not be durable, so messages
// wait until the disk has taken a write.
func TestMessagesWaitForTheFirstWrite(t *testing.T) {
	q := newQueue[string]([]string{"a"})
	q.add(0, nil, []string{"I have a"})
	if _, write, ok := q.begin(0); !write || !ok {
		t.Fatal("the first write did not begin")
	}
	if got := q.end(0.1, true, syscall.ENOSPC); len(got) != 0 {
		t.Fatalf("released after a failed write: %v", got)
	}
	if _, write, ok := q.begin(0.5); !write || !ok {
		t.Fatal("the failed write was not retried")
	}
	if got := q.end(0.6, true, nil); !slices.Equal(got, []string{"I have a"}) {
		t.Fatalf("released: %v", got)
	}
}

// All queued values go into one batch, with the newest value of each name. Messages are released in order and
// only once all values queued before them are synced, also messages without values of their own.
func TestMessagesWaitForValues(t *testing.T) {
	q := startedQueue(t)
	q.add(1, put("a", "1"), []string{"a is 1"})
	expectBatch(t, q, 1, "a=1")
	q.add(1.01, put("a", "2"), []string{"a is 2"})
	q.add(1.02, put("a", "3"), nil)
	q.add(1.03, put("b", "1"), nil)
	q.add(1.04, nil, []string{"all is there"})
	expectIdle(t, q, 1.05)
	if got := q.end(1.1, true, nil); !slices.Equal(got, []string{"a is 1"}) {
		t.Fatalf("released: %v", got)
	}
	expectBatch(t, q, 1.1, "a=3", "b=1")
	if got := q.end(1.2, true, nil); !slices.Equal(got, []string{"a is 2", "all is there"}) {
		t.Fatalf("released: %v", got)
	}
	expectIdle(t, q, 1.3)
	q.add(1.4, nil, []string{"and nothing new"})
	if _, write, ok := q.begin(1.4); write || !ok {
		t.Fatal("a message without values needs no write")
	}
	if got := q.end(1.4, false, nil); !slices.Equal(got, []string{"and nothing new"}) {
		t.Fatalf("released: %v", got)
	}
}

// A failed batch is retried together with the values queued since, after delays that double up to a limit. Its
// messages are released first if a retry succeeds in time, and dropped otherwise.
func TestFailedBatchIsTriedAgain(t *testing.T) {
	q := startedQueue(t)
	q.add(1, append(put("a", "1"), put("b", "1")...), []string{"a is 1"})
	expectBatch(t, q, 1, "a=1", "b=1")
	q.add(1.01, put("a", "2"), []string{"a is 2"})
	q.end(1.02, true, syscall.ENOSPC)
	expectIdle(t, q, 1.02+initialRetryDelay-0.01)
	expectBatch(t, q, 1.02+initialRetryDelay, "a=2", "b=1")
	if got := q.end(1.3, true, nil); !slices.Equal(got, []string{"a is 1", "a is 2"}) {
		t.Fatalf("released: %v", got)
	}
	q.add(2, put("c", "1"), []string{"c is 1"})
	now := 2.0
	for _, pause := range []float64{initialRetryDelay, 2 * initialRetryDelay, 4 * initialRetryDelay, maxRetryDelay, maxRetryDelay} {
		expectBatch(t, q, now, "c=1")
		q.end(now, true, syscall.EIO)
		expectIdle(t, q, now+pause-0.01)
		now += pause
	}
	q.add(now, nil, []string{"late"})
	expectBatch(t, q, now, "c=1")
	if got := q.end(now, true, nil); !slices.Equal(got, []string{"late"}) || q.dropped != 1 {
		t.Fatalf("released: %v, %d dropped", got, q.dropped)
	}
}

// The disk accepts no writes for ten minutes while 20 names a second are added and removed. The queue's memory
// must stay bounded.
func TestMemoryIsBoundedWhileTheDiskFails(t *testing.T) {
	const perTick, perSecond, lifeTicks, ticks = 5, 4, 75 * 4, 600 * 4
	for _, stalled := range []bool{false, true} {
		q := startedQueue(t, "old")
		q.add(0, put("old", ""), nil)
		q.begin(0)
		most := 0
		for n := range ticks {
			now := float64(n+1) / perSecond
			for i := range perTick {
				q.add(now, put(fmt.Sprint("k", n, "/", i), "v"), []string{"promise"})
				q.add(now, put(fmt.Sprint("k", n-lifeTicks, "/", i), ""), nil)
			}
			q.tick(now)
			if !stalled {
				if q.writing != nil {
					q.end(now, true, syscall.ENOSPC)
				}
				q.begin(now)
			}
			messages, puts := len(q.waiting.messages), len(q.waiting.puts)
			if q.writing != nil {
				messages, puts = messages+len(q.writing.messages), puts+len(q.writing.puts)
			}
			most = max(most, messages+puts)
		}
		if allowed := perTick * (2*lifeTicks + 50); most > allowed {
			t.Errorf("stalled %v: %d values and messages waited, %d allowed", stalled, most, allowed)
		}
		if !stalled && q.writing != nil {
			q.end(ticks/perSecond, true, syscall.ENOSPC)
		}
		if stalled {
			q.end(ticks/perSecond, true, nil)
		}
		if value, waits := q.waiting.puts["old"]; !stalled && (!waits || len(value) > 0) {
			t.Error("the removal of a name that is on the disk must stay queued")
		}
	}
}

// A write that hangs is reported once, and the disk counts as healthy again after a calm time. A disk on which
// every write is slow must not flap between conditions.
func TestSlowDiskIsToldOnce(t *testing.T) {
	q := startedQueue(t)
	now := 1.0
	for range 20 {
		q.add(now, put("a", "1"), []string{"promise"})
		expectBatch(t, q, now, "a=1")
		for range 20 { // ticks come every few hundredths of a second
			now += 0.03
			q.tick(now)
		}
		if got := q.end(now, true, nil); len(got) != 1 {
			t.Fatal("a slow disk must not drop a message whose write began in time")
		}
		now += 0.1
		q.tick(now)
	}
	for range 20 {
		now += 0.1
		q.tick(now)
	}
	expectConditions(t, q, Stalled, Healthy)
}

// Each kind of failure is reported once, and the first write that succeeds ends it.
func TestFailureIsToldOnce(t *testing.T) {
	q := startedQueue(t)
	now := 1.0
	q.add(now, put("a", "1"), nil)
	for _, err := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, nil} {
		now += maxRetryDelay
		q.tick(now)
		expectBatch(t, q, now, "a=1")
		q.end(now, true, err)
		q.tick(now)
	}
	expectConditions(t, q, Full, Failing, Healthy)
}

func expectConditions(t *testing.T, q *queue[string], expected ...Condition) {
	t.Helper()
	var got []Condition
	for _, c := range q.health.changes {
		got = append(got, c.Condition)
	}
	if !slices.Equal(got, expected) {
		t.Fatalf("reported %v, want %v", q.health.changes, expected)
	}
}

// A large write that takes three seconds on a busy processor makes progress all the time, so the disk must not
// count as stalled. A write that makes no progress for as long must.
func TestLargeWriteIsNoStall(t *testing.T) {
	for _, progresses := range []bool{true, false} {
		q := startedQueue(t)
		q.add(1, put("a", "1"), nil)
		q.begin(1)
		now := 1.0
		for ; now < 4; now += 0.1 {
			if progresses {
				q.progress(now)
			}
			q.tick(now)
		}
		q.end(now, true, nil)
		if stalled := len(q.health.changes) > 0; stalled == progresses {
			t.Errorf("progresses %v: condition %v after %v", progresses, q.health.condition, q.health.changes)
		}
	}
}

// A small write that takes 0.6 s while the process gets hardly any processor time says nothing about the disk;
// while the process runs it does. A disk that accepts no writes at all is reported in either case, though later
// on a starved processor.
func TestStarvedProcessorIsNoStalledDisk(t *testing.T) {
	for _, c := range []struct {
		name   string
		ticks  float64 // seconds between two ticks
		takes  float64 // seconds that the write takes
		stalls bool
	}{
		{"starved", 0.2, 0.6, false},
		{"running", 0.03, 0.6, true},
		{"starved, and the disk accepts no writes", 0.2, 4, true},
	} {
		q := startedQueue(t)
		now := 1.0
		for ; now < 3; now += c.ticks {
			q.tick(now)
		}
		q.add(now, put("a", "1"), nil)
		q.begin(now)
		for until := now + c.takes; now < until; now += c.ticks {
			q.tick(now)
		}
		q.end(now, true, nil)
		if stalled := len(q.health.changes) > 0; stalled != c.stalls {
			t.Errorf("%s: reported %v", c.name, q.health.changes)
		}
	}
}

// A store must report progress while it writes a generation, not only at the end.
func TestGenerationSaysThatItGetsOn(t *testing.T) {
	code, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	defer code.close()
	s, _, _, err := openWith(newMemoryDisk(nil), code)
	if err != nil {
		t.Fatal(err)
	}
	reports := 0
	s.OnProgress(func() { reports++ })
	var batch []Put
	for i := range 1000 {
		batch = append(batch, Put{fmt.Sprint("k", i), make([]byte, 1<<10)})
	}
	if err := s.Write(batch); err != nil {
		t.Fatal(err)
	}
	if want := 1000 << 10 / chunkBytes; reports < want {
		t.Errorf("%d progress reports for a generation of 1 MB, want at least %d", reports, want)
	}
}
