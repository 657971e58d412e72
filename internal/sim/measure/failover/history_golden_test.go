package failover

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"

	"caperlatch/internal/golden"
)

// TestHistoryFileGolden compares the schema and the contents of a history file with a golden file, and checks that the
// file is read back without loss. The schema is named after the Go type, so renaming the type would change the file.
func TestHistoryFileGolden(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.parquet")
	change := golden.Filled(reflect.TypeFor[Change]()).Interface().(Change)
	if err := Write(path, []Change{change}); err != nil {
		t.Fatal(err)
	}
	if read, err := Read(path); err != nil || len(read) != 1 || read[0] != change {
		t.Errorf("read %+v with error %v, want %+v", read, err, change)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		t.Fatal(err)
	}
	file, err := parquet.OpenFile(f, info.Size())
	if err != nil {
		t.Fatal(err)
	}
	var rows strings.Builder
	for _, group := range file.RowGroups() {
		reader := group.Rows()
		buffer := make([]parquet.Row, 2)
		n, _ := reader.ReadRows(buffer)
		for _, row := range buffer[:n] {
			for _, value := range row {
				fmt.Fprintln(&rows, file.Schema().Columns()[value.Column()][0], value)
			}
		}
		if err := reader.Close(); err != nil {
			t.Error(err)
		}
	}
	golden.Check(t, "history.golden", []golden.Section{
		{Name: "schema", Text: file.Schema().String()},
		{Name: "a row", Text: strings.TrimSuffix(rows.String(), "\n")},
		{Name: "causes", Text: golden.FormatValues([]Cause{Killed, Frozen, Planned})},
		{Name: "modes", Text: golden.FormatValues([]Mode{Cold, Warm})},
		{Name: "what did not happen", Text: golden.FormatValues(Missing)},
	})
}

// TestHistoryTags checks that every column is named by a struct tag.
func TestHistoryTags(t *testing.T) {
	golden.CheckTags(t, "parquet", golden.TypeOf[Change]("a failover"))
}
