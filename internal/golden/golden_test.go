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

// TestUntagged checks that fields without a tag are found in embedded structs, in structs by their
// own names, and in slices and maps of structs, each once.
func TestUntagged(t *testing.T) {
	got := untagged(reflect.TypeFor[outer](), "json", map[reflect.Type]bool{})
	want := []string{"golden.inner.Bare", "golden.outer.Options"}
	if !slices.Equal(got, want) {
		t.Errorf("found %v, want %v", got, want)
	}
	if got := untagged(reflect.TypeFor[[]inner](), "toml", map[reflect.Type]bool{}); len(got) != 2 {
		t.Errorf("of another key it found %v", got)
	}
}

// TestFilled checks that all that is encoded is set, each to a value of its own.
func TestFilled(t *testing.T) {
	fifth := uint64(7)
	want := flat{First: "s1", Second: 2.5, Third: []int{3, 4}, Fourth: map[string]bool{"s5": true}, Fifth: &fifth, Sixth: [2]int8{8, 9}}
	if got := Filled(reflect.TypeFor[flat]()).Interface(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	_ = outer{}.private
}

// TestValues checks that values are listed without Go names, those of embedded structs in place.
func TestValues(t *testing.T) {
	if got, want := FormatValues(split{"x", within{2.5, []int{3, 4}}}), "\"x\"\n2.5\n2 elements\n3\n4"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
