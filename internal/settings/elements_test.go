package settings

import (
	"fmt"
	"strings"
	"testing"
)

// TestElementErrors checks the error messages for invalid XML files, and which error is reported when there are
// several: first elements that cannot be parsed, then values out of range, then values that contradict each other.
func TestElementErrors(t *testing.T) {
	const (
		features = iota
		standby
		tuning
	)
	cases := []struct {
		name string
		kind int
		text string
		want string
	}{
		{"unknown element", tuning, "<caperlatch><staffing><y>1</y></staffing></caperlatch>", "tuning: element y is unknown, misplaced or repeated"},
		{"element in capitals", tuning, "<caperlatch><staffing><Z>1</Z></staffing></caperlatch>", "tuning: element Z is unknown, misplaced or repeated"},
		{"element in capitals beside the known one", tuning, "<caperlatch><staffing><z>1</z><REVIEW_S>31</REVIEW_S></staffing></caperlatch>", "tuning: element REVIEW_S is unknown, misplaced or repeated"},
		{"section in capitals", features, "<caperlatch><Zones/></caperlatch>", "features: element Zones is unknown, misplaced or repeated"},
		{"wrong root element", tuning, "<staffing/>", "tuning: element staffing is unknown, misplaced or repeated"},
		{"section within a section", features, "<caperlatch><zones><standby/></zones></caperlatch>", "features: element standby is unknown, misplaced or repeated"},
		{"repeated section", features, "<caperlatch><zones/><zones/></caperlatch>", "features: element zones is unknown, misplaced or repeated"},
		{"element within a field", tuning, "<caperlatch><staffing><z><z>1</z></z></staffing></caperlatch>", `tuning: z: strconv.ParseFloat: parsing "": invalid syntax`},
		{"text for a number", tuning, "<caperlatch><staffing><z>two</z></staffing></caperlatch>", `tuning: z: strconv.ParseFloat: parsing "two": invalid syntax`},
		{"number that is too large", tuning, "<caperlatch><staffing><z>11</z></staffing></caperlatch>", "tuning: z must be at most 10"},
		{"duration that is too short", tuning, "<caperlatch><staffing><record_s>0.9</record_s></staffing></caperlatch>", "tuning: record_s must be a finite number and at least 1"},
		{"NaN", tuning, "<caperlatch><staffing><z>NaN</z></staffing></caperlatch>", "tuning: z must be a finite number and at least 0"},
		{"truncated file", tuning, "<caperlatch><staffing>", "tuning: XML syntax error on line 1: unexpected EOF"},
		{"value out of range, then an unknown element", tuning, "<caperlatch><staffing><z>11</z><y>1</y></staffing></caperlatch>", "tuning: element y is unknown, misplaced or repeated"},
		{"value out of range, then text for a number", tuning, "<caperlatch><staffing><z>11</z><record_s>x</record_s></staffing></caperlatch>", `tuning: record_s: strconv.ParseFloat: parsing "x": invalid syntax`},
		{"two values out of range", tuning, "<caperlatch><staffing><record_s>0</record_s><z>11</z></staffing></caperlatch>", "tuning: record_s must be a finite number and at least 1"},
		{"no section", standby, "<caperlatch/>", "standby: element standby is missing"},
		{"empty file", standby, "", "standby: element standby is missing"},
		{"fraction for an integer", standby, "<caperlatch><standby><log_entries>2000.5</log_entries></standby></caperlatch>", "standby: log_entries must be a whole number"},
		{"integer that is too small", standby, "<caperlatch><standby><log_entries>0.5</log_entries></standby></caperlatch>", "standby: log_entries must be a finite number and at least 1000"},
		{"milliseconds out of range", standby, "<caperlatch><standby><pull_ms>5001</pull_ms></standby></caperlatch>", "standby: pull_ms must be at most 5000"},
		{"contradicting values", standby, "<caperlatch><standby><pull_ms>1000</pull_ms></standby></caperlatch>", "standby: suspect_ms must be greater than pull_ms"},
		{"value out of range and contradicting values", standby, "<caperlatch><standby><pull_ms>1000</pull_ms><handover_ms>1</handover_ms></standby></caperlatch>", "standby: handover_ms must be a finite number and at least 200"},
		{"no feature section", features, "<caperlatch/>", "features: the file enables no feature: element standby, zones or membership is missing"},
		{"percentage that is too large", features, "<caperlatch><zones><lost_percent>101</lost_percent></zones></caperlatch>", "features: lost_percent must be at most 100"},
		{"step of 0 percent", features, "<caperlatch><zones><step_percent>0</step_percent></zones></caperlatch>", "features: step_percent must be a finite number and at least 1"},
		{"empty name", features, "<caperlatch><zones><class> </class></zones></caperlatch>", "features: class is missing"},
		{"unknown zone", features, "<caperlatch><zones><exempt>c</exempt></zones></caperlatch>", "features: exempt: there is no zone c"},
		{"unknown class", features, "<caperlatch><zones><class>c</class></zones></caperlatch>", "features: class: no objective names a class c"},
		{"contradictions in two sections, reported in the order of section names", features, "<caperlatch><zones><exempt>c</exempt></zones><standby><pull_ms>1000</pull_ms></standby></caperlatch>", "features: suspect_ms must be greater than pull_ms"},
	}
	parse := map[int]func(text string) error{
		features: func(text string) error { _, err := ParseFeatures(strings.NewReader(text), testParams()); return err },
		standby:  func(text string) error { _, err := ParseStandby(strings.NewReader(text)); return err },
		tuning:   func(text string) error { _, err := ParseTuning(strings.NewReader(text)); return err },
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := parse[c.kind](c.text); fmt.Sprint(err) != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
		})
	}
}

// TestOpenErrors checks the error messages for files that cannot be opened.
func TestOpenErrors(t *testing.T) {
	t.Setenv(TuningEnvVar, "missing.xml")
	_, tuning := ReadTuning()
	_, standby := ReadStandby("missing.xml")
	_, features := ReadFeatures("missing.xml", testParams())
	_, file := Read("missing.toml")
	for want, err := range map[string]error{
		"tuning: open missing.xml: no such file or directory":    tuning,
		"standby: open missing.xml: no such file or directory":   standby,
		"features: open missing.xml: no such file or directory":  features,
		"settings: open missing.toml: no such file or directory": file,
	} {
		if fmt.Sprint(err) != want {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
}
