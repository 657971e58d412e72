package settings

import (
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestParseTuning checks which files are read, and a value with and one without an element.
func TestParseTuning(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><staffing>" + s + "</staffing></caperlatch>" }
	cases := []struct {
		name, text string
		ok         bool
	}{
		{"all", wrap("<z>2</z><review_s>10</review_s><window_s>90</window_s><record_s>5</record_s>"), true},
		{"some", wrap("<z>2</z>"), true},
		{"none", "<caperlatch/>", true},
		{"an unknown element", wrap("<zz>2</zz>"), false},
		{"an element in the wrong place", "<caperlatch><z>2</z></caperlatch>", false},
		{"an element twice", wrap("<z>2</z><z>3</z>"), false},
		{"no number", wrap("<z>two</z>"), false},
		{"out of range", wrap("<review_s>0</review_s>"), false},
		{"another root", "<other/>", false},
		{"broken off", "<caperlatch><staffing>", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseTuning(strings.NewReader(c.text))
			if (err == nil) != c.ok {
				t.Fatalf("error %v, want ok %v", err, c.ok)
			}
			if strings.Contains(c.text, "<z>2</z>") && c.ok && (got.Z != 2 || got.RecordInterval != 5*micros.Second) {
				t.Errorf("read %+v", got)
			}
		})
	}
}
