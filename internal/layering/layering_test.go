// Package layering tests that the imports of the repository's packages follow the layers of docs/ARCHITECTURE.md.
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

// layerOf maps each package to its layer. A package may import packages of its own layer and of lower ones, so layer 1
// imports only layer 1.
var layerOf = map[string]int{
	"policy":                        1,
	"policy/lateness":               1,
	"policy/overload":               1,
	"policy/quota":                  1,
	"routing":                       1,
	"subset":                        1,
	"zonehealth":                    1,
	"internal/splitmix":             1,
	"internal/attemptprogress":      1,
	"internal/fairqueue":            1,
	"internal/memaccount":           1,
	"internal/sentids":              1,
	"internal/serverpool/conntable": 1,
	"configstream":                  1,
	"clusterconfig":                 1,
	"multisite":                     1,

	"internal/simwire":      2,
	"internal/httpwire":     2,
	"internal/httpboundary": 2,
	"internal/loadreport":   2,
	"internal/logging":      2,
	"internal/openapi":      2,
	"deploy":                2,

	"internal/discovery":      3,
	"internal/reload":         3,
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

// testHarness lists the packages that only tests and scenarios may use.
var testHarness = []string{
	"internal/eventqueue",
	"internal/fixture",
	"internal/seedtest",
	"internal/schedwait",
	"internal/testserver",
	"internal/scenario",
	"internal/benchmark",
}

// goListLines runs go list at the root of the repository and returns the lines of its output.
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

// A package of this repository imports no package of a higher layer, and layers 1 to 3 import no test harness.
func TestImportsFollowLayers(t *testing.T) {
	for _, line := range goListLines(t, "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./...") {
		full, imports, _ := strings.Cut(line, " ")
		name := strings.TrimPrefix(full, "mulleinmux/")
		own, ok := layerOf[name]
		if !ok {
			t.Errorf("package %s has no layer: add it to layerOf in this test and to docs/ARCHITECTURE.md", name)
			continue
		}
		for _, dep := range strings.Fields(imports) {
			dep, isOwn := strings.CutPrefix(dep, "mulleinmux/")
			if !isOwn {
				continue
			}
			if layerOf[dep] > own {
				t.Errorf("package %s of layer %d imports package %s of the higher layer %d", name, own, dep, layerOf[dep])
			}
			if slices.Contains(testHarness, dep) && own < 4 {
				t.Errorf("package %s imports the test harness %s, want that only from layer 4 up", name, dep)
			}
		}
	}
}

// What layer 1 must not use: forbiddenPackages; of package time, clockFunctions; of package rand, all functions but
// seededRandFunctions.
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

// allowedModule is the only third-party module that layer 1 may import. It is a data structure without I/O.
const allowedModule = "github.com/hashicorp/go-immutable-radix/v2"

// Packages of layer 1 hold decision logic without I/O: they use no sockets, files, goroutines, clock or unseeded
// randomness.
func TestLayer1DoesNoIO(t *testing.T) {
	for name, layer := range layerOf {
		if layer != 1 {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", "..", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("package %s: got no Go files (error %v), want at least one", name, err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkDoesNoIO(t, file)
			}
		}
	}
}

// checkDoesNoIO reports the forbidden imports, calls and go statements of a file of layer 1.
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
			t.Errorf("%s imports %s, which is forbidden in layer 1", file, path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine, which is forbidden in layer 1", file)
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && isImpure(x.Name, n.Sel.Name) {
				t.Errorf("%s uses %s.%s, which is forbidden in layer 1", file, x.Name, n.Sel.Name)
			}
		}
		return true
	})
}

// isImpure reports whether a function of a package reads the clock or an unseeded source of randomness.
func isImpure(packageName, function string) bool {
	switch packageName {
	case "time":
		return slices.Contains(clockFunctions, function)
	case "rand":
		return !slices.Contains(seededRandFunctions, function)
	}
	return false
}

// The edge proxy links only packages of this repository and of the standard library, and none of the gateway's.
func TestEdgeProxyDependencies(t *testing.T) {
	deps := goListLines(t, "-deps", "mulleinmux/cmd/edgeproxy")
	if !slices.Contains(deps, "mulleinmux/policy") {
		t.Fatalf("dependencies of cmd/edgeproxy lack mulleinmux/policy: %v", deps)
	}
	for _, dep := range deps {
		if first, _, _ := strings.Cut(dep, "/"); strings.Contains(first, ".") && first != "vendor" {
			t.Errorf("cmd/edgeproxy links the third-party package %s", dep)
		}
		if own, isOwn := strings.CutPrefix(dep, "mulleinmux/"); isOwn &&
			(own == "routing" || own == "internal/gateway" || own == "internal/httpwire") {
			t.Errorf("cmd/edgeproxy links the gateway's package %s", dep)
		}
	}
}
