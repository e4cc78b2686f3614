package openapi

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mulleinmux/routing"
)

// aliasBomb returns a description whose size grows exponentially when its aliases are
// expanded: nine levels with nine aliases each.
func aliasBomb() string {
	text := descriptionStart + "x-a: &a0 [x, x]\n"
	for i := 1; i < 10; i++ {
		aliases := strings.Repeat(fmt.Sprintf("*a%d, ", i-1), 9)
		text += fmt.Sprintf("x-%d: &a%d [%s]\n", i, i, strings.TrimSuffix(aliases, ", "))
	}
	return text + "paths: {}\n"
}

// problemCase is an invalid description and a part of the expected error.
type problemCase struct{ text, want string }

// documentProblems are descriptions that cannot be read or that describe no operation.
var documentProblems = map[string]problemCase{
	"nothing": {"", "d.yaml"},
	"a list":  {"[1]", "an object with openapi"},
	"no YAML": {descriptionStart + "paths: {\n", "d.yaml"},
	"another version": {
		strings.Replace(descriptionStart, "3.1.0", "2.0", 1) + "paths: {}",
		"d.yaml:1:10: openapi: must be version 3.0 or 3.1",
	},
	"no version":    {"info: {}\npaths: {}", "version 3.0 or 3.1"},
	"no operation":  {descriptionStart + "paths: {}", "describes no operation"},
	"an alias bomb": {aliasBomb(), "too large with its aliases"},
	"an alias of itself": {
		descriptionStart + "x-a: &a {b: *a}\n" +
			"paths: {}\n",
		"contains itself",
	},
	"a name twice": {
		descriptionStart + "paths:\n" +
			"  /a: {get: {" + okResponses + "}}\n" +
			"  /a: {get: {" + okResponses + "}}\n",
		"line",
	},
	"too deep": {
		descriptionStart + "x-a: " + strings.Repeat("[", 300) + strings.Repeat("]", 300) + "\n" +
			"paths: {}\n",
		"depth of 200",
	},
	"too long": {descriptionStart + strings.Repeat("#", MaxBytes), "bytes long (limit"},
}

// referenceProblems are descriptions whose references have no target, are circular or refer
// outside the file. OUTSIDE is replaced by the URL of a server.
var referenceProblems = map[string]problemCase{
	"a remote reference": {
		descriptionStart + "paths:\n" +
			"  /a:\n" +
			"    $ref: 'OUTSIDE/x.yaml'\n",
		"d.yaml:6:11: paths./a.$ref: \"OUTSIDE/x.yaml\" refers outside this file",
	},
	"a file": {
		descriptionStart + "paths:\n" +
			"  /a:\n" +
			"    $ref: 'description_test.go'\n",
		"refers outside this file",
	},
	"a dead reference": {
		descriptionStart + "paths:\n" +
			"  /a:\n" +
			"    $ref: '#/components/pathItems/x'\n",
		"is not in this file",
	},
	"a circle of references": {
		descriptionStart + "paths:\n" +
			"  /a: {get: {parameters: [{$ref: '#/components/parameters/a'}], " + okResponses + "}}\n" +
			"components: {parameters: {a: {$ref: '#/components/parameters/b'}, " +
			"b: {$ref: '#/components/parameters/a'}}}\n",
		"is a circular reference",
	},
	"a circle of schemas": {
		descriptionStart + "paths: {/a: {get: {" + okResponses + "}}}\n" +
			"components: {schemas: {a: {$ref: '#/components/schemas/a'}}}\n",
		"is a circular reference",
	},
}

// operationProblems are descriptions with operations that cannot be matched or charged.
var operationProblems = map[string]problemCase{
	"a merge key": {
		descriptionStart + "x-a: &a {units: 1}\n" +
			"paths:\n" +
			"  /a:\n" +
			"    post:\n" +
			"      x-mulleinmux:\n" +
			"        <<: *a\n" +
			"      " + okResponses + "\n",
		"d.yaml:9:9: paths./a.post.x-mulleinmux: merge keys",
	},
	"a path without params": {
		descriptionStart + "paths:\n" +
			"  /a/{id}:\n" +
			"    get: {" + okResponses + "}\n",
		"id",
	},
	"two of one id": {
		descriptionStart + "paths:\n" +
			"  /a: {get: {operationId: x, " + okResponses + "}}\n" +
			"  /b: {get: {operationId: x, " + okResponses + "}}\n",
		"d.yaml:6:27: paths./b.get.operationId",
	},
	"no responses": {
		strings.Replace(descriptionStart, "3.1.0", "3.0.3", 1) + "paths:\n" +
			"  /a:\n" +
			"    get: {}\n",
		"d.yaml:6:5: paths./a.get",
	},
	"a bad extension": {
		descriptionStart + "paths:\n" +
			"  /a:\n" +
			"    get: {x-mulleinmux: {unit: 4}, " + okResponses + "}\n",
		"d.yaml:6:26: paths./a.get.x-mulleinmux.unit: is not a field",
	},
	"a list as extension": {
		descriptionStart + "paths:\n" +
			"  /a:\n" +
			"    get: {x-mulleinmux: [], " + okResponses + "}\n",
		"must be a mapping",
	},
	"a conflict": {
		descriptionStart + "paths:\n" +
			"  /a/{x}/c: {get: {parameters: [{name: x, in: path, required: true, schema: {}}], " +
			okResponses + "}}\n" +
			"  /a/b/{y}: {get: {parameters: [{name: y, in: path, required: true, schema: {}}], " +
			okResponses + "}}\n",
		"GET /a/{x}/c (line 5) both match /a/b/c",
	},
	"a relative server": {
		descriptionStart + "servers: [{url: v1}]\n" +
			"paths: {/a: {get: {" + okResponses + "}}}\n",
		"begins with a slash",
	},
}

// TestCompileRejects checks that an invalid description is rejected with the file, the line
// and the field, and that nothing outside the file is fetched.
func TestCompileRejects(t *testing.T) {
	fetched := false
	outside := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { fetched = true }))
	defer outside.Close()
	for _, cases := range []map[string]problemCase{documentProblems, referenceProblems, operationProblems} {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				text := strings.ReplaceAll(c.text, "OUTSIDE", outside.URL)
				want := strings.ReplaceAll(c.want, "OUTSIDE", outside.URL)
				_, _, err := Compile("d.yaml", []byte(text), testOptions())
				if _, ok := errors.AsType[routing.Problems](err); !ok {
					t.Fatalf("got error %v, want routing.Problems", err)
				}
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			})
		}
	}
	if fetched {
		t.Error("got a request at the server outside the file, want none")
	}
}

// TestCompileAllProblems checks that all problems of a description are reported at once.
func TestCompileAllProblems(t *testing.T) {
	text := descriptionStart + "paths:\n"
	for i := range 5 {
		text += fmt.Sprintf("  /a%d: {get: {x-mulleinmux: {units: 0}, %s}}\n", i, okResponses)
	}
	_, _, err := Compile("d.yaml", []byte(text), testOptions())
	if problems, _ := errors.AsType[routing.Problems](err); len(problems) != 5 || problems[4].Pos.Line != 9 {
		t.Errorf("got error %v, want 5 problems, the last one at line 9", err)
	}
}
