//go:build !race

package dedup_test

const raceEnabled = false
