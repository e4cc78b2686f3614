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

// The garbage collector's settings. The heap is a few megabytes, so that letting it grow fivefold between collections
// costs little memory; the limit, a fraction of what the node may use, makes collections more frequent before that runs
// out.
const (
	gcPercent      = 400
	memoryFraction = 0.6
)

func main() {
	logger := logging.New(os.Stderr)
	// Handled from the first moment: SIGHUP ends a program that does not handle it. One that is received while another is
	// being handled is kept, and the file is read once more.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := edgeproxy.LoadConfig(os.Getenv)
	if err != nil {
		logger.Error("invalid configuration", logging.Error(err))
		os.Exit(1)
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
		os.Exit(1)
	}
}
