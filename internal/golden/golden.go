// Package golden supports tests that compare encoded, stored or printed output with golden files in testdata, byte for
// byte.
//
// It owns the format of the golden files, and the generation of values in which every field is set. Golden files
// contain Go names only where these are visible outside the process, as in decoding errors, so that types and fields
// can be renamed without changing their encoding. It must not import any other package of caperlatch, so that all of
// them can use it.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// UpdateEnvVar is the environment variable that makes Check write the golden files. The test then fails, so that no
// test run passes while it writes files.
const UpdateEnvVar = "CAPERLATCH_GOLDEN_UPDATE"

// Section is a named part of a golden file.
type Section struct {
	Name string // name in the file, which does not depend on Go names
	Text string
}

// sectionPrefix begins the line that contains the name of a section.
const sectionPrefix = "== "

// Check compares sections with those of a golden file in the directory testdata of the test, and reports each section
// that differs as a test error.
func Check(t *testing.T, file string, sections []Section) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if os.Getenv(UpdateEnvVar) != "" {
		writeGolden(t, path, sections)
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) == fileContent(sections) {
		return
	}
	want := map[string]string{}
	for part := range strings.SplitSeq("\n"+string(content), "\n"+sectionPrefix) {
		name, wantText, _ := strings.Cut(part, "\n")
		want[name] = strings.TrimSuffix(wantText, "\n")
	}
	for _, s := range sections {
		if wantText, found := want[s.Name]; !found || wantText != s.Text {
			t.Errorf("%s, %s: got\n%s\nwant\n%s", path, s.Name, s.Text, wantText)
		}
	}
	if !t.Failed() {
		t.Errorf("%s contains additional sections, or the sections in a different order", path)
	}
}

// writeGolden writes a golden file and makes the test fail.
func writeGolden(t *testing.T, path string, sections []Section) {
	t.Helper()
	err := os.MkdirAll(filepath.Dir(path), 0o755)
	if err == nil {
		err = os.WriteFile(path, []byte(fileContent(sections)), 0o644)
	}
	t.Errorf("%s is set, so %s was written instead of compared (error: %v); run the test again without it", UpdateEnvVar, path, err)
}

// fileContent returns the content of a golden file with the given sections.
func fileContent(sections []Section) string {
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "%s%s\n%s\n", sectionPrefix, s.Name, s.Text)
	}
	return b.String()
}

// Type is a Go type whose encoding is checked.
type Type struct {
	name   string // name in golden files
	goType reflect.Type
}

// TypeOf returns the type T with the given name in golden files.
func TypeOf[T any](name string) Type { return Type{name, reflect.TypeFor[T]()} }

// Codec is an encoding of values.
type Codec struct {
	Encode func(v any) ([]byte, error)
	Decode func(b []byte, v any) error
}

// CheckEncoded compares the encodings of values of the given types with those in a golden file, as CBOR by the codec
// and as JSON. For each type it encodes the zero value, and a value with every field set to a distinct value. It also
// checks that the CBOR encoding of both is decoded without loss.
func CheckEncoded(t *testing.T, file string, codec Codec, types ...Type) {
	t.Helper()
	var sections []Section
	for _, typ := range types {
		sections = append(sections, Section{typ.name, typ.encoded(t, codec)})
	}
	Check(t, file, sections)
}

// encoded returns the text of the section for a type.
func (typ Type) encoded(t *testing.T, codec Codec) string {
	t.Helper()
	var b strings.Builder
	for _, v := range []reflect.Value{reflect.New(typ.goType).Elem(), Filled(typ.goType)} {
		encoded, err := codec.Encode(v.Interface())
		if err != nil {
			t.Fatalf("%s: encode as CBOR: %v", typ.name, err)
		}
		diagnosis, err := cbor.Diagnose(encoded)
		if err != nil {
			t.Fatalf("%s: format CBOR encoding: %v", typ.name, err)
		}
		asJSON, err := json.Marshal(v.Interface())
		if err != nil {
			t.Fatalf("%s: encode as JSON: %v", typ.name, err)
		}
		fmt.Fprintf(&b, "cbor %x\nsays %s\njson %s\n", encoded, diagnosis, asJSON)
		typ.checkDecoded(t, codec, encoded, v)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// checkDecoded checks that an encoded value, decoded and encoded again, gives the same bytes. It also checks that the
// decoded value equals the original value, unless that is the zero value.
func (typ Type) checkDecoded(t *testing.T, codec Codec, encoded []byte, original reflect.Value) {
	t.Helper()
	decoded := reflect.New(typ.goType)
	if err := codec.Decode(encoded, decoded.Interface()); err != nil {
		t.Errorf("%s: decode CBOR encoding: %v", typ.name, err)
		return
	}
	again, err := codec.Encode(decoded.Elem().Interface())
	if err != nil || !bytes.Equal(again, encoded) || !original.IsZero() && !reflect.DeepEqual(decoded.Elem().Interface(), original.Interface()) {
		t.Errorf("%s: decoded %+v, want %+v and the same bytes when encoded again (error %v)", typ.name, decoded.Elem(), original, err)
	}
}

// Filled returns a value of a type in which each exported field is set to a distinct value, in the order of the fields.
// Booleans are all true, slices have two elements and maps have one. A field that is excluded from the encoding by the
// tag json:"-" stays unset.
func Filled(goType reflect.Type) reflect.Value {
	v, count := reflect.New(goType).Elem(), 0
	fill(v, &count)
	return v
}

// fill sets all fields and elements of a value, recursively. It counts the values that it sets and derives each value
// from the count, so that moving fields to an embedded struct does not change the values.
func fill(v reflect.Value, count *int) {
	if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
		*count++
		v.SetBytes([]byte{0x62, 'r', 'a' + byte(*count%26)}) // CBOR encoding of a string of two letters
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), count)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				fill(v.Field(i), count)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), count)
		fill(v.Index(1), count)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), count)
		}
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, count)
		fill(element, count)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	default:
		*count++
		fillScalar(v, *count)
	}
}

// fillScalar sets a value of a scalar or interface type to a value derived from a number.
func fillScalar(v reflect.Value, number int) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", number))
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprint("v", number)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number))
	default:
		panic(fmt.Sprintf("golden: cannot generate a value of type %v", v.Type()))
	}
}

// FormatValues lists all values in v, recursively, one per line and in the order of the fields. It is used for types
// without struct tags. It omits the names of fields, because these are Go names and may change.
func FormatValues(v any) string {
	var b strings.Builder
	listValues(&b, reflect.ValueOf(v))
	return strings.TrimSuffix(b.String(), "\n")
}

// listValues writes all values in v to b, recursively.
func listValues(b *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprintln(b, "none")
			return
		}
		listValues(b, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			listValues(b, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(b, "%d elements\n", v.Len())
		for i := range v.Len() {
			listValues(b, v.Index(i))
		}
	case reflect.String:
		fmt.Fprintf(b, "%q\n", v.String())
	case reflect.Bool:
		fmt.Fprintln(b, v.Bool())
	case reflect.Float32, reflect.Float64:
		fmt.Fprintln(b, v.Float())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		fmt.Fprintln(b, v.Uint())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		fmt.Fprintln(b, v.Int())
	default:
		panic(fmt.Sprintf("golden: cannot format a value of type %v", v.Type()))
	}
}
