// Package random draws numbers from a seed, so that a run can be replayed: the generator is splitmix64.
package random

// step is what the state grows by with each number.
const step = 0x9e3779b97f4a7c15

// Source draws the numbers that its first value, the seed, begins.
type Source uint64

// Next is the next number.
func (s *Source) Next() uint64 {
	*s += step
	return Mix(uint64(*s))
}

// Mix spreads the bits of a number over all of them.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
