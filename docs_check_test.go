package caperlatch

import (
	"go/parser"
	"go/token"
	"maps"
	"slices"
	"testing"
)

// TestStaleNamesAndUnknownLogLines checks that names and log lines quoted on a page are reported if the source lacks them, and only then.
// The source is that of a small example package.
func TestStaleNamesAndUnknownLogLines(t *testing.T) {
	index := newSourceIndex()
	file, err := parser.ParseFile(token.NewFileSet(), "", `package fleet

import ("log/slog"; "time")

const maxLists = 1

type List struct{ Entries []string; Age time.Duration }

type Source interface{ NextEntry() string }

func (l *List) Split(events Log) {
	slog.Info("list split", "count", 1, "error", maxLists)
	slog.Warn("list too large", "key", "error")
	slog.Error("list "+"lost")
	l.events.Add("machine dropped", "", "id")
	l.set.Add("no line", "", "id")
}

func TestList() {}
`, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	index.addFile(file, true)
	index.addPath("internal/fleet")
	index.addPath("internal/fleet/list.go")

	cases := []struct {
		name, page              string
		wantStale, wantLogLines []string
	}{
		{name: "all exist", page: "`fleet.List`, `fleet.List.Split`, `List.Entries`, `Source.NextEntry`, `maxLists`, `Split`, `TestList`, `TestList/a case`, " +
			"`internal/fleet`, `internal/fleet/`, `internal/fleet/list.go`, `fleet/list.go`, `list.go`, `time.Duration`, `slog.Error`"},
		{name: "not Go names", page: "`value_kb`, `state.next.value_kb`, `useful`, `GET /ready`, `c/u/N`, `settings.toml`, `lease expired`, `--node`, `LOG_LEVEL`, Fleet.Lists, `"},
		{name: "function renamed", page: "`fleet.Lists`", wantStale: []string{"fleet.Lists"}},
		{name: "package renamed", page: "`flotilla.List`", wantStale: []string{"flotilla.List"}},
		{name: "method renamed", page: "`List.Divide` and again `List.Divide`", wantStale: []string{"List.Divide"}},
		{name: "method of a package's type renamed", page: "`fleet.List.Divide`", wantStale: []string{"fleet.List.Divide"}},
		{name: "constant renamed", page: "`maxRunningLists`", wantStale: []string{"maxRunningLists"}},
		{name: "exported name without its package", page: "`Divide`", wantStale: []string{"Divide"}},
		{name: "test renamed", page: "`TestLists`, `TestLists/a case`", wantStale: []string{"TestLists", "TestLists/a case"}},
		{name: "files moved", page: "`lists.go`, `internal/lists/list.go`", wantStale: []string{"lists.go", "internal/lists/list.go"}},
		{name: "package moved", page: "`internal/lists`", wantStale: []string{"internal/lists"}},
		{name: "log lines exist", page: "`msg=\"list split\" count=2 error=EOF`, `msg=\"list too large\" key=c/u/1`, `msg=\"machine dropped\" example_machines=\"i-1\"`"},
		{name: "message renamed", page: "`msg=\"list divided\" count=2`, `msg=divided`, `msg=\"no line\"`", wantLogLines: []string{"list divided", "divided", "no line"}},
		{name: "value taken for a key", page: "`msg=\"list too large\" error=EOF`", wantLogLines: []string{"list too large: error"}},
		{name: "key renamed", page: "`msg=\"list split\" machines=2`", wantLogLines: []string{"list split: machines"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := index.staleNames(c.page); !slices.Equal(got, c.wantStale) {
				t.Errorf("got stale names %q, want %q", got, c.wantStale)
			}
			if got := index.unknownLogLines(c.page); !slices.Equal(got, c.wantLogLines) {
				t.Errorf("got unknown log lines %q, want %q", got, c.wantLogLines)
			}
		})
	}
	// The source of a log line is found by searching for its message, which must therefore be a single string literal.
	// Any other message is listed as "?".
	if got, want := index.warningsAndErrors(), map[string]bool{"warn list too large": true, "error ?": true}; !maps.Equal(got, want) {
		t.Errorf("got warnings and errors %v, want %v", got, want)
	}
}
