package settings

import (
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestParseTuning checks which files are accepted, and one value that is set and one that is left out.
func TestParseTuning(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><staffing>" + s + "</staffing></caperlatch>" }
	cases := []struct {
		name, text string
		ok         bool
	}{
		{"all elements", wrap("<z>2</z><review_s>10</review_s><window_s>90</window_s><record_s>5</record_s>"), true},
		{"some elements", wrap("<z>2</z>"), true},
		{"no section", "<caperlatch/>", true},
		{"unknown element", wrap("<zz>2</zz>"), false},
		{"misplaced element", "<caperlatch><z>2</z></caperlatch>", false},
		{"repeated element", wrap("<z>2</z><z>3</z>"), false},
		{"text for a number", wrap("<z>two</z>"), false},
		{"value out of range", wrap("<review_s>0</review_s>"), false},
		{"wrong root element", "<other/>", false},
		{"truncated file", "<caperlatch><staffing>", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseTuning(strings.NewReader(c.text))
			if (err == nil) != c.ok {
				t.Fatalf("got error %v, want an error: %v", err, !c.ok)
			}
			if strings.Contains(c.text, "<z>2</z>") && c.ok && (got.Z != 2 || got.RecordInterval != 5*micros.Second) {
				t.Errorf("got %+v, want Z 2 and the default RecordInterval of 5 s", got)
			}
		})
	}
}
