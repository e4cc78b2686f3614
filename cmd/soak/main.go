// Command soak runs the real edge proxy or gateway under the load of clients that keep using their connections while
// the program is terminated, upgraded, stopped or killed by seeded plans. It exits with status 0 only if all runs were
// executed and none that was undisturbed broke a rule.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"mulleinmux/internal/soak"
)

// arguments are the command-line arguments.
type arguments struct {
	Target   string        `help:"Program under test: ${enum}." enum:"edgeproxy,gateway" required:""`
	Seeds    string        `help:"Seed, or range of seeds, such as 1-50." default:"1-10"`
	For      time.Duration `help:"How long clients send requests before the first signal." default:"2s"`
	Parallel int           `help:"Number of runs at once." default:"2"`
	Busy     int           `help:"Number of busy loops to run on the machine at the same time." default:"0"`
	Program  string        `help:"Path of a built program. If empty, the program is built." type:"path"`
	JSON     bool          `help:"Print verdicts as JSON, one per line."`
	Verbose  bool          `help:"Print the plan of every run." short:"v"`
}

// Limits of the arguments.
const (
	maxSeeds    = 100_000
	maxParallel = 64
	maxBusy     = 1024
)

// parseSeeds parses a seed, or a range of seeds such as 1-50.
func parseSeeds(text string) (first, last uint64, err error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	first, err = strconv.ParseUint(low, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(high, 10, 64)
	}
	if err != nil || last < first || last-first >= maxSeeds {
		return 0, 0, fmt.Errorf("--seeds: %q is neither a seed nor an ascending range of at most %d seeds", text, maxSeeds)
	}
	return first, last, nil
}

// check returns an error if an argument is out of range.
func (a *arguments) check() error {
	switch {
	case a.Parallel < 1 || a.Parallel > maxParallel:
		return fmt.Errorf("--parallel: %d is out of range (1 to %d)", a.Parallel, maxParallel)
	case a.Busy < 0 || a.Busy > maxBusy:
		return fmt.Errorf("--busy: %d is out of range (0 to %d)", a.Busy, maxBusy)
	}
	_, err := soak.NewPlan(soak.Target(a.Target), 0, a.For)
	if err != nil {
		return fmt.Errorf("--for: %w", err)
	}
	return nil
}

// errRuleBroken is returned if an undisturbed run broke a rule.
var errRuleBroken = errors.New("an undisturbed run broke a rule")

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("soak"), kong.Description("Soak test of shutdowns and upgrades.\n\n"+
		"Example: go run ./cmd/soak --target edgeproxy --seeds 1-50"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := a.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

// run executes the runs of all seeds, a.Parallel at a time.
func (a *arguments) run(ctx context.Context) error {
	if err := a.check(); err != nil {
		return err
	}
	first, last, err := parseSeeds(a.Seeds)
	if err != nil {
		return err
	}
	program, cleanUp, err := a.build(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	stopLoops := startBusyLoops(a.Busy)
	defer stopLoops()
	s := &summary{arguments: a}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range a.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				s.runSeed(ctx, seed, program)
			}
		})
	}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	return s.finish()
}

// build returns the path of the program, which it builds unless --program names one. cleanUp removes what was built.
func (a *arguments) build(ctx context.Context) (program string, cleanUp func(), err error) {
	if a.Program != "" {
		return a.Program, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "soak-build")
	if err != nil {
		return "", nil, err
	}
	program = filepath.Join(dir, a.Target)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/"+a.Target)
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		os.RemoveAll(dir)
		return "", nil, fmt.Errorf("building %s: %w", a.Target, err)
	}
	return program, func() { os.RemoveAll(dir) }, nil
}

// startBusyLoops starts processes that loop until stop is called.
func startBusyLoops(count int) (stop func()) {
	var loops []*exec.Cmd
	for range count {
		cmd := exec.Command("/bin/sh", "-c", "while :; do :; done")
		if cmd.Start() == nil {
			loops = append(loops, cmd)
		}
	}
	return func() {
		for _, cmd := range loops {
			cmd.Process.Kill()
			cmd.Wait()
		}
	}
}

// summary prints verdicts and counts their results.
type summary struct {
	arguments *arguments

	mu                                                    sync.Mutex // guards the fields below
	runs, broken, disturbed                               int
	disturbedBroken, failedToRun                          int
	requests, closedUnforwarded, openAtKill, clientClosed int
	heedingRequests, heedingRejected                      int
}

// runSeed executes the run of one seed and prints its verdict.
func (s *summary) runSeed(ctx context.Context, seed uint64, program string) {
	plan, err := soak.NewPlan(soak.Target(s.arguments.Target), seed, s.arguments.For)
	var v *soak.Verdict
	if err == nil {
		v, err = soak.Run(ctx, plan, program)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if err != nil {
		s.failedToRun++
		fmt.Printf("seed %d: could not be executed: %v\n", seed, err)
		return
	}
	s.add(v)
	s.print(v)
}

// add counts a verdict. The caller must hold s.mu.
func (s *summary) add(v *soak.Verdict) {
	s.requests += v.Requests
	s.closedUnforwarded += v.ClosedUnforwarded
	s.openAtKill += v.OpenAtKill
	s.clientClosed += v.ClientClosed
	s.heedingRequests += v.HeedingRequests
	s.heedingRejected += v.HeedingRejected
	switch {
	case v.Disturbed && !v.OK:
		s.disturbedBroken++
	case v.Disturbed:
		s.disturbed++
	case !v.OK:
		s.broken++
	}
}

// print prints a verdict. The caller must hold s.mu.
func (s *summary) print(v *soak.Verdict) {
	if s.arguments.JSON {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		fmt.Println(string(text))
		return
	}
	word := "ok"
	switch {
	case v.Disturbed && !v.OK:
		word = "DISTURBED, rules broken"
	case v.Disturbed:
		word = "disturbed"
	case !v.OK:
		word = "BROKEN"
	}
	fmt.Printf("seed %d %s: %s; %d requests, %d served, %d rejected, %d failed, %d left, %d crossed, %d excused, "+
		"%d attempts; stall %v; rejected with Retry-After heeded %s\n", v.Seed, v.Series, word, v.Requests, v.Served,
		v.Rejected, v.Failed, v.ClientClosed, v.ClosedUnforwarded, v.OpenAtKill, v.Attempts,
		v.LongestStall.Round(time.Millisecond), share(v.HeedingRejected, v.HeedingRequests))
	if s.arguments.Verbose || !v.OK {
		fmt.Println("    plan:", v.Plan)
	}
	for _, example := range v.Examples {
		fmt.Println("    " + example)
	}
	if s.arguments.Verbose || !v.OK {
		fmt.Println("    " + strings.Join(v.Processes, "; "))
	}
}

// share returns a part of a total with its percentage.
func share(part, total int) string {
	return fmt.Sprintf("%d of %d (%.0f%%)", part, total, 100*float64(part)/float64(max(total, 1)))
}

// finish prints the totals. It returns an error if an undisturbed run broke a rule, or if a run was not executed.
func (s *summary) finish() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.arguments.JSON {
		fmt.Printf("%d runs of %s: %d broke a rule, %d were disturbed (%d of them with a rule broken), "+
			"%d could not be executed; %d requests, %d left, %d crossed, %d excused; rejected with Retry-After heeded %s\n",
			s.runs, s.arguments.Target, s.broken, s.disturbed+s.disturbedBroken, s.disturbedBroken, s.failedToRun,
			s.requests, s.clientClosed, s.closedUnforwarded, s.openAtKill, share(s.heedingRejected, s.heedingRequests))
	}
	if s.broken > 0 {
		return errRuleBroken
	}
	if s.failedToRun > 0 {
		return fmt.Errorf("%d runs ended without a verdict", s.failedToRun)
	}
	return nil
}
