package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/golden"
	"caperlatch/internal/membership"
	"caperlatch/internal/zone"
)

// asTOML returns a value as TOML, in which nothing but its tags names its fields.
func asTOML(t *testing.T, v any) string {
	t.Helper()
	b, err := toml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(b), "\n")
}

// TestSettingsFields checks that settings with every field set are written as the golden file says
// and read again as they were, and that the example is read as it says.
func TestSettingsFields(t *testing.T) {
	all := golden.Filled(reflect.TypeFor[Settings]()).Interface().(Settings)
	text := asTOML(t, all)
	var read Settings
	if err := toml.Unmarshal([]byte(text), &read); err != nil || !reflect.DeepEqual(read, all) {
		t.Errorf("read %+v, %v, want %+v", read, err, all)
	}
	example, err := Read(filepath.Join("..", "..", "deploy", "settings.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "settings.golden", []golden.Section{
		{Name: "all fields", Text: text},
		{Name: "the example", Text: asTOML(t, example)},
		{Name: "its values", Text: golden.FormatValues(example)},
	})
}

// TestSettingsTags checks that tags name all fields of settings.
func TestSettingsTags(t *testing.T) {
	golden.CheckTags(t, "toml", golden.TypeOf[Settings]("settings"))
}

// operatorsSections returns the sections of the operators' files, but for the tuning's.
func operatorsSections() map[string]section {
	var standby Standby
	var zones zone.Config
	var members membership.Config
	return map[string]section{
		standbyElement:    standbySection(&standby),
		zonesElement:      zonesSection(&zones, &Params{}),
		membershipElement: membershipSection(&members),
	}
}

// TestElementNames checks the names of the elements of the operators' files.
func TestElementNames(t *testing.T) {
	sections := operatorsSections()
	out := []golden.Section{{Name: "root", Text: rootElement}, {Name: "variable with the tuning", Text: TuningEnvVar}, {Name: "section of the tuning", Text: staffingElement}}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		var fields []string
		for _, f := range slices.Sorted(maps.Keys(sections[name].fields)) {
			if sections[name].fields[f].repeatable {
				f += ", any number"
			}
			fields = append(fields, f)
		}
		out = append(out, golden.Section{Name: name, Text: strings.Join(fields, "\n")})
	}
	golden.Check(t, "elements.golden", out)
}

// Files of operators with every element, each set to a value of its own.
const (
	allTuning = `<caperlatch><staffing><z>1.5</z><review_s>31</review_s><window_s>62</window_s><record_s>7</record_s></staffing></caperlatch>`

	allStandby = `<standby><pull_ms>110</pull_ms><suspect_ms>820</suspect_ms><log_entries>43000</log_entries><handover_ms>1540</handover_ms></standby>`

	allMembership = `<membership><heartbeat_ms>510</heartbeat_ms><suspect_ms>3020</suspect_ms>
		<confirm_least_ms>1530</confirm_least_ms><confirm_most_ms>5040</confirm_most_ms></membership>`

	allZones = `<zones><class>interactive</class><class>batch</class><exempt>a</exempt><suspect_percent>41</suspect_percent>
		<lost_percent>52</lost_percent><clear_percent>23</clear_percent><relapse_percent>4</relapse_percent><replace_percent>55</replace_percent>
		<least_machines>6</least_machines><confirm_s>7</confirm_s><step_s>8</step_s><hold_down_s>9</hold_down_s><hold_down_most_s>31</hold_down_most_s>
		<calm_s>320</calm_s><step_percent>11</step_percent><step_percent>26</step_percent><step_percent>100</step_percent></zones>`
)

// elementsOf lists the elements of a file with the sections that they stand in.
func elementsOf(t *testing.T, file string) map[string]bool {
	t.Helper()
	var path []string
	found := map[string]bool{}
	for d := xml.NewDecoder(strings.NewReader(file)); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return found
		}
		if err != nil {
			t.Fatal(err)
		}
		switch e := token.(type) {
		case xml.StartElement:
			path = append(path, e.Name.Local)
			found[strings.Join(path, "/")] = true
		case xml.EndElement:
			path = path[:len(path)-1]
		}
	}
}

// TestOperatorsFiles checks what the operators' files are read as: those in deploy, and some with
// every element set.
func TestOperatorsFiles(t *testing.T) {
	example, err := Read(filepath.Join("..", "..", "deploy", "settings.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	all := "<caperlatch>" + allStandby + allMembership + allZones + "</caperlatch>"
	present := elementsOf(t, all)
	for name, s := range operatorsSections() {
		for f := range s.fields {
			if !present["caperlatch/"+name+"/"+f] {
				t.Errorf("%s/%s is not set here", name, f)
			}
		}
	}
	tuning, err := ParseTuning(strings.NewReader(allTuning))
	if err != nil {
		t.Fatal(err)
	}
	sections := []golden.Section{
		{Name: "tuning by default", Text: golden.FormatValues(DefaultTuning())},
		{Name: "all of the tuning", Text: golden.FormatValues(tuning)},
	}
	add := func(name, content string) {
		features, err := ParseFeatures(strings.NewReader(content), &example.Params)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		for part, values := range map[string]any{standbyElement: features.Standby, zonesElement: features.Zones, membershipElement: features.Membership} {
			sections = append(sections, golden.Section{Name: fmt.Sprintf("%s: %s", name, part), Text: golden.FormatValues(values)})
		}
		slices.SortStableFunc(sections[2:], func(a, b golden.Section) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, name := range []string{"standby.xml", "zones.xml", "membership.xml"} {
		b, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		add(name, string(b))
	}
	add("all elements", all)
	add("none but the sections", "<caperlatch><standby/><zones/><membership/></caperlatch>")
	b, err := ReadStandby(filepath.Join("..", "..", "deploy", "standby.xml"))
	if err != nil {
		t.Fatal(err)
	}
	sections = append(sections, golden.Section{Name: "standby.xml, by itself", Text: golden.FormatValues(b)})
	golden.Check(t, "files.golden", sections)
}

// TestDecodingErrors checks the errors for files that cannot be decoded. They name Go types and
// fields, which are so seen outside.
func TestDecodingErrors(t *testing.T) {
	var sections []golden.Section
	for _, c := range []struct{ name, content string }{
		{"no text", "member = 3"},
		{"no number, within", "[params.state]\nrps = \"x\""},
		{"no text, in a list", "[params]\nteams = [{name = 3}]"},
		{"no list", "seeds = 3"},
		{"no TOML", "member = "},
		{"nothing", ""},
	} {
		_, err := Parse([]byte(c.content))
		sections = append(sections, golden.Section{Name: c.name, Text: fmt.Sprint(err)})
	}
	golden.Check(t, "errors.golden", sections)
}
