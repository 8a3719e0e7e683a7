package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// bookkeeping is what edits maintain by themselves.
var bookkeeping = []string{"Changes", "Serial", "Base", "FormatVersion"}

// Diff returns the paths of the fields that differ, sorted. Elements of lists
// are named by their Name or ID.
func Diff(a, b *Document) []string {
	x, y := generic(a), generic(b)
	for _, key := range bookkeeping {
		delete(x, key)
		delete(y, key)
	}
	var paths []string
	diffMaps("", x, y, &paths)
	slices.Sort(paths)
	return paths
}

func generic(d *Document) map[string]any {
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
		diffValues(join(path, key), x, b[key], paths)
	}
	for key, y := range b {
		if _, ok := a[key]; !ok {
			diffValues(join(path, key), nil, y, paths)
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

// asMap returns an object, or a list of named objects keyed by name.
func asMap(v any) map[string]any {
	switch v := v.(type) {
	case map[string]any:
		return v
	case []any:
		return byName(v)
	}
	return nil
}

func byName(list []any) map[string]any {
	m := make(map[string]any, len(list))
	for _, e := range list {
		name := nameOf(e)
		if name == "" {
			return nil
		}
		m[name] = e
	}
	return m
}

func nameOf(v any) string {
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
