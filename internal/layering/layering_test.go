// Package layering holds the repository to the layers of its packages: see docs/ARCHITECTURE.md.
package layering

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// layerOf is the layer of each package, which may import those of its own layer and below; layer 1 imports layer 1
// alone.
var layerOf = map[string]int{
	"policy":                        1,
	"policy/lateness":               1,
	"policy/overload":               1,
	"policy/quota":                  1,
	"routing":                       1,
	"subset":                        1,
	"zonehealth":                    1,
	"internal/splitmix":             1,
	"internal/serverpool/conntable": 1,
	"configstream":                  1,
	"clusterconfig":                 1,
	"multisite":                     1,

	"internal/simwire":    2,
	"internal/httpwire":   2,
	"internal/loadreport": 2,
	"internal/logging":    2,
	"internal/openapi":    2,
	"deploy":              2,

	"internal/discovery":      3,
	"internal/gossip":         3,
	"internal/serverpool":     3,
	"internal/graceful":       3,
	"internal/edgeproxy":      3,
	"internal/raftnode":       3,
	"internal/gateway":        3,
	"internal/gatewayconfig":  3,
	"internal/testserver":     3,
	"internal/eventqueue":     3,
	"internal/fixture":        3,
	"internal/seedtest":       3,
	"internal/schedwait":      3,
	"internal/cluster":        3,
	"internal/configstreampb": 3,

	"internal/scenario":  4,
	"internal/soak":      4,
	"internal/benchmark": 4,
	"internal/layering":  4,

	"cmd/edgeproxy":               5,
	"cmd/gateway":                 5,
	"cmd/simadapter":              5,
	"cmd/soak":                    5,
	"internal/configstreampb/gen": 5,
}

// testHarness names the packages that tests and scenarios alone use.
var testHarness = []string{
	"internal/eventqueue",
	"internal/fixture",
	"internal/seedtest",
	"internal/schedwait",
	"internal/testserver",
	"internal/scenario",
	"internal/benchmark",
}

// goListLines returns the lines that go list prints.
func goListLines(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("go list %v: %v", args, err)
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

func TestImportsGoDown(t *testing.T) {
	for _, line := range goListLines(t, "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./...") {
		full, imports, _ := strings.Cut(line, " ")
		name := strings.TrimPrefix(full, "mulleinmux/")
		own, ok := layerOf[name]
		if !ok {
			t.Errorf("%s is in no layer: add it to this test and to docs/ARCHITECTURE.md", name)
			continue
		}
		for _, dep := range strings.Fields(imports) {
			dep, ours := strings.CutPrefix(dep, "mulleinmux/")
			if !ours {
				continue
			}
			if layerOf[dep] > own {
				t.Errorf("%s in layer %d imports %s in layer %d", name, own, dep, layerOf[dep])
			}
			if slices.Contains(testHarness, dep) && own < 4 {
				t.Errorf("%s imports the test harness %s", name, dep)
			}
		}
	}
}

// What layer 1 must not use: packages, and functions that read a clock or a source of randomness of their own.
var (
	forbiddenPackages = []string{
		"net", "net/http", "os", "os/exec", "io/fs", "log", "log/slog", "sync", "crypto/rand", "math/rand", "syscall",
		"context",
	}
	clockFunctions = []string{
		"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick",
	}
	seededRandFunctions = []string{"New", "NewPCG", "Rand"}
)

// allowedModule is a data structure, and nothing else.
const allowedModule = "github.com/hashicorp/go-immutable-radix/v2"

// Layer 1 decides and does no I/O: no sockets, files, goroutines, clock or randomness of its own.
func TestDecisionsDoNoIO(t *testing.T) {
	for name, layer := range layerOf {
		if layer != 1 {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", "..", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", name, err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkDoesNoIO(t, file)
			}
		}
	}
}

// checkDoesNoIO checks a file of layer 1.
func checkDoesNoIO(t *testing.T, file string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, imported := range f.Imports {
		path := strings.Trim(imported.Path.Value, `"`)
		isForeign := strings.Contains(path, ".") && path != allowedModule
		if slices.Contains(forbiddenPackages, path) || isForeign {
			t.Errorf("%s imports %s", file, path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", file)
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && isImpure(x.Name, n.Sel.Name) {
				t.Errorf("%s uses %s.%s", file, x.Name, n.Sel.Name)
			}
		}
		return true
	})
}

// isImpure reports whether a function of a package reads a clock or a source of randomness of its own.
func isImpure(packageName, function string) bool {
	switch packageName {
	case "time":
		return slices.Contains(clockFunctions, function)
	case "rand":
		return !slices.Contains(seededRandFunctions, function)
	}
	return false
}

// The edge node links nothing but this repository and the standard library.
func TestEdgeNodeIsLean(t *testing.T) {
	deps := goListLines(t, "-deps", "mulleinmux/cmd/edgeproxy")
	if !slices.Contains(deps, "mulleinmux/policy") {
		t.Fatalf("not the edge node: %v", deps)
	}
	for _, dep := range deps {
		if first, _, _ := strings.Cut(dep, "/"); strings.Contains(first, ".") && first != "vendor" {
			t.Errorf("links %s", dep)
		}
		if own, ours := strings.CutPrefix(dep, "mulleinmux/"); ours &&
			(own == "routing" || own == "internal/gateway" || own == "internal/httpwire") {
			t.Errorf("links %s", dep)
		}
	}
}
