//go:build !race

package elect_test

const raceEnabled = false
