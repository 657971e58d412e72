package settings

import (
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestParseStandby reads settings of the warm standby. What is wrong is an error of one line that
// names the element.
func TestParseStandby(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><standby>" + s + "</standby></caperlatch>" }
	changed := defaultStandby()
	changed.QueryInterval, changed.MaxLogEntries = 50*micros.Millisecond, 2000
	cases := []struct {
		name, text string
		want       Standby
		wrong      string // what the error names
	}{
		{"all left out", wrap(""), defaultStandby(), ""},
		{"some", wrap("<pull_ms>50</pull_ms><log_entries>2000</log_entries>"), changed, ""},
		{"no section", "<caperlatch/>", Standby{}, "standby"},
		{"an empty file", "", Standby{}, "standby"},
		{"an unknown element", wrap("<pull>50</pull>"), Standby{}, "pull"},
		{"another section", "<caperlatch><zones/></caperlatch>", Standby{}, "zones"},
		{"an element twice", wrap("<pull_ms>50</pull_ms><pull_ms>60</pull_ms>"), Standby{}, "pull_ms"},
		{"no number", wrap("<pull_ms>often</pull_ms>"), Standby{}, "pull_ms"},
		{"an interval that is too short", wrap("<pull_ms>1</pull_ms>"), Standby{}, "pull_ms"},
		{"a time that is too long", wrap("<suspect_ms>900000</suspect_ms>"), Standby{}, "suspect_ms"},
		{"suspected between two queries", wrap("<pull_ms>1000</pull_ms>"), Standby{}, "suspect_ms"},
		{"part of an entry", wrap("<log_entries>2000.5</log_entries>"), Standby{}, "log_entries"},
		{"no entries", wrap("<log_entries>0</log_entries>"), Standby{}, "log_entries"},
		{"not a finite number", wrap("<handover_ms>Inf</handover_ms>"), Standby{}, "handover_ms"},
		{"broken off", "<caperlatch><standby>", Standby{}, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseStandby(strings.NewReader(c.text))
			checkParsed(t, got, err, &c.want, c.wrong)
		})
	}
}

// TestDeployedStandby reads the file under deploy.
func TestDeployedStandby(t *testing.T) {
	got, err := ReadStandby("../../deploy/standby.xml")
	if err != nil || *got != defaultStandby() {
		t.Errorf("%+v (%v), want the defaults", got, err)
	}
}
