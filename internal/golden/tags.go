package golden

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// CheckTags reports exported fields that are not named by a tag of this key, in these types and
// all types within them, as errors of the test: such a field would be encoded by its Go name.
func CheckTags(t *testing.T, key string, types ...Type) {
	t.Helper()
	for _, typ := range types {
		for _, field := range untagged(typ.goType, key, map[reflect.Type]bool{}) {
			t.Errorf("%s: %s has no name in a tag %s", typ.name, field, key)
		}
	}
}

// untagged returns the fields without a name in the structs within a type; seen holds the structs
// that were looked at.
func untagged(goType reflect.Type, key string, seen map[reflect.Type]bool) (fields []string) {
	switch goType.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untagged(goType.Elem(), key, seen)
	case reflect.Map:
		return append(untagged(goType.Key(), key, seen), untagged(goType.Elem(), key, seen)...)
	case reflect.Struct:
	default:
		return nil
	}
	if seen[goType] {
		return nil
	}
	seen[goType] = true
	for i := range goType.NumField() {
		f := goType.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get(key), ",")
		switch {
		case name == "-":
			continue
		case name != "":
			if !f.IsExported() {
				continue
			}
		case f.Anonymous && isEmbedded(f.Type):
			// Its fields are encoded as if they were the outer struct's.
		case f.IsExported():
			fields = append(fields, fmt.Sprintf("%v.%s", goType, f.Name))
		default:
			continue
		}
		fields = append(fields, untagged(f.Type, key, seen)...)
	}
	return fields
}

// isEmbedded reports whether the fields of an embedded field of a type are encoded in its place.
func isEmbedded(goType reflect.Type) bool {
	if goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	return goType.Kind() == reflect.Struct
}
