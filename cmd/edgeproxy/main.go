// Command edgeproxy runs one edge node on real sockets.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"mulleinmux/internal/edgeproxy"
	"mulleinmux/internal/logging"
)

// Settings of the garbage collector. The heap is a few megabytes, so letting it grow fivefold between collections costs
// little memory. The memory limit, a fraction of the node's memory, makes collections more frequent before that is used
// up.
const (
	gcPercent      = 400
	memoryFraction = 0.7
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1
)

func main() {
	os.Exit(run())
}

// run runs the edge node and returns the exit status.
func run() int {
	log := logging.NewQueuedWriter(os.Stderr)
	defer log.Close()
	logger := logging.New(log)
	// Registered before anything else, because an unhandled SIGHUP terminates the program. A signal that arrives while
	// another one is being handled stays in the channel and causes one more reload.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := edgeproxy.LoadConfig(os.Getenv)
	if err != nil {
		logger.Error("invalid configuration", logging.Error(err))
		return exitFailure
	}
	runtime.GOMAXPROCS(1) // the node has one core
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(cfg.MemoryMB) * (1 << 20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err = edgeproxy.Run(ctx, cfg, reload, logger)
	stop()
	if err != nil {
		logger.Error("edge node failed", logging.Error(err))
		return exitFailure
	}
	return exitOK
}
