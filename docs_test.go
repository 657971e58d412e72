package caperlatch

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	quotedText  = regexp.MustCompile("`([^`\n]+)`")
	goFile      = regexp.MustCompile(`^[\w./-]+\.go$`)
	packagePath = regexp.MustCompile(`^(internal|cmd)/[\w/.-]+$`)
	testName    = regexp.MustCompile(`^(Test[A-Z]\w*)(/.*)?$`)
	// Qualified by a package or a type, or a name by its case: keys of settings are neither.
	goName = regexp.MustCompile(`^([a-z]\w*\.[A-Z]\w*(\.\w+)?|[A-Z]\w*\.[A-Za-z]\w*|[a-z]+[A-Z][A-Za-z]*|[A-Z][a-z]+[A-Za-z]*)$`)
	// What a page says of a log line: its message, and some of its keys with values.
	logLine = regexp.MustCompile("`msg=(\"[^\"]+\"|[^\\s`]+)([^`]*)`")
	logKey  = regexp.MustCompile(`(\w+)=`)
	// A row of the table of messages of operations.md.
	levelRow = regexp.MustCompile("(?m)^\\| (warn|error) \\| `msg=(\"[^\"]+\"|[^\\s`]+)[^`]*` \\|")
)

// staleNames are the Go names, tests, files and packages that a page quotes and the module lacks.
func (x *sourceIndex) staleNames(page string) (stale []string) {
	for _, match := range quotedText.FindAllStringSubmatch(page, -1) {
		name, known := match[1], true
		qualifier, _, _ := strings.Cut(name, ".")
		if test := testName.FindStringSubmatch(name); test != nil {
			known = x.names[test[1]]
		} else if goFile.MatchString(name) || packagePath.MatchString(name) {
			known = x.paths[strings.Trim(name, "/")]
		} else if goName.MatchString(name) && !x.packages[qualifier] {
			known = x.names[name]
		}
		if !known && !slices.Contains(stale, name) {
			stale = append(stale, name)
		}
	}
	return stale
}

// unknownLogLines are the log lines that a page quotes and the running program does not write:
// messages that it lacks, and keys that no line of the message has.
func (x *sourceIndex) unknownLogLines(page string) (unknown []string) {
	lines := x.logLines()
	for _, match := range logLine.FindAllStringSubmatch(page, -1) {
		message := strings.Trim(match[1], `"`)
		keys, ok := lines[message]
		if !ok {
			unknown = append(unknown, message)
		}
		for _, key := range logKey.FindAllStringSubmatch(match[2], -1) {
			if ok && !keys[key[1]] {
				unknown = append(unknown, message+": "+key[1])
			}
		}
	}
	return unknown
}

// readPages returns the pages of docs/ that match a pattern, by their file names.
func readPages(t *testing.T, pattern string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("docs", pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("no pages like %s: %v", pattern, err)
	}
	pages := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		pages[filepath.Base(file)] = string(text)
	}
	return pages
}

// TestDocs finds on the pages what the code no longer has. Pages of what was measured, seen and asked
// at some time may have names of then.
func TestDocs(t *testing.T) {
	index := indexSources(t)
	for file, page := range readPages(t, "*.md") {
		if file == "results.md" || file == "questions.md" {
			continue
		}
		for _, name := range index.staleNames(page) {
			t.Errorf("docs/%s names `%s`, which does not exist", file, name)
		}
		for _, line := range index.unknownLogLines(page) {
			t.Errorf("docs/%s quotes the log line %q, which nothing writes", file, line)
		}
	}
	listed := map[string]bool{}
	for _, row := range levelRow.FindAllStringSubmatch(readPages(t, "operations.md")["operations.md"], -1) {
		listed[row[1]+" "+strings.Trim(row[2], `"`)] = true
	}
	if written := index.warnings(); !maps.Equal(listed, written) {
		t.Errorf("docs/operations.md explains %q, the program writes %q", slices.Sorted(maps.Keys(listed)), slices.Sorted(maps.Keys(written)))
	}
}
