package balancer

import (
	"math"
	"math/bits"
)

// random returns a number in [0, 1) from the balancer's own sequence (splitmix64).
func (b *Balancer) random() float64 {
	b.rngState += 0x9e3779b97f4a7c15
	return uniform(mix(b.rngState))
}

// uniform maps random bits to [0, 1).
func uniform(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// mix is the output function of splitmix64, used as a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hostTag identifies a host in the upper three bytes of a peer message; the lowest byte holds a code.
func hostTag(id HostID) uint32 { return uint32(mix(uint64(id))) &^ math.MaxUint8 }

// rendezvous is an exponential variate that depends only on key and host. Divided by the host's weight, the
// lowest wins with a probability proportional to the weight, and a removed host moves only its own keys.
func rendezvous(key uint64, id HostID) float64 {
	return -math.Log(uniform(mix(key^bits.RotateLeft64(mix(uint64(id)+0x9e3779b97f4a7c15), 23))) + 0x1p-54)
}

// updateMean moves a running mean towards x by the weight of one sample.
func updateMean(mean *float64, x float64) { *mean += meanWeight * (x - *mean) }
