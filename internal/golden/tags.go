package golden

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// CheckTags checks that every exported field of the given types, and of all types nested in them, is named by a struct
// tag with the given key. A field without a name in its tag would be encoded under its Go name.
func CheckTags(t *testing.T, key string, types ...Type) {
	t.Helper()
	for _, typ := range types {
		for _, field := range untaggedFields(typ.goType, key, map[reflect.Type]bool{}) {
			t.Errorf("%s: field %s has no name in a struct tag %s", typ.name, field, key)
		}
	}
}

// untaggedFields returns the fields without a name in their tag, in a type and all types nested in it. Structs in seen
// are skipped, and visited structs are added to it.
func untaggedFields(goType reflect.Type, key string, seen map[reflect.Type]bool) (fields []string) {
	switch goType.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untaggedFields(goType.Elem(), key, seen)
	case reflect.Map:
		return append(untaggedFields(goType.Key(), key, seen), untaggedFields(goType.Elem(), key, seen)...)
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
			// The fields of an embedded struct are encoded as fields of the outer struct.
		case f.IsExported():
			fields = append(fields, fmt.Sprintf("%v.%s", goType, f.Name))
		default:
			continue
		}
		fields = append(fields, untaggedFields(f.Type, key, seen)...)
	}
	return fields
}

// isEmbedded reports whether the fields of an embedded field of this type are encoded as fields of the outer struct.
func isEmbedded(goType reflect.Type) bool {
	if goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	return goType.Kind() == reflect.Struct
}
