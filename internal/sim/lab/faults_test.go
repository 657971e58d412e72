package lab

import (
	"errors"
	"os"
	"testing"
)

// TestParseFaults checks that valid fault files are parsed, and that errors name the line and the invalid field.
func TestParseFaults(t *testing.T) {
	example, err := os.ReadFile("../../../deploy/faults.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	const kill = "[[fault]]\nat_s = 1.0\nfor_s = 1.0\nkind = \"kill\"\nnode = \"leader\"\n"
	cases := []struct {
		name, text string
		faults     int
		line       int
		field      string
	}{
		{"example file", string(example), 4, 0, ""},
		{"empty file", "", 0, 0, ""},
		{"two faults", kill + kill, 2, 0, ""},
		{"syntax error", kill + "[[fault]\n", 0, 6, ""},
		{"field of wrong type", "[[fault]]\nat_s = \"soon\"\n", 0, 2, "fault.at_s"},
		{"unknown field", kill + "\nwhen = 3\n", 0, 7, "fault.when"},
		{"field in other capitals", kill + "\nFor_s = 3.0\n", 0, 7, "fault.For_s"},
		{"field in capitals, quoted", "[[fault]]\n\"KIND\" = \"kill\"\n", 0, 2, "fault.KIND"},
		{"unknown kind", kill + "[[fault]]\nkind = \"explode\"\nat_s = 1\n", 0, 7, "kind"},
		{"missing kind", kill + "[[fault]]\nat_s = 1\n", 0, 6, "kind"},
		{"negative start time", "[[fault]]\nkind = \"state_down\"\nfor_s = 1.0\nat_s = -1.0", 0, 4, "at_s"},
		{"duration is not a number", "[[fault]]\nkind = \"state_down\"\nfor_s = nan", 0, 3, "for_s"},
		{"missing duration", "[[fault]]\nkind = \"state_down\"\n", 0, 1, "for_s"},
		{"unknown node", "[[fault]]\nkind = \"freeze\"\nfor_s = 1.0\nnode = \"host-3\"", 0, 4, "node"},
		{"missing node", "[[fault]]\nkind = \"freeze\"\nfor_s = 1.0\n", 0, 1, "node"},
		{"node set for a fault of the state service", "[[fault]]\nkind = \"state_down\"\nnode = \"host-0\"\nfor_s = 1.0", 0, 3, "node"},
		{"zone set for a fault of a node", kill + "zone = \"a\"", 0, 6, "zone"},
		{"unknown zone", "[[fault]]\nkind = \"silence\"\nfor_s = 1.0\nzone = \"c\"", 0, 4, "zone"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults, err := ParseFaults("f.toml", []byte(c.text), 3, []string{"a", "b"})
			var faultError *FaultError
			switch {
			case c.line == 0:
				if err != nil || len(faults) != c.faults {
					t.Errorf("got %d faults and error %v, want %d faults", len(faults), err, c.faults)
				}
			case !errors.As(err, &faultError) || faultError.File != "f.toml" || faultError.Line != c.line || faultError.Field != c.field:
				t.Errorf("got error %v, want one for line %d and field %s", err, c.line, c.field)
			}
		})
	}
}
