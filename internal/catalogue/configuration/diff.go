package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// maintainedFields lists the fields that this package maintains and operators do
// not edit. Diff ignores them.
var maintainedFields = []string{"Changes", "Serial", "Base", "FormatVersion"}

// Diff returns the sorted paths of the fields that differ between a and b. A
// list element is identified in a path by its Name, ID or Model.
func Diff(a, b *Document) []string {
	x, y := toMap(a), toMap(b)
	for _, key := range maintainedFields {
		delete(x, key)
		delete(y, key)
	}
	var paths []string
	diffMaps("", x, y, &paths)
	slices.Sort(paths)
	return paths
}

// toMap returns the document as decoded JSON.
func toMap(d *Document) map[string]any {
	value, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("configuration: a document failed to encode: %v", err))
	}
	m := map[string]any{}
	if err := json.Unmarshal(value, &m); err != nil {
		panic(fmt.Sprintf("configuration: an encoded document failed to decode: %v", err))
	}
	return m
}

func diffMaps(path string, a, b map[string]any, paths *[]string) {
	for key, x := range a {
		diffValues(joinPath(path, key), x, b[key], paths)
	}
	for key, y := range b {
		if _, ok := a[key]; !ok {
			diffValues(joinPath(path, key), nil, y, paths)
		}
	}
}

func diffValues(path string, a, b any, paths *[]string) {
	if reflect.DeepEqual(a, b) {
		return
	}
	if x, y := asMap(a), asMap(b); x != nil && y != nil {
		diffMaps(path, x, y, paths)
		return
	}
	*paths = append(*paths, path)
}

// asMap returns v if it is an object, its elements keyed by name if it is a list
// of named objects, and nil otherwise.
func asMap(v any) map[string]any {
	switch v := v.(type) {
	case map[string]any:
		return v
	case []any:
		return byName(v)
	}
	return nil
}

// byName returns the elements keyed by name, or nil if one has no name.
func byName(list []any) map[string]any {
	m := make(map[string]any, len(list))
	for _, e := range list {
		name := elementName(e)
		if name == "" {
			return nil
		}
		m[name] = e
	}
	return m
}

func elementName(v any) string {
	object, ok := v.(map[string]any)
	if !ok {
		return ""
	}
	for _, key := range []string{"Name", "ID", "Model"} {
		if name, ok := object[key].(string); ok && name != "" {
			return name
		}
	}
	return ""
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
