package throttle

import (
	"math/rand/v2"
	"testing"
)

// play has a caller ask at a rate for some seconds; the service answers the share of what goes out that answer says. It returns how
// many were asked for and how many went out.
func play(t *Throttle, random *rand.Rand, from, seconds, rate, answer float64) (asked, sent int) {
	for i := range int(seconds * rate) {
		now := from + float64(i)/rate
		asked++
		if !t.Allow(now, random.Float64()) {
			continue
		}
		sent++
		if random.Float64() < answer {
			t.Accepted(now)
		} else {
			t.Failed(now)
		}
	}
	return asked, sent
}

// What goes out follows what is answered: all of it while most is, a bounded multiple where little is, a trickle where nothing is, and
// all of it again soon after the service is back.
func TestSendsFollowAnswers(t *testing.T) {
	for _, rate := range []float64{8, 100, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		throttle := &Throttle{}
		if asked, sent := play(throttle, random, 1, 10, rate, 0.8); sent < asked {
			t.Errorf("rate %v: %d of %d go out though most are answered", rate, sent, asked)
		}
		asked, sent := play(throttle, random, 11, 10, rate, 0)
		if most := int(2*rate*multiplier) + 10*spare*3; sent > most {
			t.Errorf("rate %v: %d of %d go out in 10 s without an answer, at most %d", rate, sent, asked, most)
		}
		play(throttle, random, 21, 4, rate, 1)
		if asked, sent := play(throttle, random, 25, 4, rate, 1); float64(sent) < 0.9*float64(asked) {
			t.Errorf("rate %v: %d of %d go out from 4 s after the service is back", rate, sent, asked)
		}
	}
}

// A burst after a quiet time is not turned away for want of answers that are still on their way.
func TestBurstGoesOut(t *testing.T) {
	throttle := &Throttle{}
	for i := range 200 {
		if !throttle.Allow(100, 0) {
			t.Fatalf("request %d of a burst is turned away", i)
		}
	}
	for range 100 { // half of them fail
		throttle.Failed(100.2)
		throttle.Accepted(100.2)
	}
	if !throttle.Allow(100.2, 0) {
		t.Error("a request is turned away though half are answered")
	}
}

// A caller that has been quiet, or has few requests, is not turned away.
func TestFewRequestsGoOut(t *testing.T) {
	throttle := &Throttle{}
	for i := range 20 {
		if !throttle.Allow(float64(i), 0) {
			t.Fatalf("request %d of one a second is turned away", i)
		}
		throttle.Failed(float64(i))
	}
}
