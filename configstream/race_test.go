//go:build race

package configstream

const raceEnabled = true
