// Command gateway is the gateway between halls, and its operators' tool.
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
)

// cli is the whole command line.
type cli struct {
	Lab    labCmd    `cmd:"" help:"Play a scenario: real instances on loopback between stand-in halls. Exits 0 only if every rule was kept. Example: gateway lab --scenario mixed --for 20s --seed 7 --json"`
	Check  checkCmd  `cmd:"" help:"Check descriptions (YAML, JSON) and configurations (TOML) without starting anything. Example: gateway check deploy/booking.yaml deploy/gateway.toml"`
	Bench  benchCmd  `cmd:"" help:"Measure CPU a request and requests a second beside httputil.ReverseProxy. Example: gateway bench --for 3s --procs 1,2"`
	Part   partCmd   `cmd:"" name:"bench-part" hidden:""`
	Certs  certsCmd  `cmd:"" help:"Make the certificates with which instances know each other. Example: gateway certs --cluster dodoma --members 1,2,3 --dir certs"`
	Init   initCmd   `cmd:"" help:"Make the file of a member of a cluster, once. Example: gateway init --config gate-1.toml --new-cluster"`
	Config configCmd `cmd:"" help:"Ask and change what the instances of a cluster agree on."`
	Stream streamCmd `cmd:"" help:"Ask how the instances that follow stand."`
	Run    runCmd    `cmd:"" help:"Run one instance until SIGTERM. SIGHUP reads its description again. Example: gateway run --config deploy/gateway.toml"`
}

// env is what a command needs of the world.
type env struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	env    []string // for the processes of the lab
}

// errVerdict is a scenario that broke a rule: its verdict has been printed.
var errVerdict = errors.New("a rule was broken")

// usage is a mistake of the operator's: exit status 2.
type usage struct{ error }

// labEnv is added to the environment of the lab's processes.
var labEnv []string

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out a command line and returns the exit status: 0, 1 for a failure or a
// broken rule, 2 for bad input.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	exit := -1
	parser, err := kong.New(&c, kong.Name("gateway"), kong.Description("A gateway between halls of booking servers, by an OpenAPI description."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exit = code }))
	if err != nil {
		fmt.Fprintln(stderr, "gateway:", err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit // help was asked for
	}
	if err != nil {
		fmt.Fprintln(stderr, "gateway:", err)
		return 2
	}
	err = parsed.Run(&env{ctx, stdout, stderr, labEnv}, &c.Config, &c.Stream)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errVerdict), errors.Is(err, errDiffers):
		return 1
	}
	fmt.Fprintln(stderr, "gateway:", err)
	if _, ok := errors.AsType[usage](err); ok {
		return 2
	}
	return 1
}
