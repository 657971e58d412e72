package settings

import (
	"reflect"
	"strings"
	"testing"

	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// testParams is a deployment of two zones with objectives on two classes.
func testParams() *Params {
	return &Params{
		Zones:      []string{"a", "b"},
		Objectives: []Objective{{Kind: "wait", Class: "scan"}, {Kind: "wait", Class: "update"}},
		Workers:    Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75},
	}
}

// TestParseFeatures reads files that turn optional parts on.
func TestParseFeatures(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><zones>" + s + "</zones></caperlatch>" }
	standby := defaultStandby()
	plain := zone.DefaultConfig(8 * micros.Second)
	changed := plain
	changed.EvacuationOrder, changed.ExemptZones = []string{"scan", "update"}, []string{"b"}
	changed.OpenShares, changed.InitialHoldDown, changed.FullDisruptionShare = []float64{0.5, 1}, 10*micros.Second, 0.6
	members := membership.DefaultConfig()
	members.SuspectAfter, members.MaxSuspicionTimeout = 4*micros.Second, 6500*micros.Millisecond
	cases := []struct {
		name, text string
		want       Features
		wrong      string // what the error names
	}{
		{"zones, all left out", wrap(""), Features{Zones: &plain}, ""},
		{"the standby alone", "<caperlatch><standby/></caperlatch>", Features{Standby: &standby}, ""},
		{"both", "<caperlatch><standby/><zones/></caperlatch>", Features{Standby: &standby, Zones: &plain}, ""},
		{"much", wrap("<class>scan</class><class> update </class><exempt>b</exempt><step_percent>50</step_percent>" +
			"<step_percent>100</step_percent><hold_down_s>10</hold_down_s><lost_percent>60</lost_percent>"), Features{Zones: &changed}, ""},
		{"membership", "<caperlatch><membership><suspect_ms>4000</suspect_ms><confirm_most_ms>6500</confirm_most_ms></membership></caperlatch>", Features{Membership: &members}, ""},
		{"a node suspected too soon", "<caperlatch><membership><heartbeat_ms>1100</heartbeat_ms></membership></caperlatch>", Features{}, "suspect_ms"},
		{"a verdict that others delay", "<caperlatch><membership><confirm_least_ms>5001</confirm_least_ms></membership></caperlatch>", Features{}, "confirm_least_ms"},
		{"no heartbeats", "<caperlatch><membership><heartbeat_ms>0</heartbeat_ms></membership></caperlatch>", Features{}, "heartbeat_ms"},
		{"neither", "<caperlatch/>", Features{}, "standby, zones or membership"},
		{"an empty file", "", Features{}, "standby, zones or membership"},
		{"a section twice", "<caperlatch><zones/><zones/></caperlatch>", Features{}, "zones"},
		{"an unknown section", "<caperlatch><zone/></caperlatch>", Features{}, "zone"},
		{"an unknown element", wrap("<step>1</step>"), Features{}, "step"},
		{"an element of the other section", wrap("<pull_ms>100</pull_ms>"), Features{}, "pull_ms"},
		{"an element twice", wrap("<calm_s>9</calm_s><calm_s>9</calm_s>"), Features{}, "calm_s"},
		{"an unknown zone", wrap("<exempt>c</exempt>"), Features{}, "no zone c"},
		{"a zone twice", wrap("<exempt>a</exempt><exempt>a</exempt>"), Features{}, "exempt a"},
		{"an unknown class", wrap("<class>scna</class>"), Features{}, "class scna"},
		{"a class twice", wrap("<class>scan</class><class>scan</class>"), Features{}, "class scan"},
		{"a class without a name", wrap("<class> </class>"), Features{}, "class"},
		{"steps that don't rise", wrap("<step_percent>50</step_percent><step_percent>20</step_percent><step_percent>100</step_percent>"), Features{}, "step_percent"},
		{"steps that don't end", wrap("<step_percent>50</step_percent>"), Features{}, "step_percent"},
		{"a step of nothing", wrap("<step_percent>0</step_percent><step_percent>100</step_percent>"), Features{}, "step_percent"},
		{"lost before it is suspected", wrap("<lost_percent>30</lost_percent>"), Features{}, "suspect_percent"},
		{"cleared and suspected", wrap("<clear_percent>40</clear_percent>"), Features{}, "clear_percent"},
		{"held down for more than the most", wrap("<hold_down_s>31</hold_down_s>"), Features{}, "hold_down_s"},
		{"more than all", wrap("<replace_percent>101</replace_percent>"), Features{}, "replace_percent"},
		{"part of a machine", wrap("<least_machines>2.5</least_machines>"), Features{}, "least_machines"},
		{"no number", wrap("<confirm_s>soon</confirm_s>"), Features{}, "confirm_s"},
		{"contradictions of the standby", "<caperlatch><standby><pull_ms>1000</pull_ms></standby></caperlatch>", Features{}, "suspect_ms"},
		{"broken off", "<caperlatch><zones>", Features{}, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseFeatures(strings.NewReader(c.text), testParams())
			checkParsed(t, got, err, c.want, c.wrong)
		})
	}
}

// checkParsed checks what a file was read as, or that what is wrong ends the start with one line
// that names the element.
func checkParsed(t *testing.T, got any, err error, want any, wrong string) {
	t.Helper()
	if wrong == "" && (err != nil || !reflect.DeepEqual(got, want)) {
		t.Errorf("%+v (%v), want %+v", got, err, want)
	}
	if wrong != "" && (err == nil || !strings.Contains(err.Error(), wrong) || strings.Contains(err.Error(), "\n")) {
		t.Errorf("error %v, want one line naming %s", err, wrong)
	}
}

// TestDeployed reads the files under deploy, which show the defaults.
func TestDeployed(t *testing.T) {
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
