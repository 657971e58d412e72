package settings

import (
	"reflect"
	"strings"
	"testing"

	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// testParams returns a deployment of two zones with objectives on two classes.
func testParams() *Params {
	return &Params{
		Zones:      []string{"a", "b"},
		Objectives: []Objective{{Kind: "wait", Class: "scan"}, {Kind: "wait", Class: "update"}},
		Workers:    Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75},
	}
}

// TestParseFeatures checks the settings read from feature files, and that an error is a single line that names the
// invalid element.
func TestParseFeatures(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><zones>" + s + "</zones></caperlatch>" }
	standby := defaultStandby()
	defaults := zone.DefaultConfig(8 * micros.Second)
	changed := defaults
	changed.EvacuationOrder, changed.ExemptZones = []string{"scan", "update"}, []string{"b"}
	changed.OpenShares, changed.InitialHoldDown, changed.FullDisruptionShare = []float64{0.5, 1}, 10*micros.Second, 0.6
	members := membership.DefaultConfig()
	members.SuspectAfter, members.MaxSuspicionTimeout = 4*micros.Second, 6500*micros.Millisecond
	cases := []struct {
		name, text string
		want       Features
		wantError  string // what the error must contain; empty: no error
	}{
		{"zones with all elements left out", wrap(""), Features{Zones: &defaults}, ""},
		{"standby only", "<caperlatch><standby/></caperlatch>", Features{Standby: &standby}, ""},
		{"standby and zones", "<caperlatch><standby/><zones/></caperlatch>", Features{Standby: &standby, Zones: &defaults}, ""},
		{"zones with some elements", wrap("<class>scan</class><class> update </class><exempt>b</exempt><step_percent>50</step_percent>" +
			"<step_percent>100</step_percent><hold_down_s>10</hold_down_s><lost_percent>60</lost_percent>"), Features{Zones: &changed}, ""},
		{"membership", "<caperlatch><membership><suspect_ms>4000</suspect_ms><confirm_most_ms>6500</confirm_most_ms></membership></caperlatch>", Features{Membership: &members}, ""},
		{"suspicion before three missed heartbeats", "<caperlatch><membership><heartbeat_ms>1100</heartbeat_ms></membership></caperlatch>", Features{}, "suspect_ms"},
		{"confirmation that would prolong a suspicion", "<caperlatch><membership><confirm_least_ms>5001</confirm_least_ms></membership></caperlatch>", Features{}, "confirm_least_ms"},
		{"heartbeat interval of 0", "<caperlatch><membership><heartbeat_ms>0</heartbeat_ms></membership></caperlatch>", Features{}, "heartbeat_ms"},
		{"no section", "<caperlatch/>", Features{}, "standby, zones or membership"},
		{"empty file", "", Features{}, "standby, zones or membership"},
		{"repeated section", "<caperlatch><zones/><zones/></caperlatch>", Features{}, "zones"},
		{"unknown section", "<caperlatch><zone/></caperlatch>", Features{}, "zone"},
		{"unknown element", wrap("<step>1</step>"), Features{}, "step"},
		{"element of another section", wrap("<pull_ms>100</pull_ms>"), Features{}, "pull_ms"},
		{"repeated element", wrap("<calm_s>9</calm_s><calm_s>9</calm_s>"), Features{}, "calm_s"},
		{"unknown zone", wrap("<exempt>c</exempt>"), Features{}, "no zone c"},
		{"duplicate zone", wrap("<exempt>a</exempt><exempt>a</exempt>"), Features{}, "exempt a"},
		{"unknown class", wrap("<class>scna</class>"), Features{}, "class scna"},
		{"duplicate class", wrap("<class>scan</class><class>scan</class>"), Features{}, "class scan"},
		{"class without a name", wrap("<class> </class>"), Features{}, "class"},
		{"steps that do not increase", wrap("<step_percent>50</step_percent><step_percent>20</step_percent><step_percent>100</step_percent>"), Features{}, "step_percent"},
		{"steps that do not end with 100 percent", wrap("<step_percent>50</step_percent>"), Features{}, "step_percent"},
		{"step of 0 percent", wrap("<step_percent>0</step_percent><step_percent>100</step_percent>"), Features{}, "step_percent"},
		{"threshold of a full disruption below that of a partial one", wrap("<lost_percent>30</lost_percent>"), Features{}, "suspect_percent"},
		{"threshold of the normal state not below that of a partial disruption", wrap("<clear_percent>40</clear_percent>"), Features{}, "clear_percent"},
		{"initial hold-down over the maximum", wrap("<hold_down_s>31</hold_down_s>"), Features{}, "hold_down_s"},
		{"percentage over 100", wrap("<replace_percent>101</replace_percent>"), Features{}, "replace_percent"},
		{"fraction for an integer", wrap("<least_machines>2.5</least_machines>"), Features{}, "least_machines"},
		{"text for a number", wrap("<confirm_s>soon</confirm_s>"), Features{}, "confirm_s"},
		{"contradicting settings of the standby", "<caperlatch><standby><pull_ms>1000</pull_ms></standby></caperlatch>", Features{}, "suspect_ms"},
		{"truncated file", "<caperlatch><zones>", Features{}, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseFeatures(strings.NewReader(c.text), testParams())
			checkParsed(t, got, err, c.want, c.wantError)
		})
	}
}

// checkParsed checks the settings that a file was parsed to or, if wantError is not empty, that the error is a single
// line that contains it.
func checkParsed(t *testing.T, got any, err error, want any, wantError string) {
	t.Helper()
	if wantError == "" && (err != nil || !reflect.DeepEqual(got, want)) {
		t.Errorf("got %+v, error %v; want %+v", got, err, want)
	}
	if wantError != "" && (err == nil || !strings.Contains(err.Error(), wantError) || strings.Contains(err.Error(), "\n")) {
		t.Errorf("got error %v, want a single line that contains %q", err, wantError)
	}
}

// TestDeployedFeatures checks that the feature files in deploy contain the default values.
func TestDeployedFeatures(t *testing.T) {
	zones, members, standby := zone.DefaultConfig(8*micros.Second), membership.DefaultConfig(), defaultStandby()
	for file, want := range map[string]Features{
		"zones.xml":      {Zones: &zones},
		"membership.xml": {Membership: &members},
		"standby.xml":    {Standby: &standby},
	} {
		got, err := ReadFeatures("../../deploy/"+file, testParams())
		checkParsed(t, got, err, want, "")
	}
}
