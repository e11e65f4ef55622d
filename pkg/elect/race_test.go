//go:build race

package elect_test

// raceEnabled reduces the number of scenarios, as the race detector makes them several times slower.
const raceEnabled = true
