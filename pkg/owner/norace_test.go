//go:build !race

package owner_test

// raceEnabled reports that the race detector makes the tests slow.
const raceEnabled = false
