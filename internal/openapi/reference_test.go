package openapi

import (
	"testing"

	"mulleinmux/routing"
)

// TestReferences checks that a parameter of an operation overrides the parameter of the path
// with the same name, that references are followed, and that the conversion of recursive
// schemas terminates.
func TestReferences(t *testing.T) {
	text := descriptionStart + `paths:
  /a/{id}:
    parameters: [{$ref: '#/components/parameters/id'}, {name: n, in: query, schema: {type: string}}]
    post:
      x-mulleinmux: {units: {query: n}}
      parameters: [{name: n, in: query, schema: {$ref: '#/components/schemas/count'}}]
      ` + okResponses + `
  /b:
    $ref: '#/components/pathItems/b'
components:
  parameters: {id: {name: id, in: path, required: true, schema: {type: string}}}
  schemas:
    count: {type: integer, minimum: 2, maximum: 7}
    tree:
      type: object
      properties: {size: {$ref: '#/components/schemas/count'}, left: {$ref: '#/components/schemas/tree'}}
      allOf: [{$ref: '#/components/schemas/more'}]
    more:
      type: object
      properties: {extra: {type: integer, maximum: 5}, tree: {$ref: '#/components/schemas/tree'}}
  pathItems:
    b:
      x-mulleinmux: {units: {body: left/left/tree/extra}}
      post:
        requestBody: {content: {application/json: {schema: {$ref: '#/components/schemas/tree'}}}}
        ` + okResponses + `
`
	table, _, err := Compile("d.yaml", []byte(text), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	if u := table.Operations[0].Units; u.Min != 2 || u.Max != 7 {
		t.Errorf("POST /a/{id}: got units %+v, want 2 to 7", u)
	}
	if u := table.Operations[1].Units; u.Source.In != routing.InBody || u.Max != 5 {
		t.Errorf("POST /b: got units %+v, want a body property up to 5", u)
	}
}
