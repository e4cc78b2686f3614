//go:build !race

package configstream

const raceEnabled = false
