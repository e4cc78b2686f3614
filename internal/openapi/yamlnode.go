package openapi

import (
	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// resolveAlias returns the target of an alias, or the node itself if it is not an alias.
func resolveAlias(node *yaml.Node) *yaml.Node {
	for node != nil && node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// fieldEntry returns the key and the value of a field of a mapping, or nil if the node is
// not a mapping or does not have the field. It resolves aliases.
func fieldEntry(node *yaml.Node, name string) (key, value *yaml.Node) {
	if node = resolveAlias(node); node == nil || node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i], resolveAlias(node.Content[i+1])
		}
	}
	return nil, nil
}

// fieldValue returns the value that [fieldEntry] returns.
func fieldValue(node *yaml.Node, name string) *yaml.Node {
	_, value := fieldEntry(node, name)
	return value
}

// position returns the position of a node in the text, or the zero Pos for nil.
func position(node *yaml.Node) routing.Pos {
	if node == nil {
		return routing.Pos{}
	}
	return routing.Pos{Line: node.Line, Column: node.Column}
}

// joinField appends a name to the dotted path of a field.
func joinField(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
