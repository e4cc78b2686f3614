// Package openapi reads OpenAPI 3.0 and 3.1 descriptions, in YAML or JSON, into the
// form that package routing compiles. It reads only the one file it is given: a
// reference to anything outside that file is a problem, and is never fetched.
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

// MaxBytes is the largest length of a description, in bytes.
const MaxBytes = 16 << 20

// A description longer than largeDescriptionBytes is read with a garbage collection
// between two steps and at a quicker pace until the end, because the trees of a large
// text are short-lived.
const (
	largeDescriptionBytes     = 1 << 20
	largeDescriptionGCPercent = 30 // as in GOGC
)

// Description is a description that was read and validated.
type Description struct {
	Doc  *routing.Document
	spec *openapi3.T
}

// Read parses and validates a description. file names it in problems. The error is
// [routing.Problems].
func Read(file string, text []byte) (*Description, error) {
	r := &reader{file: file, text: text, aliasSizes: map[*yaml.Node]int{}}
	doc := r.readDocument()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	if len(text) > largeDescriptionBytes {
		runtime.GC() // or the library's trees would be laid beside this one
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

// Compile reads a description and compiles it. The error is [routing.Problems].
func Compile(file string, text []byte, opt routing.Options) (*routing.Table, *Description, error) {
	description, err := Read(file, text)
	if err != nil {
		return nil, nil, err
	}
	table, err := routing.Compile(description.Doc, opt)
	return table, description, err
}

// readDocument checks the YAML tree and returns its paths and extensions. The result is
// usable only if it left no problems.
func (r *reader) readDocument() *routing.Document {
	if len(r.text) > MaxBytes {
		r.addProblem(nil, "", "is %d bytes long: %d are the most", len(r.text), MaxBytes)
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
	r.root, r.aliasSizes = nil, nil // as large as all that follows: not held through that
	return doc
}

// checkVersion checks that the description is of OpenAPI 3.0 or 3.1.
func (r *reader) checkVersion() {
	version := fieldValue(r.root, "openapi")
	if version == nil {
		r.addProblem(r.root, "openapi", "version 3.0 or 3.1 is wanted")
		return
	}
	if !strings.HasPrefix(version.Value, "3.0.") && !strings.HasPrefix(version.Value, "3.1.") {
		r.addProblem(version, "openapi", "version 3.0 or 3.1 is wanted")
	}
}

// loadSpec loads and validates the description with the OpenAPI library. The text must
// have passed [reader.checkNode], so that it refers to nothing outside.
func loadSpec(text []byte) (*openapi3.T, error) {
	spec, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return nil, err
	}
	// Examples decide nothing. The library does not know path items as components.
	err = spec.Validate(context.Background(), openapi3.EnableMultiError(), openapi3.DisableExamplesValidation(),
		openapi3.DisableSchemaPatternValidation(), openapi3.AllowExtraSiblingFields("pathItems"))
	if err != nil {
		return nil, err
	}
	return spec, nil
}
