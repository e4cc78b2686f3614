//go:build !race

package multisite

const raceEnabled = false
