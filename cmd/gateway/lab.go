package main

import (
	"fmt"
	"os"
	"time"

	"mulleinmux/internal/scenario"
)

// labCmd runs a scenario.
type labCmd struct {
	Scenario     string        `help:"Scenario to run; see --list." default:"calm"`
	For          time.Duration `help:"How long clients send requests." default:"20s"`
	Seed         uint64        `help:"Seed of clients and faults." default:"1"`
	JSON         bool          `help:"Print the verdict as JSON."`
	List         bool          `help:"List the scenarios."`
	RampOff      bool          `help:"Disable slow start: servers-replaced then reports an overloaded cold server."`
	KeysAnywhere bool          `help:"Disable key ownership: hall-closes then reports double bookings."`
	Logs         string        `help:"File for the instances' logs." type:"path"`
}

func (c *labCmd) Run(e *environment) error {
	if c.List {
		for _, s := range scenario.Scenarios() {
			fmt.Fprintf(e.stdout, "%-28s %s\n", s.Name, s.Description)
		}
		return nil
	}
	if c.For < minScenarioDuration || c.For > maxScenarioDuration {
		return usageError{fmt.Errorf("--for: %v is outside 1s to 1h", c.For)}
	}
	if !isKnownScenario(c.Scenario) {
		return usageError{fmt.Errorf("--scenario: %q is unknown: see gateway lab --list", c.Scenario)}
	}
	options, err := c.scenarioOptions(e)
	if err != nil {
		return err
	}
	if c.Logs != "" {
		f, err := os.Create(c.Logs)
		if err != nil {
			return usageError{fmt.Errorf("--logs: %w", err)}
		}
		defer f.Close()
		options.Log = f
	}
	verdict, err := scenario.Run(e.ctx, options)
	if err != nil {
		return err
	}
	if err := c.print(e, verdict); err != nil {
		return err
	}
	if !verdict.OK {
		return errRuleBroken
	}
	return nil
}

// Bounds of --for.
const (
	minScenarioDuration = time.Second
	maxScenarioDuration = time.Hour
)

// scenarioOptions returns the options of the scenario without its log.
func (c *labCmd) scenarioOptions(e *environment) (scenario.Options, error) {
	program, err := os.Executable()
	return scenario.Options{
		Scenario:            c.Scenario,
		Duration:            c.For,
		Seed:                c.Seed,
		DisableKeyOwnership: c.KeysAnywhere,
		DisableSlowStart:    c.RampOff,
		Program:             program,
		Env:                 e.labEnv,
		Progress:            func(line string) { fmt.Fprintln(e.stderr, line) },
	}, err
}

// print prints a verdict as JSON or as text.
func (c *labCmd) print(e *environment, verdict *scenario.Verdict) error {
	if c.JSON {
		return printJSON(e.stdout, verdict)
	}
	return verdict.Print(e.stdout)
}

func isKnownScenario(name string) bool {
	for _, s := range scenario.Scenarios() {
		if s.Name == name {
			return true
		}
	}
	return false
}
