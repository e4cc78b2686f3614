//go:build race

package confstream

const raceEnabled = true
