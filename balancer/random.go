package balancer

import (
	"math"
	"math/bits"
)

// random returns a number in [0, 1) from the instance's own sequence (splitmix64).
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	return unit(mix(b.rng))
}

// unit maps random bits to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// tag is a host's short name in messages, above the byte that holds its share.
func tag(id HostID) uint32 { return uint32(mix(uint64(id))) &^ math.MaxUint8 }

// rendezvous is an exponential variate fixed by key and host: divided by a weight, the lowest wins in
// proportion to the weights, and a host that leaves moves only its own keys.
func rendezvous(key uint64, id HostID) float64 {
	return -math.Log(unit(mix(key^bits.RotateLeft64(mix(uint64(id)+0x9e3779b97f4a7c15), 23))) + 0x1p-54)
}

// drift moves a running mean towards x by one answer's weight.
func drift(mean *float64, x float64) { *mean += meanStep * (x - *mean) }
