package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/openapi"
	"mulleinmux/routing"
)

type checkCmd struct {
	Files  []string `arg:"" name:"file" help:"Descriptions and configurations."`
	Config string   `help:"Configuration whose classes and limits the descriptions are checked with; the embedded default otherwise." type:"path"`
	JSON   bool     `help:"Print the result as JSON."`
}

// checked is what check tells of one file, also as JSON.
type checked struct {
	File       string             `json:"file"`
	OK         bool               `json:"ok"`
	Problems   []problem          `json:"problems,omitempty"`
	Warnings   []string           `json:"warnings,omitempty"`
	Operations []checkedOperation `json:"operations,omitempty"`
}

type problem struct {
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Field  string `json:"field,omitempty"`
	Text   string `json:"text"`
	shown  string
}

type checkedOperation struct {
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Class     string `json:"class"`
	Units     string `json:"units"`
	Line      int    `json:"line"`
}

func (c *checkCmd) Run(e *env) error {
	opt, err := classesOf(c.Config)
	if err != nil {
		return usage{err}
	}
	var all []checked
	ok := true
	for _, file := range c.Files {
		r := checkFile(file, opt)
		ok = ok && r.OK
		all = append(all, r)
	}
	if c.JSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(all)
	} else {
		err = printChecked(e.stdout, all)
	}
	if err != nil {
		return err
	}
	if !ok {
		return usage{errors.New("not all files can be used")}
	}
	return nil
}

// classesOf returns what descriptions are compiled with.
func classesOf(config string) (routing.Options, error) {
	text, name := deploy.Gateway, "gateway.toml"
	if config != "" {
		var err error
		if text, err = os.ReadFile(config); err != nil {
			return routing.Options{}, fmt.Errorf("--config: %w", err)
		}
		name = config
	}
	f, err := gatewayconfig.Parse(name, text)
	if err != nil {
		return routing.Options{}, err
	}
	return f.Config.Options(), nil
}

func checkFile(file string, opt routing.Options) (r checked) {
	r.File = file
	fail := func(err error) checked {
		ps, ok := errors.AsType[routing.Problems](err)
		if !ok {
			r.Problems = append(r.Problems, problem{Text: err.Error(), shown: err.Error()})
		}
		for _, p := range ps {
			r.Problems = append(r.Problems, problem{p.Pos.Line, p.Pos.Column, p.Field, p.Text, p.Error()})
		}
		return r
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fail(err)
	}
	description := file
	if strings.HasSuffix(file, ".toml") {
		f, err := gatewayconfig.Parse(file, text)
		if err != nil {
			return fail(err)
		}
		if f.Member != nil || f.Follower != nil { // it names no description
			r.OK = true
			return r
		}
		description, opt = beside(file, f.Description), f.Config.Options()
		if text, err = os.ReadFile(description); err != nil {
			return fail(fmt.Errorf("%s: description: %w", file, err))
		}
	}
	table, _, err := openapi.Compile(description, text, opt)
	if err != nil {
		return fail(err)
	}
	for _, op := range table.Operations {
		class, _, _ := strings.Cut(op.Class.Name, "/")
		r.Operations = append(r.Operations, checkedOperation{op.ID, op.Method, op.Template, class + " " + strings.SplitN(op.Class.Name, "/", 3)[1], unitsText(op.Units), op.Pos.Line})
		if len(op.InheritedFields) > 0 {
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s:%d: %s %s changes something and takes its %s from the document's x-mulleinmux: declare them at the operation",
				description, op.Pos.Line, op.Method, op.Template, strings.Join(op.InheritedFields, " and ")))
		}
	}
	r.OK = true
	return r
}

func unitsText(u routing.Units) string {
	if u.Fixed > 0 {
		return fmt.Sprint(u.Fixed)
	}
	text := fmt.Sprintf("%d to %d by %s", u.Min, u.Max, u.Source)
	if u.HasDefault {
		text += fmt.Sprintf(", else %d", u.Default)
	}
	return text
}

func printChecked(out io.Writer, all []checked) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range all {
		if !r.OK {
			fmt.Fprintf(w, "%s: cannot be used\n", r.File)
			for _, p := range r.Problems {
				fmt.Fprintf(w, "  %s\n", p.shown)
			}
			continue
		}
		fmt.Fprintf(w, "%s: can be used, %d operations\n", r.File, len(r.Operations))
		for _, o := range r.Operations {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\n", o.Operation, o.Method, o.Path, o.Class, o.Units)
		}
		for _, t := range r.Warnings {
			fmt.Fprintf(w, "  warning: %s\n", t)
		}
	}
	return w.Flush()
}

// beside resolves a file name that a configuration holds.
func beside(config, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(config), name)
}

type runCmd struct {
	Config string `help:"The instance's file." required:"" type:"path"`
	Chaos  uint64 `help:"Seed of faults of the network between members and of the disk (the lab's)." hidden:""`
}

func (c *runCmd) Run(e *env) (err error) {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return usage{fmt.Errorf("--config: %w", err)}
	}
	f, err := gatewayconfig.Parse(c.Config, text)
	if err != nil {
		return usage{err}
	}
	cfg := &f.Config
	if f.AccessLog != "" {
		out, err := os.OpenFile(beside(c.Config, f.AccessLog), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
		if err != nil {
			return usage{fmt.Errorf("access_log: %w", err)}
		}
		defer out.Close()
		access := gateway.NewAccessLog(out)
		defer func() { err = errors.Join(err, access.Close()) }()
		cfg.Observe = access.Record
	}
	logger := log.New(e.stderr, "", log.LstdFlags|log.Lmicroseconds)
	if f.Member != nil {
		return c.member(e, f, logger)
	}
	if f.Follower != nil {
		return c.follower(e, f, logger)
	}
	description := beside(c.Config, f.Description)
	table, check, err := load(description, cfg)
	if err != nil {
		return usage{err}
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ready, ended := make(chan *gateway.Instance, 1), make(chan error, 1)
	go func() {
		ended <- gateway.Run(e.ctx, cfg, cfg.Setup(1, table, check), logger, func(in *gateway.Instance) { ready <- in })
	}()
	var in *gateway.Instance
	for number := uint64(1); ; {
		select {
		case err := <-ended:
			return err
		case in = <-ready:
		case <-reload:
			if in == nil {
				continue
			}
			table, check, err := load(description, cfg)
			if err == nil {
				err = in.Install(cfg.Setup(number+1, table, check))
			}
			if err != nil {
				logger.Printf("reload: the description in force stays, version %d:\n%v", number, err)
				continue
			}
			number++
			logger.Printf("reload: version %d is in force, %d operations", number, len(table.Operations))
		}
	}
}

// load reads and compiles the description.
func load(file string, cfg *gateway.Config) (*routing.Table, gateway.Checker, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("description: %w", err)
	}
	table, d, err := openapi.Compile(file, text, cfg.Options())
	if err != nil {
		return nil, nil, err
	}
	if !cfg.FullValidation {
		return table, nil, nil
	}
	return table, d.Checker(), nil
}
