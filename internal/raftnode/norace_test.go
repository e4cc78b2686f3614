//go:build !race

package raftnode

const raceEnabled = false
