package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decodeTOML decodes a TOML document into v, which must point to a struct, and returns the keys that v has no field for.
// These are ignored, also if they differ from a field's name in case only; the library would take them for the field.
func decodeTOML(content []byte, v any) (unknown []string, err error) {
	unknown, known, hasSimilar, err := splitKeys(content, v)
	if err != nil {
		return nil, err
	}
	if !hasSimilar {
		return unknown, toml.Unmarshal(content, v)
	}
	rewritten, err := toml.Marshal(known)
	if err != nil {
		return nil, err
	}
	err = toml.Unmarshal(rewritten, v)
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		// Its line would be that of the rewritten document.
		err = fmt.Errorf("%v: %s", decodeErr.Key(), decodeErr.Error())
	}
	return unknown, err
}

// UnknownKeys returns the keys of a TOML document that v, a pointer to a struct, has no field for, in alphabetical order.
// A key names its tables, separated by dots.
func UnknownKeys(content []byte, v any) ([]string, error) {
	unknown, _, _, err := splitKeys(content, v)
	return unknown, err
}

// splitKeys returns the keys of a TOML document that v has no field for, the document without them, and whether one of
// them differs from a field's name in case only.
func splitKeys(content []byte, v any) (unknown []string, known map[string]any, hasSimilar bool, err error) {
	if err := toml.Unmarshal(content, &known); err != nil {
		return nil, nil, false, err
	}
	var r keyRemover
	r.removeUnknown(known, reflect.TypeOf(v).Elem(), "")
	slices.Sort(r.unknown)
	return slices.Compact(r.unknown), known, r.hasSimilar, nil
}

// keyRemover removes unknown keys from a decoded document.
type keyRemover struct {
	unknown    []string // removed so far, each with the names of its tables
	hasSimilar bool     // whether one of them differs from a field's name in case only
}

// removeUnknown removes the keys of a table for which a struct type has no field, and those in nested tables. prefix
// precedes the table's keys in messages.
func (r *keyRemover) removeUnknown(table map[string]any, goType reflect.Type, prefix string) {
	fields := tomlFields(goType)
	for key, value := range table {
		if fieldType, isKnown := fields[key]; isKnown {
			r.removeFromValue(value, fieldType, prefix+key+".")
			continue
		}
		delete(table, key)
		r.unknown = append(r.unknown, prefix+key)
		for name := range fields {
			r.hasSimilar = r.hasSimilar || strings.EqualFold(name, key)
		}
	}
}

// removeFromValue removes unknown keys from a value if it is a table or a list of tables, as its type demands.
func (r *keyRemover) removeFromValue(value any, goType reflect.Type, prefix string) {
	switch value := value.(type) {
	case map[string]any:
		if goType.Kind() == reflect.Struct {
			r.removeUnknown(value, goType, prefix)
		}
	case []any:
		if goType.Kind() != reflect.Slice {
			return
		}
		for _, element := range value {
			r.removeFromValue(element, goType.Elem(), prefix)
		}
	}
}

// tomlFields returns the types of the fields of a struct type, by the names in their tags.
func tomlFields(goType reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(goType) {
		if name, _, _ := strings.Cut(f.Tag.Get("toml"), ","); name != "" && name != "-" {
			fieldType := f.Type
			if fieldType.Kind() == reflect.Pointer {
				fieldType = fieldType.Elem()
			}
			fields[name] = fieldType
		}
	}
	return fields
}
