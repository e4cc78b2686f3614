//go:build race

package multisite

const raceEnabled = true
