//go:build !race

package register

// raceDetector says whether the tests run under the race detector.
const raceDetector = false
