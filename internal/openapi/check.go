package openapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"

	"mulleinmux/internal/httpwire"
	"mulleinmux/routing"
)

// Checker checks requests against all that a description says of parameters and bodies.
// It may be used by many goroutines.
type Checker struct {
	routes map[place]*routers.Route
}

// place names an operation in its document.
type place struct{ method, path string }

// Checker returns a checker of the description's operations.
func (d *Description) Checker() *Checker {
	c := &Checker{routes: map[place]*routers.Route{}}
	for path, item := range d.spec.Paths.Map() {
		for method, op := range item.Operations() {
			c.routes[place{method, path}] = &routers.Route{Spec: d.spec, Path: path, PathItem: item, Method: method, Operation: op}
		}
	}
	return c
}

// Check returns what is wrong with a request of an operation, or nil.
func (c *Checker) Check(op *routing.Operation, head *httpwire.Head, body []byte) error {
	path, values := op.PathParams(head.Target)
	route := c.routes[place{op.Method, path}]
	if route == nil {
		return fmt.Errorf("%s %s is not in the description", op.Method, path)
	}
	u, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	r := &http.Request{Method: op.Method, URL: u, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)), Host: head.Get("Host")}
	for _, f := range head.Fields {
		r.Header.Add(f.Name, f.Value)
	}
	err = openapi3filter.ValidateRequest(context.Background(), &openapi3filter.RequestValidationInput{Request: r, PathParams: values, Route: route,
		Options: &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc, SkipSettingDefaults: true}})
	if err == nil {
		return nil
	}
	return errors.New(reason(err))
}

// reason words what is wrong in one line, without the schema.
func reason(err error) string {
	text := err.Error()
	if re, ok := errors.AsType[*openapi3filter.RequestError](err); ok {
		where := "body"
		if re.Parameter != nil {
			where = re.Parameter.In + " parameter " + re.Parameter.Name
		}
		text = re.Reason
		if se, ok := errors.AsType[*openapi3.SchemaError](re.Err); ok {
			if at := se.JSONPointer(); len(at) > 0 {
				where += " /" + strings.Join(at, "/")
			}
			text = se.Reason
		} else if re.Err != nil {
			text = re.Err.Error()
		}
		text = where + ": " + text
	}
	text, _, _ = strings.Cut(text, "\n")
	return text
}
