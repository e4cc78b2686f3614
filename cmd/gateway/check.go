package main

import (
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

// checkCmd checks descriptions and configurations without starting anything.
type checkCmd struct {
	Files  []string `arg:"" name:"file" help:"Descriptions and configurations."`
	Config string   `help:"Configuration whose classes and limits the descriptions are checked with. Without it, the embedded default is used." type:"path"`
	JSON   bool     `help:"Print the result as JSON."`
}

// checkResult is what check finds in one file; it is printed as JSON with --json.
type checkResult struct {
	File       string           `json:"file"`
	OK         bool             `json:"ok"`
	Problems   []checkProblem   `json:"problems,omitempty"`
	Warnings   []string         `json:"warnings,omitempty"`
	Operations []checkOperation `json:"operations,omitempty"`
}

// checkProblem is one reason why a file cannot be used.
type checkProblem struct {
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"`
	Text    string `json:"text"`
	display string
}

// checkOperation is one operation of a description that can be used.
type checkOperation struct {
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Class     string `json:"class"`
	Units     string `json:"units"`
	Line      int    `json:"line"`
}

func (c *checkCmd) Run(e *environment) error {
	opt, err := descriptionOptions(c.Config)
	if err != nil {
		return usageError{err}
	}
	var all []checkResult
	ok := true
	for _, file := range c.Files {
		r := checkFile(file, opt)
		ok = ok && r.OK
		all = append(all, r)
	}
	if c.JSON {
		err = printJSON(e.stdout, all)
	} else {
		err = printCheckResults(e.stdout, all)
	}
	if err != nil {
		return err
	}
	if !ok {
		return usageError{errors.New("not all files can be used")}
	}
	return nil
}

// descriptionOptions returns the options of config, or of the embedded default, that descriptions are compiled with.
func descriptionOptions(config string) (routing.Options, error) {
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

// checkFile checks one description, or one configuration with the description that it names.
func checkFile(file string, opt routing.Options) checkResult {
	result := checkResult{File: file}
	if err := result.compile(opt); err != nil {
		result.Problems = problemsOf(err)
		return result
	}
	result.OK = true
	return result
}

// compile reads and compiles the result's file, and records the operations and warnings of its description.
func (r *checkResult) compile(opt routing.Options) error {
	text, err := os.ReadFile(r.File)
	if err != nil {
		return err
	}
	description := r.File
	if strings.HasSuffix(r.File, ".toml") {
		f, err := gatewayconfig.Parse(r.File, text)
		if err != nil {
			return err
		}
		if f.Member != nil || f.Follower != nil { // its file names no description
			return nil
		}
		description, opt = resolvePath(r.File, f.Description), f.Config.Options()
		if text, err = os.ReadFile(description); err != nil {
			return fmt.Errorf("%s: description: %w", r.File, err)
		}
	}
	table, _, err := openapi.Compile(description, text, opt)
	if err != nil {
		return err
	}
	for _, op := range table.Operations {
		r.addOperation(description, op)
	}
	return nil
}

// addOperation records an operation, with a warning if it changes something and inherits its class or units.
func (r *checkResult) addOperation(description string, op *routing.Operation) {
	class, _, _ := strings.Cut(op.Class.Name, "/")
	r.Operations = append(r.Operations, checkOperation{
		Operation: op.ID,
		Method:    op.Method,
		Path:      op.Template,
		Class:     class + " " + strings.SplitN(op.Class.Name, "/", 3)[1],
		Units:     formatUnits(op.Units),
		Line:      op.Pos.Line,
	})
	if len(op.InheritedFields) == 0 {
		return
	}
	const format = "%s:%d: %s %s changes something and takes its %s from the document's x-mulleinmux: " +
		"declare them at the operation"
	fields := strings.Join(op.InheritedFields, " and ")
	r.Warnings = append(r.Warnings, fmt.Sprintf(format, description, op.Pos.Line, op.Method, op.Template, fields))
}

// problemsOf returns the problems that an error contains, with their positions. An error of another type becomes one
// problem without a position.
func problemsOf(err error) []checkProblem {
	found, ok := errors.AsType[routing.Problems](err)
	if !ok {
		return []checkProblem{{Text: err.Error(), display: err.Error()}}
	}
	var problems []checkProblem
	for _, p := range found {
		problems = append(problems, checkProblem{
			Line:    p.Pos.Line,
			Column:  p.Pos.Column,
			Field:   p.Field,
			Text:    p.Text,
			display: p.Error(),
		})
	}
	return problems
}

// formatUnits formats the number of units that an operation is charged, or their range and the source of the value.
func formatUnits(u routing.Units) string {
	if u.Fixed > 0 {
		return fmt.Sprint(u.Fixed)
	}
	text := fmt.Sprintf("%d to %d by %s", u.Min, u.Max, u.Source)
	if u.HasDefault {
		text += fmt.Sprintf(", else %d", u.Default)
	}
	return text
}

// printCheckResults prints results as text.
func printCheckResults(out io.Writer, all []checkResult) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range all {
		if !r.OK {
			fmt.Fprintf(w, "%s: cannot be used\n", r.File)
			for _, p := range r.Problems {
				fmt.Fprintf(w, "  %s\n", p.display)
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
