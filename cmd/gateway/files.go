package main

import (
	"path/filepath"
)

// beside resolves a file name that a configuration holds.
func beside(config, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(config), name)
}
