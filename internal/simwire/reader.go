// Package simwire implements the simulator's line protocol: it parses lines into typed events and formats the policy's
// actions as lines. It makes no decisions of its own.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mulleinmux/policy"
)

const (
	// maxLineBytes is the size limit of a line; those with settings or lists of entries are the longest.
	maxLineBytes = 1 << 24
	// initialLineBytes is the initial size of the reader's buffer.
	initialLineBytes = 1 << 16
	// maxTable is the highest number of a server table.
	maxTable = 15
)

// Reader reads events. It keeps the numbered server tables, which all instances share.
type Reader struct {
	scanner *bufio.Scanner
	line    int
	tables  map[int][]policy.Server
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	return &Reader{scanner: scanner, tables: map[int][]policy.Server{}}
}

// Line returns the number of the last line read.
func (r *Reader) Line() int { return r.line }

// Next returns the next event. At the end of the input between messages the error is io.EOF; any other error includes
// the line number.
func (r *Reader) Next() (any, error) {
	for {
		text, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if text == "" {
			continue
		}
		event, err := r.parse(text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		if event != nil {
			return event, nil
		}
	}
}

func (r *Reader) readLine() (string, error) {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return "", io.EOF
	}
	r.line++
	return r.scanner.Text(), nil
}

// parse parses one message. It returns a nil event for a server table, which is kept by the reader.
func (r *Reader) parse(text string) (any, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == msgInstanceStarted {
		return parseInstanceStarted(rest)
	}
	f := &fields{}
	if rest != "" {
		f.values = strings.Split(rest, " ")
	}
	event, err := r.parseFields(name, f)
	if err != nil {
		return nil, err
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s: %w", name, f.err)
	}
	if left := f.left(); left > 0 {
		return nil, fmt.Errorf("%s: %d unexpected values at the end", name, left)
	}
	return event, nil
}

// parseFields parses the values of the named message. Errors of single values are left in f.err.
func (r *Reader) parseFields(name string, f *fields) (any, error) {
	switch name {
	case msgTable:
		return nil, r.readTable(f)
	case msgEndpointsChanged:
		return r.parseEndpointsChanged(f)
	}
	parse, ok := eventParsers[name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	return parse(f), nil
}

// readTable reads a server table: the values of its first line, and one more line for each server.
func (r *Reader) readTable(f *fields) error {
	table, rows := f.int(fieldTable), f.int(fieldTableRows)
	if f.err != nil {
		return nil // reported by the caller
	}
	if table < 0 || table > maxTable || rows < 0 {
		return fmt.Errorf(msgTable+": table %d or row count %d out of range", table, rows)
	}
	var servers []policy.Server
	for i := range rows {
		text, err := r.readLine()
		if err != nil {
			return fmt.Errorf(msgTable+": %d of %d entries: %w", i, rows, unexpectedEOF(err))
		}
		server, err := parseTableEntry(text)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	r.tables[table] = servers
	return nil
}

// parseTableEntry parses the line of one server.
func parseTableEntry(text string) (policy.Server, error) {
	f := &fields{values: strings.Split(text, " "), next: 1}
	if f.values[0] != msgTableEntry {
		return policy.Server{}, fmt.Errorf("expected "+msgTableEntry+", got %q", f.values[0])
	}
	server := policy.Server{
		ID:        f.str(fieldServer),
		State:     f.state(fieldServerState),
		Weight:    f.number(fieldServerWeight),
		Kind:      f.str(fieldMachineKind),
		Zone:      f.str(fieldZone),
		Cell:      f.int(fieldCell),
		StartedAt: f.duration(fieldStartedAt),
	}
	if f.err == nil && f.left() > 0 {
		f.err = errors.New("unexpected values at the end")
	}
	if f.err != nil {
		return policy.Server{}, fmt.Errorf(msgTableEntry+": %w", f.err)
	}
	return server, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for an end of the input inside a message.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseEndpointsChanged parses an update of the endpoint list. Its servers are those of the table that it refers to.
func (r *Reader) parseEndpointsChanged(f *fields) (any, error) {
	event := EndpointsChanged{Instance: f.int(fieldInstance)}
	f.number(fieldSequenceNumber)
	tableText, form := f.str(fieldTable), f.str(fieldUpdateKind)
	if f.err != nil {
		return nil, nil // reported by the caller
	}
	var ok bool
	if event.Kind, ok = updateKinds[form]; !ok {
		return nil, fmt.Errorf(msgEndpointsChanged+": unknown form %q", form)
	}
	if event.Kind == policy.EndpointsUnavailable {
		return event, nil
	}
	table, err := strconv.Atoi(tableText)
	if err != nil {
		return nil, fmt.Errorf(msgEndpointsChanged+": invalid table %q", tableText)
	}
	if event.Servers, ok = r.tables[table]; !ok {
		return nil, fmt.Errorf(msgEndpointsChanged+": unknown table %d", table)
	}
	return event, nil
}

// parseInstanceStarted parses the start of an instance, whose settings object may contain spaces.
func parseInstanceStarted(rest string) (any, error) {
	instance, rest, _ := strings.Cut(rest, " ")
	seed, settings, _ := strings.Cut(rest, " ")
	f := &fields{values: []string{instance, seed}}
	event := InstanceStarted{Instance: f.int(fieldInstance), Seed: f.uint(fieldSeed)}
	if f.err != nil {
		return nil, fmt.Errorf(msgInstanceStarted+": %w", f.err)
	}
	var err error
	if event.Settings, _, err = ParseSettings([]byte(settings)); err != nil {
		return nil, fmt.Errorf(msgInstanceStarted+": "+fieldSettings+": %w", err)
	}
	return event, nil
}
