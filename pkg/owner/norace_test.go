//go:build !race

package owner_test

// raceEnabled reports whether the race detector, which makes the tests slow, is enabled.
const raceEnabled = false
