//go:build race

package control

// raceDetector is whether the tests run under the race detector.
const raceDetector = true
