package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
)

// readDesiredObjects is what a file says: fleet.toml, or what config get --json printed.
func readDesiredObjects(file string) (map[string]map[string]json.RawMessage, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if strings.HasSuffix(file, ".json") {
		var o cluster.Objects
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&o); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for kind := range o.Objects {
			if !slices.Contains(gatewayconfig.ClusterFileKinds, kind) && kind != "member" && kind != "lost" {
				return nil, fmt.Errorf("%s: objects.%s: is no kind of this program", file, kind)
			}
		}
		return o.Objects, nil
	}
	f, err := gatewayconfig.ParseClusterFile(file, text)
	if err != nil {
		return nil, err
	}
	doc, err := os.ReadFile(resolvePath(file, f.Description))
	if err != nil {
		return nil, fmt.Errorf("%s: description: %w", file, err)
	}
	// Its places are told before anything is asked of the cluster.
	var classes []clusterconfig.Class
	for _, name := range slices.Sorted(maps.Keys(f.Objects["class"])) {
		var k clusterconfig.Class
		if err := json.Unmarshal(f.Objects["class"][name], &k); err != nil {
			return nil, err
		}
		k.Name = name
		classes = append(classes, k)
	}
	most := 50
	var l clusterconfig.Limit
	if text, ok := f.Objects["limit"]["units"]; ok && json.Unmarshal(text, &l) == nil {
		most = l.Max
	}
	if err := cluster.ValidateDescription(resolvePath(file, f.Description), string(doc), classes, most); err != nil {
		return nil, err
	}
	value, err := json.Marshal(clusterconfig.Description{File: f.Description, Text: string(doc)})
	f.Objects["description"] = map[string]json.RawMessage{"booking": value}
	return f.Objects, err
}
