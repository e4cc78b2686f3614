package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
)

// programVariable names the environment variable with the path of another build of the program, which [runProgram] then
// executes. Fixtures are recorded from an older build in this way.
const programVariable = "MULLEINMUX_PROGRAM"

// runProgram executes a command line like [run], or with the program that programVariable names.
func runProgram(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	path := os.Getenv(programVariable)
	if path == "" {
		return run(ctx, args, stdout, stderr)
	}
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Stdout, cmd.Stderr = stdout, stderr
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = testTimeout
	err := cmd.Run()
	if cmd.ProcessState == nil {
		fmt.Fprintln(stderr, err)
		return -1
	}
	if _, ok := errors.AsType[*exec.ExitError](err); err != nil && !ok && ctx.Err() == nil {
		fmt.Fprintln(stderr, err)
	}
	return cmd.ProcessState.ExitCode()
}
