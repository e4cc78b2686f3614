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

// Checker validates the parameters and bodies of requests against a description. It is
// safe for concurrent use.
type Checker struct {
	routes map[operationKey]*routers.Route
}

// operationKey identifies an operation in its document.
type operationKey struct{ method, path string }

// Checker returns a [Checker] for the operations of the description.
func (d *Description) Checker() *Checker {
	c := &Checker{routes: map[operationKey]*routers.Route{}}
	for path, item := range d.spec.Paths.Map() {
		for method, operation := range item.Operations() {
			c.routes[operationKey{method, path}] = &routers.Route{
				Spec: d.spec, Path: path, PathItem: item, Method: method, Operation: operation,
			}
		}
	}
	return c
}

// Check validates a request of an operation. The error text is one line that states what
// is wrong with the request.
func (c *Checker) Check(op *routing.Operation, head *httpwire.Head, body []byte) error {
	path, values := op.PathParams(head.Target)
	route := c.routes[operationKey{op.Method, path}]
	if route == nil {
		return fmt.Errorf("%s %s is not in the description", op.Method, path)
	}
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	request := &http.Request{Method: op.Method, URL: target, Header: http.Header{}, Host: head.Get("Host"),
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}
	for _, field := range head.Fields {
		request.Header.Add(field.Name, field.Value)
	}
	err = openapi3filter.ValidateRequest(context.Background(), &openapi3filter.RequestValidationInput{
		Request: request, PathParams: values, Route: route,
		Options: &openapi3filter.Options{
			AuthenticationFunc:  openapi3filter.NoopAuthenticationFunc,
			SkipSettingDefaults: true,
		},
	})
	if err == nil {
		return nil
	}
	return errors.New(validationMessage(err))
}

// validationMessage returns the text of a validation error as one line, without the schema.
func validationMessage(err error) string {
	text := err.Error()
	if requestError, ok := errors.AsType[*openapi3filter.RequestError](err); ok {
		text = requestErrorMessage(requestError)
	}
	text, _, _ = strings.Cut(text, "\n")
	return text
}

// requestErrorMessage returns a text with the invalid part of the request and the reason.
func requestErrorMessage(requestError *openapi3filter.RequestError) string {
	part := "body"
	if requestError.Parameter != nil {
		part = requestError.Parameter.In + " parameter " + requestError.Parameter.Name
	}
	schemaError, ok := errors.AsType[*openapi3.SchemaError](requestError.Err)
	switch {
	case ok:
		if pointer := schemaError.JSONPointer(); len(pointer) > 0 {
			part += " /" + strings.Join(pointer, "/")
		}
		return part + ": " + schemaError.Reason
	case requestError.Err != nil:
		return part + ": " + requestError.Err.Error()
	default:
		return part + ": " + requestError.Reason
	}
}
