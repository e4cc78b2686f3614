package gatewayconfig

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"mulleinmux/internal/discovery"
	"mulleinmux/routing"
)

// parser parses one file and collects its problems. Its methods add a problem for an invalid field and continue, so
// that all problems of a file are reported at once.
type parser struct {
	file     string
	text     []byte
	problems routing.Problems
}

// decode decodes the text into a form. If that fails, it adds problems and returns false.
func (p *parser) decode(form any) bool {
	decoder := toml.NewDecoder(bytes.NewReader(p.text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(form); err != nil {
		p.addDecodeError(err)
		return false
	}
	return true
}

// addDecodeError adds the errors of the TOML library as problems.
func (p *parser) addDecodeError(err error) {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		for _, e := range strict.Errors {
			p.problems = append(p.problems, routing.Problem{
				File:  p.file,
				Pos:   positionOf(&e),
				Field: strings.Join(e.Key(), "."),
				Text:  "is not a field of this file",
			})
		}
		return
	}
	problem := routing.Problem{File: p.file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		problem.Pos, problem.Field = positionOf(e), strings.Join(e.Key(), ".")
	}
	p.problems = append(p.problems, problem)
}

func positionOf(e *toml.DecodeError) routing.Pos {
	row, column := e.Position()
	return routing.Pos{Line: row, Column: column}
}

// addProblem adds a problem of a field such as "plan[2].rate".
func (p *parser) addProblem(field, format string, args ...any) {
	p.problems = append(p.problems, routing.Problem{
		File:  p.file,
		Pos:   routing.Pos{Line: lineOf(p.text, field)},
		Field: field,
		Text:  fmt.Sprintf(format, args...),
	})
}

// address parses an IP address with a port.
func (p *parser) address(field, value string) netip.AddrPort {
	addr, err := discovery.ParseAddress(field, value)
	if err != nil {
		p.addProblem(field, "%q is not an IP address with a port, such as \"127.0.0.1:8080\"", value)
	}
	return addr
}

// namedValue is the name and the value of a field.
type namedValue struct{ name, value string }

// requireValues adds a problem for each field of a section that has no value.
func (p *parser) requireValues(section string, fields ...namedValue) {
	for _, f := range fields {
		if f.value == "" {
			p.addProblem(section+"."+f.name, "is missing: a value is required")
		}
	}
}

// fieldPath is a field's place in a file: plan[2].rate is key rate of the third table plan.
type fieldPath struct {
	table string // "" outside any table
	index int    // of the table among those of its name
	key   string
}

func parseFieldPath(field string) (path fieldPath) {
	path.key = field
	if i := strings.LastIndexByte(field, '.'); i >= 0 {
		path.table, path.key = field[:i], field[i+1:]
	}
	if i := strings.IndexByte(path.table, '['); i >= 0 {
		fmt.Sscanf(path.table[i:], "[%d]", &path.index)
		path.table = path.table[:i]
	}
	path.key, _, _ = strings.Cut(path.key, "[")
	return path
}

// lineOf returns the line of a field, counted from 1: the line of its key, else that of its table, else 1.
func lineOf(text []byte, field string) int {
	path := parseFieldPath(field)
	tableLine, currentTable, currentIndex := 1, "", -1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			currentTable = strings.Trim(line, "[] ")
			if currentTable != path.table {
				continue
			}
			currentIndex++
			if currentIndex == path.index {
				tableLine = i + 1
			}
		case strings.HasPrefix(line, "["):
			currentTable = strings.Trim(line, "[] ")
			if currentTable == path.table {
				currentIndex, tableLine = path.index, i+1
			}
		case currentTable == path.table && (path.table == "" || currentIndex == path.index):
			key, _, isAssignment := strings.Cut(line, "=")
			if isAssignment && strings.TrimSpace(key) == path.key {
				return i + 1
			}
		}
	}
	return tableLine
}
