package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"mulleinmux/internal/scenario"
)

type labCmd struct {
	Scenario     string        `help:"Scenario to play; see --list." default:"calm"`
	For          time.Duration `help:"How long clients send." default:"20s"`
	Seed         uint64        `help:"Seed of clients and faults." default:"1"`
	JSON         bool          `help:"Print the verdict as JSON."`
	List         bool          `help:"List the scenarios."`
	RampOff      bool          `help:"The instances take every server for warm: servers-replaced then shows one that is pushed over."`
	KeysAnywhere bool          `help:"Without the guard of keys: hall-closes then shows double bookings."`
	Logs         string        `help:"File for the instances' logs." type:"path"`
}

func (c *labCmd) Run(e *env) error {
	if c.List {
		for _, s := range scenario.Scenarios() {
			fmt.Fprintf(e.stdout, "%-28s %s\n", s.Name, s.About)
		}
		return nil
	}
	if c.For < time.Second || c.For > time.Hour {
		return usage{fmt.Errorf("--for: %v is outside 1s to 1h", c.For)}
	}
	opt := scenario.Options{Scenario: c.Scenario, For: c.For, Seed: c.Seed, KeysAnywhere: c.KeysAnywhere, RampOff: c.RampOff,
		Progress: func(line string) { fmt.Fprintln(e.stderr, line) }}
	if !known(c.Scenario) {
		return usage{fmt.Errorf("--scenario: %q is unknown: see gateway lab --list", c.Scenario)}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	opt.Program, opt.Env = program, e.env
	if c.Logs != "" {
		f, err := os.Create(c.Logs)
		if err != nil {
			return usage{fmt.Errorf("--logs: %w", err)}
		}
		defer f.Close()
		opt.Log = f
	}
	v, err := scenario.Run(e.ctx, opt)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(v)
	} else {
		err = v.Print(e.stdout)
	}
	if err != nil {
		return err
	}
	if !v.OK {
		return errVerdict
	}
	return nil
}

func known(name string) bool {
	for _, s := range scenario.Scenarios() {
		if s.Name == name {
			return true
		}
	}
	return false
}
