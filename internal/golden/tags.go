package golden

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// CheckTags looks for exported fields that have no name of their own in a tag of this key, in
// some types and all that stand within them: such a field would be encoded by its name in Go.
func CheckTags(t *testing.T, key string, types ...Type) {
	t.Helper()
	for _, as := range types {
		for _, field := range untagged(as.as, key, map[reflect.Type]bool{}) {
			t.Errorf("%s: %s has no name in a tag %s", as.name, field, key)
		}
	}
}

// untagged lists the fields without a name in a type's structs; seen are those looked at.
func untagged(as reflect.Type, key string, seen map[reflect.Type]bool) (fields []string) {
	switch as.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return untagged(as.Elem(), key, seen)
	case reflect.Map:
		return append(untagged(as.Key(), key, seen), untagged(as.Elem(), key, seen)...)
	case reflect.Struct:
	default:
		return nil
	}
	if seen[as] {
		return nil
	}
	seen[as] = true
	for i := range as.NumField() {
		f := as.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get(key), ",")
		switch {
		case name == "-":
			continue
		case name != "":
			if !f.IsExported() {
				continue
			}
		case f.Anonymous && embedded(f.Type):
			// Its fields are encoded as if they stood here.
		case f.IsExported():
			fields = append(fields, fmt.Sprintf("%v.%s", as, f.Name))
		default:
			continue
		}
		fields = append(fields, untagged(f.Type, key, seen)...)
	}
	return fields
}

// embedded tells whether an embedded field of a type has its fields encoded in its place.
func embedded(as reflect.Type) bool {
	if as.Kind() == reflect.Pointer {
		as = as.Elem()
	}
	return as.Kind() == reflect.Struct
}
