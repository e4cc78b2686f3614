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

// objectsByKind holds the values of objects by kind and name.
type objectsByKind map[string]map[string]json.RawMessage

// defaultMaxUnits is the largest number of units that an operation may be charged if a file sets no limit.
const defaultMaxUnits = 50

// readDesiredObjects reads the desired objects from a cluster's TOML file, such as fleet.toml, or from a JSON file that
// config get --json printed.
func readDesiredObjects(file string) (objectsByKind, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if strings.HasSuffix(file, ".json") {
		return parseSavedObjects(file, text)
	}
	f, err := gatewayconfig.ParseClusterFile(file, text)
	if err != nil {
		return nil, err
	}
	description, err := readClusterDescription(file, f)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(description)
	f.Objects[clusterconfig.KindDescription] = map[string]json.RawMessage{"booking": value}
	return f.Objects, err
}

// parseSavedObjects parses the output of config get --json.
func parseSavedObjects(file string, text []byte) (objectsByKind, error) {
	var saved cluster.Objects
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&saved); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for kind := range saved.Objects {
		if !slices.Contains(gatewayconfig.ClusterFileKinds, kind) && kind != clusterconfig.KindMember && kind != clusterconfig.KindLostSite {
			return nil, fmt.Errorf("%s: objects.%s: unknown kind of objects", file, kind)
		}
	}
	return saved.Objects, nil
}

// readClusterDescription reads the description that a cluster's file names. It is validated here as well as by the
// cluster, because only here problems have their positions in the operator's files.
func readClusterDescription(file string, f *gatewayconfig.ClusterFile) (d clusterconfig.Description, err error) {
	path := resolvePath(file, f.Description)
	text, err := os.ReadFile(path)
	if err != nil {
		return d, fmt.Errorf("%s: description: %w", file, err)
	}
	var classes []clusterconfig.Class
	for _, name := range slices.Sorted(maps.Keys(f.Objects[clusterconfig.KindClass])) {
		var class clusterconfig.Class
		if err := json.Unmarshal(f.Objects[clusterconfig.KindClass][name], &class); err != nil {
			return d, err
		}
		class.Name = name
		classes = append(classes, class)
	}
	maxUnits := defaultMaxUnits
	var limit clusterconfig.Limit
	if value, ok := f.Objects[clusterconfig.KindLimit]["units"]; ok && json.Unmarshal(value, &limit) == nil {
		maxUnits = limit.Max
	}
	if err := cluster.ValidateDescription(path, string(text), classes, maxUnits); err != nil {
		return d, err
	}
	return clusterconfig.Description{File: f.Description, Text: string(text)}, nil
}
