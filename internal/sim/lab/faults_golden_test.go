package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/golden"
	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// TestFaultEncodingAndErrorsGolden compares the encoding of a fault with every field set, the faults parsed from the
// example file, and the errors for invalid files with a golden file. Decoding errors contain the Go names of the type
// and its fields, so renaming these would change messages that users see.
func TestFaultEncodingAndErrorsGolden(t *testing.T) {
	b, err := toml.Marshal(golden.Filled(reflect.TypeFor[Fault]()).Interface())
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "faults.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	faults, err := ParseFaults("faults.example.toml", content, 3, []string{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	sections := []golden.Section{
		{Name: "all fields", Text: strings.TrimSuffix(string(b), "\n")},
		{Name: "the example", Text: golden.FormatValues(faults)},
		{Name: "kinds", Text: golden.FormatValues([]Kind{Kill, Terminate, Freeze, StateDown, Silence})},
	}
	for _, c := range []struct{ name, content string }{
		{"no number", "[[fault]]\nat_s = \"x\""},
		{"no list", "fault = 3"},
		{"an unknown field", "[[fault]]\nwhen_s = 3"},
		{"an unknown kind", "[[fault]]\nkind = \"flood\""},
		{"an unknown node", "[[fault]]\nkind = \"kill\"\nfor_s = 1.0\nnode = \"host-9\""},
	} {
		_, err := ParseFaults("faults.toml", []byte(c.content), 3, []string{"a", "b"})
		sections = append(sections, golden.Section{Name: c.name, Text: fmt.Sprint(err)})
	}
	golden.Check(t, "faults.golden", sections)
}

// TestFaultTags checks that every field of a fault is named by a struct tag.
func TestFaultTags(t *testing.T) { golden.CheckTags(t, "toml", golden.TypeOf[Fault]("a fault")) }

// TestSummaryPrintAndErrGolden compares the printed text and the errors of summaries with a golden file.
func TestSummaryPrintAndErrGolden(t *testing.T) {
	var full, empty strings.Builder
	all := golden.Filled(reflect.TypeFor[Summary]()).Interface().(Summary)
	all.Classes[0].Waits = failover.Summary{Median: 1250 * micros.Millisecond, P95: 2500 * micros.Millisecond, Max: 3750 * micros.Millisecond}
	all.Classes[0].Runtimes = failover.Summary{Count: 9, Median: 4 * micros.Second, P95: 5 * micros.Second, Max: 6 * micros.Second}
	all.Print(&full)
	new(Summary).Print(&empty)
	golden.Check(t, "summary.golden", []golden.Section{
		{Name: "with all", Text: strings.TrimSuffix(full.String(), "\n")},
		{Name: "with nothing", Text: strings.TrimSuffix(empty.String(), "\n")},
		{Name: "what was wrong", Text: fmt.Sprint(all.Err())},
		{Name: "what was open", Text: fmt.Sprint((&Summary{Seed: all.Seed, OpenJobs: all.OpenJobs}).Err())},
	})
}
