package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Thousands of changes and drops by lot: from each position that is complete the log gives just the sources
// that have changed since, each once; and it does not grow beyond twice its sources.
func TestChangeLogAgainstModel(t *testing.T) {
	const steps, sources = 20_000, 40
	random := rand.New(rand.NewPCG(1, 2))
	var c changeLog
	c.init()
	last, dropped := map[string]uint64{}, uint64(0)
	for range steps {
		source := fmt.Sprint(random.IntN(sources))
		if random.IntN(20) == 0 {
			c.drop(source)
			dropped = max(dropped, last[source])
			delete(last, source)
		} else {
			c.add(source)
			last[source] = c.position
		}
		from := uint64(random.Int64N(int64(c.position) + 2))
		if want := from >= dropped && from <= c.position; c.complete(from) != want {
			t.Fatalf("%d of %d, dropped up to %d: complete is %v", from, c.position, dropped, !want)
		}
		want := slices.Collect(maps.Keys(last))
		want = slices.DeleteFunc(want, func(s string) bool { return last[s] <= from })
		slices.SortFunc(want, func(a, b string) int { return int(last[a]) - int(last[b]) })
		if got := c.after(from); !slices.Equal(got, want) {
			t.Fatalf("after %d: %v, want %v", from, got, want)
		}
		if len(c.log) > 2*sources+changesSpare {
			t.Fatalf("%d entries for %d sources", len(c.log), len(last))
		}
	}
}
