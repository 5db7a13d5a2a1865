//go:build !race

package control

// raceDetector says whether the tests run under the race detector.
const raceDetector = false
