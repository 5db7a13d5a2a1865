//go:build !race

package register

// raceDetector reports whether the tests run under the race detector.
const raceDetector = false
