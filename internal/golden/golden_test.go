package golden

import (
	"reflect"
	"slices"
	"testing"
)

type (
	inner struct {
		Name string `json:"name"`
		Bare int
	}
	outer struct {
		inner
		Named   inner            `json:"named"`
		Options string           `json:",omitempty"`
		List    []*inner         `json:"list"`
		ByName  map[string]inner `json:"by_name"`
		Hidden  int              `json:"-"`
		private int
	}
	flat struct {
		First  string
		Second float64
		Third  []int
		Fourth map[string]bool
		Fifth  *uint64
		Sixth  [2]int8
		Hidden int `json:"-"`
	}
	within struct {
		Second float64
		Third  []int
	}
	split struct {
		First string
		within
	}
)

// TestUntaggedFields checks that fields without a tag are found in embedded structs, in fields of struct types, and in
// slices and maps of structs, each field once.
func TestUntaggedFields(t *testing.T) {
	got := untaggedFields(reflect.TypeFor[outer](), "json", map[reflect.Type]bool{})
	want := []string{"golden.inner.Bare", "golden.outer.Options"}
	if !slices.Equal(got, want) {
		t.Errorf("got untagged fields %v, want %v", got, want)
	}
	if got := untaggedFields(reflect.TypeFor[[]inner](), "toml", map[reflect.Type]bool{}); len(got) != 2 {
		t.Errorf("got untagged fields %v for a key that no tag has, want both fields", got)
	}
}

// TestFilled checks that every encoded field is set to a distinct value.
func TestFilled(t *testing.T) {
	fifth := uint64(7)
	want := flat{First: "s1", Second: 2.5, Third: []int{3, 4}, Fourth: map[string]bool{"s5": true}, Fifth: &fifth, Sixth: [2]int8{8, 9}}
	if got := Filled(reflect.TypeFor[flat]()).Interface(); !reflect.DeepEqual(got, want) {
		t.Errorf("Filled returned %+v, want %+v", got, want)
	}
	_ = outer{}.private
}

// TestFormatValues checks that values are listed without Go names, and those of an embedded struct in its place.
func TestFormatValues(t *testing.T) {
	if got, want := FormatValues(split{"x", within{2.5, []int{3, 4}}}), "\"x\"\n2.5\n2 elements\n3\n4"; got != want {
		t.Errorf("FormatValues returned %q, want %q", got, want)
	}
}
