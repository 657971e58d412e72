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

// marshalTOML returns a value as TOML, in which the fields are named by their tags only.
func marshalTOML(t *testing.T, v any) string {
	t.Helper()
	b, err := toml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(b), "\n")
}

// TestSettingsEncoding checks that settings with every field set are encoded as in the golden file and decoded without
// loss, and that the example file is decoded as in the golden file.
func TestSettingsEncoding(t *testing.T) {
	all := golden.Filled(reflect.TypeFor[Settings]()).Interface().(Settings)
	text := marshalTOML(t, all)
	var decoded Settings
	if err := toml.Unmarshal([]byte(text), &decoded); err != nil || !reflect.DeepEqual(decoded, all) {
		t.Errorf("settings encoded and decoded again: got %+v, error %v; want %+v", decoded, err, all)
	}
	example, err := Read(filepath.Join("..", "..", "deploy", "settings.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "settings.golden", []golden.Section{
		{Name: "all fields", Text: text},
		{Name: "the example", Text: marshalTOML(t, example)},
		{Name: "its values", Text: golden.FormatValues(example)},
	})
}

// TestSettingsTags checks that every field of the settings is named by a tag.
func TestSettingsTags(t *testing.T) {
	golden.CheckTags(t, "toml", golden.TypeOf[Settings]("settings"))
}

// featureSections returns the sections of the XML files, except that of the tuning file.
func featureSections() map[string]section {
	var standby Standby
	var zones zone.Config
	var members membership.Config
	return map[string]section{
		standbyElement:    standbySection(&standby),
		zonesElement:      zonesSection(&zones, &Params{}),
		membershipElement: membershipSection(&members),
	}
}

// TestElementNames checks the names of the elements in the XML files.
func TestElementNames(t *testing.T) {
	sections := featureSections()
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

// XML files and sections that contain every element, each with a distinct value.
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

// elementPaths returns the paths of all elements in an XML file, each with the elements that enclose it.
func elementPaths(t *testing.T, file string) map[string]bool {
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

// TestXMLFiles checks the settings that XML files are parsed to: those in deploy, files with every element, and a file
// with empty sections.
func TestXMLFiles(t *testing.T) {
	example, err := Read(filepath.Join("..", "..", "deploy", "settings.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	all := "<caperlatch>" + allStandby + allMembership + allZones + "</caperlatch>"
	present := elementPaths(t, all)
	for name, s := range featureSections() {
		for f := range s.fields {
			if !present["caperlatch/"+name+"/"+f] {
				t.Errorf("the test file with all elements lacks %s/%s", name, f)
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

// TestDecodingErrors checks the error messages for files that cannot be decoded. The messages contain names of Go
// types and fields, which are therefore visible to operators.
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
