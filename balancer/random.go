package balancer

import "math"

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
