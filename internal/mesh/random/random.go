// Package random generates pseudo-random numbers from a seed with splitmix64, so that a run can be replayed.
package random

// increment is added to the state for each number.
const increment = 0x9e3779b97f4a7c15

// Source is a generator. Its initial value is the seed.
type Source uint64

// Next returns the next number.
func (s *Source) Next() uint64 {
	*s += increment
	return Mix(uint64(*s))
}

// Mix returns a hash of x in which every bit depends on all bits of x.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
