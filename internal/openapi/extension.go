package openapi

import (
	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// maxExtensionDepth is the maximum nesting depth of the values that are read from an
// extension.
const maxExtensionDepth = 8

// extension returns the extension of a node, or nil if the node itself has none.
func extension(node *yaml.Node) *routing.Value {
	value := fieldValue(node, routing.ExtensionName)
	if value == nil {
		return nil
	}
	v := extensionValue(value, 0)
	return &v
}

// extensionValue converts a value of an extension, with its position. A value nested deeper
// than [maxExtensionDepth] becomes [routing.OtherValue].
func extensionValue(node *yaml.Node, depth int) routing.Value {
	v := routing.Value{Pos: position(node), Kind: routing.OtherValue}
	if node = resolveAlias(node); node == nil || depth > maxExtensionDepth {
		return v
	}
	switch node.Kind {
	case yaml.MappingNode:
		v.Kind = routing.MappingValue
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i]
			v.Fields = append(v.Fields, routing.Field{
				Name: key.Value, Pos: position(key), Value: extensionValue(node.Content[i+1], depth+1),
			})
		}
	case yaml.ScalarNode:
		v.Text = node.Value
		switch node.ShortTag() {
		case "!!int", "!!float":
			v.Kind = routing.NumberValue
		case "!!bool":
			v.Kind = routing.BoolValue
		case "!!str":
			v.Kind = routing.TextValue
		}
	}
	return v
}
