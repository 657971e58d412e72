package caperlatch

import (
	"fmt"
	"go/types"
	"reflect"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedStruct is a struct type of the module that is encoded: a message, a stored record or a part of one.
type encodedStruct struct {
	name   string // package and, if the type has one, name
	goType reflect.Type
}

// encodedStructs returns all struct types of the module's packages outside tests with at least one json tag, read from
// the source. A type that is added later is therefore included.
func encodedStructs(t *testing.T) (structs []encodedStruct) {
	t.Helper()
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedImports | packages.NeedDeps | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedSyntax,
	}, ".", "./cmd/...", "./internal/...", "./placement", "./staffing")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range loaded {
		for _, loadError := range p.Errors {
			t.Fatal(loadError)
		}
		for expression, value := range p.TypesInfo.Types {
			s, ok := value.Type.(*types.Struct)
			if !ok || !value.IsType() || !hasTag(s) {
				continue
			}
			position := p.Fset.Position(expression.Pos())
			goType, err := reflectType(s)
			if err != nil {
				t.Errorf("%v: %v", position, err)
				continue
			}
			structs = append(structs, encodedStruct{fmt.Sprintf("%s, line %d", p.PkgPath, position.Line), goType})
		}
	}
	slices.SortFunc(structs, func(a, b encodedStruct) int { return strings.Compare(a.name, b.name) })
	return structs
}

// hasTag reports whether a field of a struct has a json tag.
func hasTag(s *types.Struct) bool {
	for i := range s.NumFields() {
		if tag := reflect.StructTag(s.Tag(i)).Get("json"); tag != "" && tag != "-" {
			return true
		}
	}
	return false
}

// rawMessageName is the full name of the type of encoded values that have not been decoded.
const rawMessageName = "github.com/fxamacker/cbor/v2.RawMessage"

// reflectType returns the type with the same encoding as a type in the source.
func reflectType(source types.Type) (reflect.Type, error) {
	if named, ok := types.Unalias(source).(*types.Named); ok && named.String() == rawMessageName {
		return reflect.TypeFor[wire.RawMessage](), nil
	}
	switch s := source.Underlying().(type) {
	case *types.Basic:
		return basicType(s)
	case *types.Interface:
		return reflect.TypeFor[any](), nil
	case *types.Pointer:
		return derivedType(reflect.PointerTo, s.Elem())
	case *types.Slice:
		return derivedType(reflect.SliceOf, s.Elem())
	case *types.Array:
		return derivedType(func(element reflect.Type) reflect.Type { return reflect.ArrayOf(int(s.Len()), element) }, s.Elem())
	case *types.Map:
		key, err := reflectType(s.Key())
		if err != nil {
			return nil, err
		}
		return derivedType(func(element reflect.Type) reflect.Type { return reflect.MapOf(key, element) }, s.Elem())
	case *types.Struct:
		fields, err := structFields(s)
		if err != nil {
			return nil, err
		}
		return reflect.StructOf(fields), nil
	}
	return nil, fmt.Errorf("no reflected type for %v", source)
}

// derivedType returns the type that derive makes of the reflected type of an element.
func derivedType(derive func(reflect.Type) reflect.Type, element types.Type) (reflect.Type, error) {
	elementType, err := reflectType(element)
	if err != nil {
		return nil, err
	}
	return derive(elementType), nil
}

// basicTypes are the types of encoded values that are neither lists nor maps.
var basicTypes = []reflect.Type{
	reflect.TypeFor[bool](), reflect.TypeFor[string](), reflect.TypeFor[float32](), reflect.TypeFor[float64](),
	reflect.TypeFor[int](), reflect.TypeFor[int8](), reflect.TypeFor[int16](), reflect.TypeFor[int32](), reflect.TypeFor[int64](),
	reflect.TypeFor[uint](), reflect.TypeFor[uint8](), reflect.TypeFor[uint16](), reflect.TypeFor[uint32](), reflect.TypeFor[uint64](),
}

// basicType returns the reflected type of a basic type.
func basicType(basic *types.Basic) (reflect.Type, error) {
	i := slices.IndexFunc(basicTypes, func(t reflect.Type) bool { return t.Kind().String() == types.Default(basic).String() })
	if i < 0 {
		return nil, fmt.Errorf("no reflected type for %v", basic)
	}
	return basicTypes[i], nil
}

// structFields returns the encoded fields of a struct. Those of embedded structs are among them, as in the encoding.
func structFields(s *types.Struct) (fields []reflect.StructField, err error) {
	for i := range s.NumFields() {
		field, tag := s.Field(i), reflect.StructTag(s.Tag(i))
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		embedded, isStruct := field.Type().Underlying().(*types.Struct)
		switch {
		case name == "-" || name == "" && !field.Exported() && !field.Embedded():
			continue
		case field.Embedded() && name == "" && isStruct:
			nested, err := structFields(embedded)
			if err != nil {
				return nil, err
			}
			fields = append(fields, nested...)
			continue
		}
		fieldType, err := reflectType(field.Type())
		if err != nil {
			return nil, err
		}
		fields = append(fields, reflect.StructField{Name: field.Name(), Type: fieldType, Tag: tag})
	}
	return fields, nil
}

// similarNames returns names that differ from a field's name in case only: in other capitals, and with the letters
// outside ASCII whose other case is an ASCII letter.
func similarNames(name string) (similar []string) {
	candidates := []string{
		strings.ToUpper(name),
		strings.ToUpper(name[:1]) + name[1:],
		name[:len(name)-1] + strings.ToUpper(name[len(name)-1:]),
		strings.ReplaceAll(name, "s", "\u017f"),
		strings.ReplaceAll(name, "k", "\u212a"),
	}
	for _, candidate := range candidates {
		if candidate != name && !slices.Contains(similar, candidate) {
			similar = append(similar, candidate)
		}
	}
	return similar
}

// encodedField is a field in the encoding of a struct.
type encodedField struct {
	name  string
	value any
}

// fieldEditor changes the fields of each struct in an encoded value.
type fieldEditor func(fields []encodedField) []encodedField

// withSimilarFieldsFirst puts fields with similar names and another value before each field.
func withSimilarFieldsFirst(fields []encodedField) (edited []encodedField) {
	for _, f := range fields {
		edited = append(edited, similarFields(f)...)
		edited = append(edited, f)
	}
	return edited
}

// withSimilarFieldsLast puts fields with similar names and another value after all fields.
func withSimilarFieldsLast(fields []encodedField) []encodedField {
	edited := slices.Clone(fields)
	for _, f := range fields {
		edited = append(edited, similarFields(f)...)
	}
	return edited
}

// similarFields returns fields with names similar to that of a field, each with a value that differs from the field's.
func similarFields(f encodedField) (similar []encodedField) {
	for _, name := range similarNames(f.name) {
		similar = append(similar, encodedField{name, "another value"}, encodedField{name + " ", nil})
	}
	return similar
}

// renamedSimilarly replaces each field's name by a similar one.
func renamedSimilarly(fields []encodedField) (edited []encodedField) {
	for _, f := range fields {
		for _, name := range similarNames(f.name) {
			edited = append(edited, encodedField{name, f.value})
		}
	}
	return edited
}

// First bytes of the CBOR encodings of a list and of a map whose length follows in two bytes.
const (
	cborListOfLength = 0x99
	cborMapOfLength  = 0xb9
)

// cborHead returns the first bytes of the encoding of a list or a map of the given length.
func cborHead(first byte, length int) []byte { return []byte{first, byte(length >> 8), byte(length)} }

// encodeEdited encodes a value like wire.Marshal, with the fields of each struct in it changed by edit.
func encodeEdited(t *testing.T, v reflect.Value, edit fieldEditor) []byte {
	t.Helper()
	switch {
	case v.Kind() == reflect.Pointer:
		return encodeEdited(t, v.Elem(), edit)
	case v.Kind() == reflect.Slice && v.Type() != reflect.TypeFor[wire.RawMessage]():
		encoded := cborHead(cborListOfLength, v.Len())
		for i := range v.Len() {
			encoded = append(encoded, encodeEdited(t, v.Index(i), edit)...)
		}
		return encoded
	case v.Kind() == reflect.Map:
		encoded := cborHead(cborMapOfLength, v.Len())
		for entries := v.MapRange(); entries.Next(); {
			encoded = append(encoded, encodePlain(t, entries.Key().Interface())...)
			encoded = append(encoded, encodeEdited(t, entries.Value(), edit)...)
		}
		return encoded
	case v.Kind() == reflect.Struct:
		return encodeEditedStruct(t, v, edit)
	}
	return encodePlain(t, v.Interface())
}

// encodeEditedStruct encodes a struct with its fields changed by edit.
func encodeEditedStruct(t *testing.T, v reflect.Value, edit fieldEditor) []byte {
	t.Helper()
	var fields []encodedField
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == "" {
			name = v.Type().Field(i).Name
		}
		fields = append(fields, encodedField{name, v.Field(i)})
	}
	fields = edit(fields)
	encoded := cborHead(cborMapOfLength, len(fields))
	for _, f := range fields {
		encoded = append(encoded, encodePlain(t, f.name)...)
		if value, isKnown := f.value.(reflect.Value); isKnown {
			encoded = append(encoded, encodeEdited(t, value, edit)...)
		} else {
			encoded = append(encoded, encodePlain(t, f.value)...)
		}
	}
	return encoded
}

// encodePlain encodes a value without structs.
func encodePlain(t *testing.T, v any) []byte {
	t.Helper()
	encoded, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestSimilarFieldNamesAreUnknown guards against an unknown field that replaces the known one from which its name
// differs in case only. In every message and stored record, a field counts only under its own name.
func TestSimilarFieldNamesAreUnknown(t *testing.T) {
	structs := encodedStructs(t)
	if len(structs) == 0 {
		t.Fatal("found no type with json tags, want all messages and records")
	}
	for _, s := range structs {
		t.Run(s.name, func(t *testing.T) {
			filled := golden.Filled(s.goType)
			for _, c := range []struct {
				name string
				edit fieldEditor
				want reflect.Value
			}{
				{"unchanged", func(fields []encodedField) []encodedField { return fields }, filled},
				{"similar names first", withSimilarFieldsFirst, filled},
				{"similar names last", withSimilarFieldsLast, filled},
				{"similar names only", renamedSimilarly, reflect.Zero(s.goType)},
			} {
				decoded := reflect.New(s.goType)
				err := wire.Unmarshal(encodeEdited(t, filled, c.edit), decoded.Interface())
				if err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), c.want.Interface()) {
					t.Errorf("%s: decoded %+v (error %v), want %+v", c.name, decoded.Elem(), err, c.want)
				}
			}
		})
	}
}
