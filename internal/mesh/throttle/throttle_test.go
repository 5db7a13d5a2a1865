package throttle

import (
	"math/rand/v2"
	"testing"
)

// simulate makes a caller send requests at a rate for some seconds. The service answers successShare of the requests sent. It
// returns the number of requests offered and the number sent.
func simulate(t *Throttle, random *rand.Rand, from, seconds, rate, successShare float64) (offered, sent int) {
	for i := range int(seconds * rate) {
		now := from + float64(i)/rate
		offered++
		if !t.Allow(now, random.Float64()) {
			continue
		}
		sent++
		if random.Float64() < successShare {
			t.Accepted(now)
		} else {
			t.Failed(now)
		}
	}
	return offered, sent
}

// The requests sent follow the answers: all are sent while most are answered, a bounded multiple if few are, a trickle if none
// are, and all of them again soon after the service has recovered.
func TestSendsFollowAnswers(t *testing.T) {
	for _, rate := range []float64{8, 100, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		throttle := &Throttle{}
		if offered, sent := simulate(throttle, random, 1, 10, rate, 0.8); sent < offered {
			t.Errorf("rate %v: %d of %d requests sent although most are answered", rate, sent, offered)
		}
		offered, sent := simulate(throttle, random, 11, 10, rate, 0)
		if limit := int(2*rate*multiplier) + 10*minRequests*3; sent > limit {
			t.Errorf("rate %v: %d of %d requests sent in 10 s without an answer, want at most %d", rate, sent, offered, limit)
		}
		simulate(throttle, random, 21, 4, rate, 1)
		if offered, sent := simulate(throttle, random, 25, 4, rate, 1); float64(sent) < 0.9*float64(offered) {
			t.Errorf("rate %v: %d of %d requests sent from 4 s after the service recovered", rate, sent, offered)
		}
	}
}

// A burst after an idle time is not rejected while its answers are still in transit.
func TestBurstGoesOut(t *testing.T) {
	throttle := &Throttle{}
	for i := range 200 {
		if !throttle.Allow(100, 0) {
			t.Fatalf("request %d of a burst is rejected", i)
		}
	}
	for range 100 { // half of them fail
		throttle.Failed(100.2)
		throttle.Accepted(100.2)
	}
	if !throttle.Allow(100.2, 0) {
		t.Error("a request is rejected although half are answered")
	}
}

// A caller that has been idle, or sends few requests, is not throttled.
func TestFewRequestsGoOut(t *testing.T) {
	throttle := &Throttle{}
	for i := range 20 {
		if !throttle.Allow(float64(i), 0) {
			t.Fatalf("request %d at one request per second is rejected", i)
		}
		throttle.Failed(float64(i))
	}
}
