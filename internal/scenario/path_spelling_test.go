package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
)

// No spelling of a path may reach a site as another operation than the one that was charged, even
// if the site decodes, cleans and shortens paths as leniently as it can.
func FuzzPathSpelling(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, (&gateway.Config{Classes: classes()}).Options())
	if err != nil {
		f.Fatal(err)
	}
	siteRoutes := routes(sameUnits)
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		matchCount := 0
		for range 50 {
			r := siteRoutes[rng.IntN(len(siteRoutes))]
			path := fillTemplate(rng, r.Template)
			for range rng.IntN(3) {
				path = respell(rng, path)
			}
			target := path + "?days=3"
			if table.CheckPath(path) != "" {
				continue
			}
			op, _, _ := table.Match(r.Method, path)
			if op == nil {
				continue
			}
			matchCount++
			reached := testserver.Lookup(siteRoutes, r.Method, target, http.Header{})
			if reached == nil || reached.Operation != op.ID {
				t.Fatalf("%s %s is charged as %s and reaches the site as %+v", r.Method, path, op.ID, reached)
			}
		}
		if matchCount == 0 {
			t.Errorf("no generated path matched an operation")
		}
	})
}

// parameterValues are the values of parameters that fillTemplate uses. Some are literal segments of other templates.
var parameterValues = []string{"7", "new", "batch", "search", "x.csv", "sheet.pdf", "a b", "..", "visits"}

// fillTemplate returns a path that matches a template, with random parameters.
func fillTemplate(rng *rand.Rand, template string) string {
	path := template
	for strings.Contains(path, "{") {
		i, j := strings.IndexByte(path, '{'), strings.IndexByte(path, '}')
		path = path[:i] + parameterValues[rng.IntN(len(parameterValues))] + path[j+1:]
	}
	return path
}

// respell returns a variant of a path that a site may or may not treat as the same path.
func respell(rng *rand.Rand, path string) string {
	i := 1 + rng.IntN(len(path)-1)
	switch rng.IntN(12) {
	case 0:
		return path[:i] + fmt.Sprintf("%%%02X", path[i]) + path[i+1:]
	case 1:
		return path[:i] + fmt.Sprintf("%%%02x", path[i]) + path[i+1:]
	case 2:
		return path[:i] + "/" + path[i:]
	case 3:
		return path[:i] + "/./" + path[i:]
	case 4:
		return path[:i] + "/../" + path[i:]
	case 5:
		return path[:i] + ";x=1" + path[i:]
	case 6:
		return path + "/"
	case 7:
		return path[:i] + "%2F" + path[i:]
	case 8:
		return path[:i] + "\\" + path[i:]
	case 9:
		return path[:i] + "%252F" + path[i:]
	case 10:
		return path[:i] + strings.ToUpper(path[i:])
	}
	return path + "/.."
}
