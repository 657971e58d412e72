package settings

import (
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestParseStandby checks the settings read from files of the warm standby, and that an error is a single line that
// names the invalid element.
func TestParseStandby(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><standby>" + s + "</standby></caperlatch>" }
	changed := defaultStandby()
	changed.QueryInterval, changed.MaxLogEntries = 50*micros.Millisecond, 2000
	cases := []struct {
		name, text string
		want       Standby
		wantError  string // what the error must contain; empty: no error
	}{
		{"all elements left out", wrap(""), defaultStandby(), ""},
		{"some elements", wrap("<pull_ms>50</pull_ms><log_entries>2000</log_entries>"), changed, ""},
		{"no section", "<caperlatch/>", Standby{}, "standby"},
		{"empty file", "", Standby{}, "standby"},
		{"unknown element", wrap("<pull>50</pull>"), Standby{}, "pull"},
		{"section of another feature", "<caperlatch><zones/></caperlatch>", Standby{}, "zones"},
		{"repeated element", wrap("<pull_ms>50</pull_ms><pull_ms>60</pull_ms>"), Standby{}, "pull_ms"},
		{"text for a number", wrap("<pull_ms>often</pull_ms>"), Standby{}, "pull_ms"},
		{"interval that is too short", wrap("<pull_ms>1</pull_ms>"), Standby{}, "pull_ms"},
		{"duration that is too long", wrap("<suspect_ms>900000</suspect_ms>"), Standby{}, "suspect_ms"},
		{"suspicion before the next query", wrap("<pull_ms>1000</pull_ms>"), Standby{}, "suspect_ms"},
		{"fraction for an integer", wrap("<log_entries>2000.5</log_entries>"), Standby{}, "log_entries"},
		{"0 log entries", wrap("<log_entries>0</log_entries>"), Standby{}, "log_entries"},
		{"infinite number", wrap("<handover_ms>Inf</handover_ms>"), Standby{}, "handover_ms"},
		{"truncated file", "<caperlatch><standby>", Standby{}, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseStandby(strings.NewReader(c.text))
			checkParsed(t, got, err, &c.want, c.wantError)
		})
	}
}

// TestDeployedStandby checks that the standby file in deploy contains the default values.
func TestDeployedStandby(t *testing.T) {
	got, err := ReadStandby("../../deploy/standby.xml")
	if err != nil || *got != defaultStandby() {
		t.Errorf("deploy/standby.xml: got %+v, error %v; want the default values", got, err)
	}
}
