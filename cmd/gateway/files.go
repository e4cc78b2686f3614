package main

import (
	"path/filepath"
)

// resolvePath resolves a file name that a configuration holds.
func resolvePath(config, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(config), name)
}
