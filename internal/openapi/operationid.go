package openapi

import "go.yaml.in/yaml/v4"

// checkOperationIDs checks that each operationId is unique. It is checked here because the
// library reports a duplicate without the lines.
func (r *reader) checkOperationIDs() {
	firstIDs := map[string]*yaml.Node{}
	paths := fieldValue(r.root, "paths")
	if paths == nil {
		return
	}
	for i := 0; i+1 < len(paths.Content); i += 2 {
		item := r.dereference(paths.Content[i+1])
		if item == nil || item.Kind != yaml.MappingNode {
			continue
		}
		for j := 0; j+1 < len(item.Content); j += 2 {
			field := "paths." + paths.Content[i].Value + "." + item.Content[j].Value + ".operationId"
			r.checkOperationID(firstIDs, field, fieldValue(item.Content[j+1], "operationId"))
		}
	}
}

// checkOperationID reports an operationId that is already in firstIDs, and otherwise adds it.
// id may be nil.
func (r *reader) checkOperationID(firstIDs map[string]*yaml.Node, field string, id *yaml.Node) {
	if id == nil {
		return
	}
	if first := firstIDs[id.Value]; first != nil {
		r.addProblem(id, field, "%q is already used by the operation at line %d: give each operation its own",
			id.Value, first.Line)
		return
	}
	firstIDs[id.Value] = id
}
