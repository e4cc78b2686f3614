package main

import (
	"path/filepath"
)

// resolvePath resolves a file name in a configuration file, relative to the folder of that file.
func resolvePath(config, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(config), name)
}
