package settings

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/golden"
)

// TestUnknownKeys guards against an unknown key that replaces a field from whose name it differs in case only. It checks
// which keys of a settings file are unknown, and that these change nothing.
func TestUnknownKeys(t *testing.T) {
	want, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, line, addition string // the addition follows the line
		unknown              []string
	}{
		{"none in addition", "", "", []string{"colour"}},
		{"a known name in capitals", `colour = "blue"`, `MEMBER = "host-7"`, []string{"MEMBER", "colour"}},
		{"in a table", "[params.state]", "RPS = 1.0\nWrite_rps = 2.0", []string{"colour", "params.state.RPS", "params.state.Write_rps"}},
		{"in a list of tables", `name = "ops"`, `Name = "others"`, []string{"colour", "params.teams.Name"}},
		{"of another type", "[params.cloud]", `Rps = "many"`, []string{"colour", "params.cloud.Rps"}},
		{"a table", `colour = "blue"`, "Params = { zones = 3 }", []string{"Params", "colour"}},
		{"with a letter that folds to k", "[params.workers]", "\"lease_\u017f\" = 1.0", []string{"colour", "params.workers.lease_\u017f"}},
		{"a table that no field is for", `colour = "blue"`, "shades = { light = 3 }", []string{"colour", "shades"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			content := []byte(strings.Replace(validSettings, c.line+"\n", c.line+"\n"+c.addition+"\n", 1))
			var s Settings
			if unknown, err := decodeTOML(content, &s); err != nil || !slices.Equal(unknown, c.unknown) {
				t.Errorf("got unknown keys %v, error %v, want %v", unknown, err, c.unknown)
			}
			if got, err := Parse(content); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, error %v, want %+v", got, err, want)
			}
		})
	}
}

// TestErrorBesideSimilarKey checks the error for a value of the wrong type in a file that also has a key that differs from
// a field's name in case only.
func TestErrorBesideSimilarKey(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validSettings, `member = "host-0"`, "Member = 1\nmember = 2", 1)))
	if err == nil || !strings.Contains(err.Error(), "[member]") || strings.Contains(err.Error(), "line") {
		t.Errorf("got error %v, want one that names the key and no line", err)
	}
}

// TestNoFieldHasUnknownKeys checks that all keys are known of a file in which every field is set.
func TestNoFieldHasUnknownKeys(t *testing.T) {
	content, err := toml.Marshal(golden.Filled(reflect.TypeFor[Settings]()).Interface())
	if err != nil {
		t.Fatal(err)
	}
	if unknown, err := UnknownKeys(content, &Settings{}); err != nil || len(unknown) > 0 {
		t.Errorf("got unknown keys %v, error %v, want none", unknown, err)
	}
}
