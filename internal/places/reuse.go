package places

import "math/bits"

// The distance of an idle connection is the number of other connections of its client that have received their first
// request since it became idle. A client with a connection pool opens a connection only when all others are busy, so it
// reuses an idle one at a small distance or never. This is the reuse distance of caches (Mattson et al., "Evaluation
// techniques for storage hierarchies", IBM Systems Journal 9(2), 1970), counted in arrivals instead of references.
const (
	buckets         = 8            // of distances: 1, 2 to 3, 4 to 7 ... 128 and more
	distanceWindow  = 1 << buckets // distances that are counted one by one; greater ones belong to the last bucket
	priorWeight     = 4.0          // the prior counts as this many connections that reached the bucket
	priorReuse      = 0.5          // probability of reuse within the first bucket before any evidence
	maxBucketWeight = 256.0        // a bucket that was reached by more connections has both its counts halved
	untrackedConns  = 4            // a client with at most this many connections is not tracked
	minReuse        = 0.05         // probability of reuse below which an idle connection is closed, without pressure
	minReuseFull    = 0.5          // the same at full pressure
)

// bucketOf returns the bucket of a distance of at least 1.
func bucketOf(distance uint32) int { return min(bits.Len32(distance), buckets) - 1 }

// reuseEstimator estimates the probability that an idle connection is used again. For each bucket of distances it counts the
// connections that reached the bucket and those that were reused within it. This is a survival estimate by intervals (Kaplan
// and Meier 1958): connections that were closed count only for the buckets that they reached.
type reuseEstimator struct{ reached, reused [buckets]float64 }

func (e *reuseEstimator) addReached(bucket int, n float64) {
	if e.reached[bucket] += n; e.reached[bucket] > maxBucketWeight {
		e.reached[bucket] /= 2
		e.reused[bucket] /= 2
	}
}

func (e *reuseEstimator) addReused(bucket int) { e.reused[bucket]++ }

// evictionDistance returns the smallest distance from which on the probability of reuse is below minProbability, or 0 if there is
// none. The prior of each bucket is the estimate for the bucket before.
func (e *reuseEstimator) evictionDistance(minProbability float64) uint32 {
	var survival [buckets]float64 // probability of passing the bucket without reuse
	within := priorReuse
	for b := range buckets {
		within = min(1, (e.reused[b]+priorWeight*within)/(e.reached[b]+priorWeight))
		survival[b] = 1 - within
	}
	unused, limit := 1.0, uint32(0)
	for b := buckets - 1; b >= 0; b-- {
		if unused *= survival[b]; 1-unused >= minProbability {
			break
		}
		limit = 1 << b
	}
	return limit
}

// idleHistogram counts a client's idle connections by the arrival at which they became idle, for the last distanceWindow
// arrivals.
type idleHistogram [distanceWindow]uint16

// reaching returns the number of connections that reach the start of a bucket with the client's latest arrival.
func (h *idleHistogram) reaching(arrivals uint32, bucket int) float64 {
	if bucket == 0 {
		h[arrivals%distanceWindow] = 0 // still holds the count of the connections that have just left the window
	}
	return float64(h[(arrivals-1<<bucket)%distanceWindow])
}
