// Package golden is for tests alone: it compares what is written, on the wire, in the state
// service, in files and by commands, with golden files under testdata, byte for byte.
//
// It owns the form of the golden files, and how a value is filled so that every field shows.
// The files hold no names of Go's, but where these are seen outside, as in errors of decoding: a
// type or field may be called otherwise without a change in what is said. It knows no package of
// caperlatch, so that each of them may use it.
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

// UpdateVariable names the environment variable that has Check write the golden files anew. A
// test that does so fails, so that no run with it passes.
const UpdateVariable = "CAPERLATCH_GOLDEN_UPDATE"

// Section is a part of a golden file.
type Section struct {
	Name string // by which it stands in the file, and none of Go's
	Text string
}

// heading begins a section.
const heading = "== "

// Check compares sections with those of a file in the test's testdata.
func Check(t *testing.T, file string, sections []Section) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if os.Getenv(UpdateVariable) != "" {
		write(t, path, sections)
		return
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(b) == text(sections) {
		return
	}
	want := map[string]string{}
	for part := range strings.SplitSeq("\n"+string(b), "\n"+heading) {
		name, said, _ := strings.Cut(part, "\n")
		want[name] = strings.TrimSuffix(said, "\n")
	}
	for _, s := range sections {
		if said, known := want[s.Name]; !known || said != s.Text {
			t.Errorf("%s, %s: it says\n%s\nwant\n%s", path, s.Name, s.Text, said)
		}
	}
	if !t.Failed() {
		t.Errorf("%s has other sections, or has them in another order", path)
	}
}

// write writes a golden file anew.
func write(t *testing.T, path string, sections []Section) {
	t.Helper()
	err := os.MkdirAll(filepath.Dir(path), 0o755)
	if err == nil {
		err = os.WriteFile(path, []byte(text(sections)), 0o644)
	}
	t.Errorf("%s is written anew as %s is set: run the test without (%v)", path, UpdateVariable, err)
}

// text is the content of a golden file.
func text(sections []Section) string {
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "%s%s\n%s\n", heading, s.Name, s.Text)
	}
	return b.String()
}

// Type is a type whose values are encoded.
type Type struct {
	name string
	as   reflect.Type
}

// Of is a type by the name that it has in golden files.
func Of[T any](name string) Type { return Type{name, reflect.TypeFor[T]()} }

// Codec encodes and decodes values.
type Codec struct {
	Encode func(v any) ([]byte, error)
	Decode func(b []byte, v any) error
}

// CheckEncoded compares how values of some types are encoded as CBOR and as JSON, with nothing
// set and with every field set to a value of its own, and has the latter be decoded to the same.
func CheckEncoded(t *testing.T, file string, c Codec, types ...Type) {
	t.Helper()
	var sections []Section
	for _, as := range types {
		sections = append(sections, Section{as.name, as.encoded(t, c)})
	}
	Check(t, file, sections)
}

// encoded is what a golden file says of a type.
func (as Type) encoded(t *testing.T, c Codec) string {
	t.Helper()
	var b strings.Builder
	for _, v := range []reflect.Value{reflect.New(as.as).Elem(), Filled(as.as)} {
		encoded, err := c.Encode(v.Interface())
		if err != nil {
			t.Fatalf("%s: %v", as.name, err)
		}
		said, err := cbor.Diagnose(encoded)
		if err != nil {
			t.Fatalf("%s: %v", as.name, err)
		}
		asJSON, err := json.Marshal(v.Interface())
		if err != nil {
			t.Fatalf("%s: %v", as.name, err)
		}
		fmt.Fprintf(&b, "cbor %x\nsays %s\njson %s\n", encoded, said, asJSON)
		as.checkDecoded(t, c, encoded, v)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// checkDecoded has an encoded value be decoded and encoded anew, which must give the same bytes.
// What is set comes back as it was.
func (as Type) checkDecoded(t *testing.T, c Codec, encoded []byte, was reflect.Value) {
	t.Helper()
	v := reflect.New(as.as)
	if err := c.Decode(encoded, v.Interface()); err != nil {
		t.Errorf("%s: %v", as.name, err)
		return
	}
	again, err := c.Encode(v.Elem().Interface())
	if err != nil || !bytes.Equal(again, encoded) || !was.IsZero() && !reflect.DeepEqual(v.Elem().Interface(), was.Interface()) {
		t.Errorf("%s: decoded it is %+v, was %+v (%v)", as.name, v.Elem(), was, err)
	}
}

// Filled is a value of a type with each exported field set to a value of its own, in the order in
// which the fields stand; truth values are all true. Slices get two elements and maps one. What
// is in a field that is not encoded by the tag json:"-" stays unset.
func Filled(as reflect.Type) reflect.Value {
	v, n := reflect.New(as).Elem(), 0
	fill(v, &n)
	return v
}

// fill fills a value; n counts the values set, so that moving fields to an embedded struct
// changes none of them.
func fill(v reflect.Value, n *int) {
	if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
		*n++
		v.SetBytes([]byte{0x62, 'r', 'a' + byte(*n%26)}) // a text of two letters
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				fill(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(element, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	default:
		*n++
		fillLeaf(v, *n)
	}
}

// fillLeaf sets a value that holds no others.
func fillLeaf(v reflect.Value, n int) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", n))
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprint("v", n)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	default:
		panic(fmt.Sprintf("no value for a %v", v.Type()))
	}
}

// Values lists all values within v, one in a line, in the order in which the fields stand. It is
// for what has no names of its own; those of Go's fields are not told.
func Values(v any) string {
	var b strings.Builder
	list(&b, reflect.ValueOf(v))
	return strings.TrimSuffix(b.String(), "\n")
}

// list writes the values within v.
func list(b *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprintln(b, "none")
			return
		}
		list(b, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			list(b, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(b, "%d elements\n", v.Len())
		for i := range v.Len() {
			list(b, v.Index(i))
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
