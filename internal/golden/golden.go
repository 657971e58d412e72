// Package golden is test support: it compares what is encoded, stored and printed with golden
// files under testdata, byte for byte.
//
// It owns the form of the golden files, and how a value is filled so that every field shows. The
// files hold no Go names, but where these are seen outside, as in errors of decoding, so that a
// type or field may be renamed without a change of its encoding. It must import no other package
// of caperlatch, so that each of them may use it.
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

// UpdateEnvVar names the environment variable that has Check write the golden files. A test
// that does so fails, so that no run with it passes.
const UpdateEnvVar = "CAPERLATCH_GOLDEN_UPDATE"

// Section is a part of a golden file.
type Section struct {
	Name string // in the file; not a Go name
	Text string
}

// sectionMark begins the line with the name of a section.
const sectionMark = "== "

// Check compares sections with those of a file in the test's directory testdata, and reports each
// one that differs as an error of the test.
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
	for part := range strings.SplitSeq("\n"+string(content), "\n"+sectionMark) {
		name, wantText, _ := strings.Cut(part, "\n")
		want[name] = strings.TrimSuffix(wantText, "\n")
	}
	for _, s := range sections {
		if wantText, known := want[s.Name]; !known || wantText != s.Text {
			t.Errorf("%s, %s: got\n%s\nwant\n%s", path, s.Name, s.Text, wantText)
		}
	}
	if !t.Failed() {
		t.Errorf("%s has other sections, or has them in another order", path)
	}
}

// writeGolden writes a golden file, and has the test fail.
func writeGolden(t *testing.T, path string, sections []Section) {
	t.Helper()
	err := os.MkdirAll(filepath.Dir(path), 0o755)
	if err == nil {
		err = os.WriteFile(path, []byte(fileContent(sections)), 0o644)
	}
	t.Errorf("%s was written, as %s is set: run the test without it (%v)", path, UpdateEnvVar, err)
}

// fileContent returns the content of a golden file.
func fileContent(sections []Section) string {
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "%s%s\n%s\n", sectionMark, s.Name, s.Text)
	}
	return b.String()
}

// Type is a type whose values are encoded.
type Type struct {
	name   string // in golden files
	goType reflect.Type
}

// TypeOf returns the type T with its name in golden files.
func TypeOf[T any](name string) Type { return Type{name, reflect.TypeFor[T]()} }

// Codec is an encoding of values.
type Codec struct {
	Encode func(v any) ([]byte, error)
	Decode func(b []byte, v any) error
}

// CheckEncoded compares the encodings of values of these types, by codec, which is of CBOR, and as
// JSON, with those of a golden file: of a value with nothing set, and of one with every field set
// to a value of its own. It checks that both are decoded to the same again.
func CheckEncoded(t *testing.T, file string, codec Codec, types ...Type) {
	t.Helper()
	var sections []Section
	for _, typ := range types {
		sections = append(sections, Section{typ.name, typ.encoded(t, codec)})
	}
	Check(t, file, sections)
}

// encoded returns the text of a type's section.
func (typ Type) encoded(t *testing.T, codec Codec) string {
	t.Helper()
	var b strings.Builder
	for _, v := range []reflect.Value{reflect.New(typ.goType).Elem(), Filled(typ.goType)} {
		encoded, err := codec.Encode(v.Interface())
		if err != nil {
			t.Fatalf("%s: %v", typ.name, err)
		}
		diagnosis, err := cbor.Diagnose(encoded)
		if err != nil {
			t.Fatalf("%s: %v", typ.name, err)
		}
		asJSON, err := json.Marshal(v.Interface())
		if err != nil {
			t.Fatalf("%s: %v", typ.name, err)
		}
		fmt.Fprintf(&b, "cbor %x\nsays %s\njson %s\n", encoded, diagnosis, asJSON)
		typ.checkDecoded(t, codec, encoded, v)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// checkDecoded checks that an encoded value, decoded and encoded again, gives the same bytes, and
// that the decoded value equals the original one if anything is set in that.
func (typ Type) checkDecoded(t *testing.T, codec Codec, encoded []byte, original reflect.Value) {
	t.Helper()
	decoded := reflect.New(typ.goType)
	if err := codec.Decode(encoded, decoded.Interface()); err != nil {
		t.Errorf("%s: %v", typ.name, err)
		return
	}
	again, err := codec.Encode(decoded.Elem().Interface())
	if err != nil || !bytes.Equal(again, encoded) || !original.IsZero() && !reflect.DeepEqual(decoded.Elem().Interface(), original.Interface()) {
		t.Errorf("%s: decoded %+v, want %+v (%v)", typ.name, decoded.Elem(), original, err)
	}
}

// Filled returns a value of a type with each exported field set to a value of its own, in the
// order of the fields; booleans are all true. Slices get two elements and maps one. A field that
// is not encoded, by the tag json:"-", stays unset.
func Filled(goType reflect.Type) reflect.Value {
	v, count := reflect.New(goType).Elem(), 0
	fill(v, &count)
	return v
}

// fill sets all within a value. It counts the values that it sets and makes each from the count,
// so that moving fields to an embedded struct changes none of them.
func fill(v reflect.Value, count *int) {
	if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
		*count++
		v.SetBytes([]byte{0x62, 'r', 'a' + byte(*count%26)}) // CBOR of a text of two letters
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
		fillLeaf(v, *count)
	}
}

// fillLeaf sets a value that holds no others to one made from a number.
func fillLeaf(v reflect.Value, number int) {
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
		panic(fmt.Sprintf("no value for a %v", v.Type()))
	}
}

// FormatValues lists all values within v, one a line, in the order of the fields. It is for what is
// encoded without names; Go names are left out.
func FormatValues(v any) string {
	var b strings.Builder
	listValues(&b, reflect.ValueOf(v))
	return strings.TrimSuffix(b.String(), "\n")
}

// listValues writes the values within v.
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
		panic(fmt.Sprintf("no text for a %v", v.Type()))
	}
}
