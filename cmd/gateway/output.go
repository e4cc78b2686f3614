package main

import (
	"encoding/json"
	"io"
)

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
