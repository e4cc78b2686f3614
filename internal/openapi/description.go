// Package openapi reads OpenAPI 3.0 and 3.1 descriptions, in YAML or JSON, into the
// form that package routing compiles. It reads a single file: a reference to anything
// outside that file is reported as a problem, and its target is never fetched.
package openapi

import (
	"context"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// MaxBytes is the maximum length of a description, in bytes.
const MaxBytes = 16 << 20

// To limit the memory for the short-lived trees of a description that is longer than
// largeDescriptionBytes, [Read] runs a garbage collection before the library loads it,
// and lowers the GC percentage until it returns.
const (
	largeDescriptionBytes     = 1 << 20
	largeDescriptionGCPercent = 30 // GOGC value
)

// Description is a parsed and validated description.
type Description struct {
	Doc  *routing.Document
	spec *openapi3.T
}

// Read parses and validates a description. file is its name in problems. The error is of
// type [routing.Problems].
func Read(file string, text []byte) (*Description, error) {
	r := &reader{file: file, text: text, aliasSizes: map[*yaml.Node]int{}}
	doc := r.readDocument()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	if len(text) > largeDescriptionBytes {
		runtime.GC() // otherwise this tree is still in memory while the library builds its own
		defer debug.SetGCPercent(debug.SetGCPercent(largeDescriptionGCPercent))
	}
	spec, err := loadSpec(text)
	if err != nil {
		r.addLibraryProblems(err)
		return nil, r.problems
	}
	r.fillDocument(doc, spec)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return &Description{Doc: doc, spec: spec}, nil
}

// Compile reads a description and compiles it. The error is of type [routing.Problems].
func Compile(file string, text []byte, opt routing.Options) (*routing.Table, *Description, error) {
	description, err := Read(file, text)
	if err != nil {
		return nil, nil, err
	}
	table, err := routing.Compile(description.Doc, opt)
	return table, description, err
}

// readDocument checks the YAML tree and returns its paths and extensions. The result is
// valid only if r.problems is empty afterwards.
func (r *reader) readDocument() *routing.Document {
	if len(r.text) > MaxBytes {
		r.addProblem(nil, "", "is %d bytes long (limit %d)", len(r.text), MaxBytes)
		return nil
	}
	if r.parse(); len(r.problems) > 0 {
		return nil
	}
	r.checkNode(r.root, "", 0)
	if len(r.problems) == 0 {
		r.checkVersion()
	}
	if r.checkOperationIDs(); len(r.problems) > 0 {
		return nil
	}
	doc := r.outline()
	r.root, r.aliasSizes = nil, nil // freed here, since they are as large as everything that is built next
	return doc
}

// checkVersion checks that the OpenAPI version of the description is 3.0 or 3.1.
func (r *reader) checkVersion() {
	version := fieldValue(r.root, "openapi")
	if version == nil {
		r.addProblem(r.root, "openapi", "must be version 3.0 or 3.1")
		return
	}
	if !strings.HasPrefix(version.Value, "3.0.") && !strings.HasPrefix(version.Value, "3.1.") {
		r.addProblem(version, "openapi", "must be version 3.0 or 3.1")
	}
}

// loadSpec loads and validates the description with the OpenAPI library. The text must
// have passed [reader.checkNode], which ensures that it has no references to other files.
func loadSpec(text []byte) (*openapi3.T, error) {
	spec, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return nil, err
	}
	// Examples are not validated, since they affect neither routing nor charging. The library does not support path
	// items as components.
	err = spec.Validate(context.Background(), openapi3.EnableMultiError(), openapi3.DisableExamplesValidation(),
		openapi3.DisableSchemaPatternValidation(), openapi3.AllowExtraSiblingFields("pathItems"))
	if err != nil {
		return nil, err
	}
	return spec, nil
}
