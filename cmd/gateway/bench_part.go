package main

import (
	"os"

	"mulleinmux/internal/benchmark"
)

// partCmd runs one process of a measurement; the bench command starts it.
type partCmd struct {
	Part string `arg:""`
}

func (c *partCmd) Run(e *environment) error {
	return benchmark.RunPart(e.ctx, c.Part, os.Stdin, e.stdout)
}
