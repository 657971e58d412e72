package caperlatch

import (
	"go/parser"
	"go/token"
	"maps"
	"slices"
	"testing"
)

// TestDocsCheck has a small module and a page of it that names what is there and what is not.
func TestDocsCheck(t *testing.T) {
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
		name, page   string
		stale, lines []string
	}{
		{name: "all there", page: "`fleet.List`, `fleet.List.Split`, `List.Entries`, `Source.NextEntry`, `maxLists`, `Split`, `TestList`, `TestList/a case`, " +
			"`internal/fleet`, `internal/fleet/`, `internal/fleet/list.go`, `fleet/list.go`, `list.go`, `time.Duration`, `slog.Error`"},
		{name: "no names of Go", page: "`value_kb`, `state.next.value_kb`, `useful`, `GET /ready`, `c/u/N`, `settings.toml`, `lease expired`, `--node`, `LOG_LEVEL`, Fleet.Lists, `"},
		{name: "function renamed", page: "`fleet.Lists`", stale: []string{"fleet.Lists"}},
		{name: "package renamed", page: "`flotilla.List`", stale: []string{"flotilla.List"}},
		{name: "method renamed", page: "`List.Divide` and again `List.Divide`", stale: []string{"List.Divide"}},
		{name: "method of a package's type renamed", page: "`fleet.List.Divide`", stale: []string{"fleet.List.Divide"}},
		{name: "constant renamed", page: "`maxRunningLists`", stale: []string{"maxRunningLists"}},
		{name: "exported name without its package", page: "`Divide`", stale: []string{"Divide"}},
		{name: "test renamed", page: "`TestLists`, `TestLists/a case`", stale: []string{"TestLists", "TestLists/a case"}},
		{name: "files moved", page: "`lists.go`, `internal/lists/list.go`", stale: []string{"lists.go", "internal/lists/list.go"}},
		{name: "package moved", page: "`internal/lists`", stale: []string{"internal/lists"}},
		{name: "log lines", page: "`msg=\"list split\" count=2 error=EOF`, `msg=\"list too large\" key=c/u/1`, `msg=\"machine dropped\" example_machines=\"i-1\"`"},
		{name: "message renamed", page: "`msg=\"list divided\" count=2`, `msg=divided`, `msg=\"no line\"`", lines: []string{"list divided", "divided", "no line"}},
		{name: "value taken for a key", page: "`msg=\"list too large\" error=EOF`", lines: []string{"list too large: error"}},
		{name: "key renamed", page: "`msg=\"list split\" machines=2`", lines: []string{"list split: machines"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := index.staleNames(c.page); !slices.Equal(got, c.stale) {
				t.Errorf("stale names %q, want %q", got, c.stale)
			}
			if got := index.unknownLogLines(c.page); !slices.Equal(got, c.lines) {
				t.Errorf("unknown log lines %q, want %q", got, c.lines)
			}
		})
	}
	// A message that is no plain literal could not be found by whoever reads the line: it is listed as it stands.
	if got, want := index.warnings(), map[string]bool{"warn list too large": true, "error ?": true}; !maps.Equal(got, want) {
		t.Errorf("warnings %v, want %v", got, want)
	}
}
