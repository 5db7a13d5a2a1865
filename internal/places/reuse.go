package places

import "math/bits"

// The distance of an idle connection is how many others its caller has opened and used since it became idle. A caller
// that pools its connections opens one only when all are busy, so it comes back to an idle one at a small distance or
// never. This is the reuse distance of caches (Mattson et al., "Evaluation techniques for storage hierarchies", IBM
// Systems Journal 9(2), 1970), counted in arrivals instead of references.
const (
	steps   = 8          // distances 1, 2 to 3, 4 to 7 ... 128 and more
	window  = 1 << steps // distances counted one by one; all beyond are in the last step
	doubt   = 4.0        // a step's prior weighs as much as so many connections that reached it
	guess   = 0.5        // the chance of a use within a step, before any evidence
	memory  = 256.0      // connections that a step remembers; then both counts are halved
	fewOwn  = 4          // a caller with no more connections than this is not judged
	wantLow = 0.05       // least chance of a further use for which an idle connection is kept while places are plenty
	wantTop = 0.5        // and with all places taken
)

// step is the one that a distance of at least 1 falls into.
func step(distance uint32) int { return min(bits.Len32(distance), steps) - 1 }

// reuse estimates whether an idle connection will be used again, from how many came to each step of distance and how
// many of those were used within it. It is a survival estimate by steps (Kaplan and Meier 1958): connections that end
// otherwise count only for the steps they came to.
type reuse struct{ reached, used [steps]float64 }

func (r *reuse) reach(s int, n float64) {
	if r.reached[s] += n; r.reached[s] > memory {
		r.reached[s] /= 2
		r.used[s] /= 2
	}
}

func (r *reuse) use(s int) { r.used[s]++ }

// cut is the least distance from which on the chance of a further use is under want; 0: there is none. A step without
// evidence takes over what the one before says.
func (r *reuse) cut(want float64) uint32 {
	var left [steps]float64 // chance to pass the step unused
	within := guess
	for s := range steps {
		within = min(1, (r.used[s]+doubt*within)/(r.reached[s]+doubt))
		left[s] = 1 - within
	}
	unused, cut := 1.0, uint32(0)
	for s := steps - 1; s >= 0; s-- {
		if unused *= left[s]; 1-unused >= want {
			break
		}
		cut = 1 << s
	}
	return cut
}

// ages counts a caller's idle connections by the arrival at which they became idle, as far back as the window.
type ages [window]uint16

// came is how many connections the caller's newest arrival has brought to the beginning of a step.
func (a *ages) came(arrivals uint32, s int) float64 {
	if s == 0 {
		a[arrivals%window] = 0 // its count is of those that have just left the window
	}
	return float64(a[(arrivals-1<<s)%window])
}
