// Command gateway runs a gateway instance, and has the commands with which operators manage and test instances.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"mulleinmux/internal/logging"
)

// cli is the whole command line.
type cli struct {
	Lab    labCmd    `cmd:"" help:"Run a scenario: real instances on loopback between simulated sites. Exits with 0 only if no rule was violated. Example: gateway lab --scenario mixed --for 20s --seed 7 --json"`
	Check  checkCmd  `cmd:"" help:"Check descriptions (YAML, JSON) and configurations (TOML) without starting anything. Example: gateway check deploy/booking.yaml deploy/gateway.toml"`
	Bench  benchCmd  `cmd:"" help:"Measure CPU time per request and requests per second, compared with httputil.ReverseProxy. Example: gateway bench --for 3s --procs 1,2"`
	Part   partCmd   `cmd:"" name:"bench-part" hidden:""`
	Certs  certsCmd  `cmd:"" help:"Issue the certificates with which instances authenticate each other. Example: gateway certs --cluster dodoma --members 1,2,3 --dir certs"`
	Init   initCmd   `cmd:"" help:"Create the data file of a cluster member. Example: gateway init --config gate-1.toml --new-cluster"`
	Config configCmd `cmd:"" help:"Show and change the configuration that the members of a cluster agree on."`
	Stream streamCmd `cmd:"" help:"Show the status of followers, and pin them to versions."`
	Run    runCmd    `cmd:"" help:"Run one instance until SIGTERM. On SIGHUP it reads its description again. Example: gateway run --config deploy/gateway.toml"`
}

// environment holds the context and the outputs of a command, and environment variables for processes that it starts.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	labEnv []string // additional variables for the processes of the lab command

	queuedStderr *logging.QueuedWriter // nil before queueStderr is called
}

// queueStderr makes the command no longer wait for the reader of its standard error, from now until it has ended.
func (e *environment) queueStderr() {
	e.queuedStderr = logging.NewQueuedWriter(e.stderr)
	e.stderr = e.queuedStderr
}

// close writes what is left of the standard error.
func (e *environment) close() {
	if e.queuedStderr != nil {
		e.queuedStderr.Close()
	}
}

// errRuleBroken is returned for a scenario that broke a rule, after its verdict has been printed.
var errRuleBroken = errors.New("a rule was broken")

// usageError marks an error that the operator's input caused: the program exits with exitUsage.
type usageError struct{ error }

// extraLabEnv is added to the environment variables of the lab command's processes; tests set it.
var extraLabEnv []string

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1 // also for a scenario that broke a rule, and for a file that differs
	exitUsage   = 2 // bad input
)

// run executes a command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("gateway"),
		kong.Description("A gateway that routes requests to sites of booking servers by an OpenAPI description."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }))
	if err != nil {
		fmt.Fprintln(stderr, "gateway:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit // kong has printed the requested help
	}
	if err != nil {
		fmt.Fprintln(stderr, "gateway:", err)
		return exitUsage
	}
	e := &environment{ctx: ctx, stdout: stdout, stderr: stderr, labEnv: extraLabEnv}
	defer e.close()
	err = parsed.Run(e, &c.Config, &c.Stream)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRuleBroken), errors.Is(err, errDiffers):
		return exitFailure
	}
	fmt.Fprintln(e.stderr, "gateway:", err)
	if _, ok := errors.AsType[usageError](err); ok {
		return exitUsage
	}
	return exitFailure
}
