package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"mulleinmux/deploy"
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
