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
	codeSpan    = regexp.MustCompile("`([^`\n]+)`")
	goFilePath  = regexp.MustCompile(`^[\w./-]+\.go$`)
	packagePath = regexp.MustCompile(`^(internal|cmd)/[\w/.-]+$`)
	testName    = regexp.MustCompile(`^(Test[A-Z]\w*)(/.*)?$`)
	// A name qualified by a package or type, or one recognizable as a Go name by its capital letters. Keys of settings
	// match neither form.
	goName = regexp.MustCompile(`^([a-z]\w*\.[A-Z]\w*(\.\w+)?|[A-Z]\w*\.[A-Za-z]\w*|[a-z]+[A-Z][A-Za-z]*|[A-Z][a-z]+[A-Za-z]*)$`)
	// A log line as a page quotes it: its message, and some of its attributes.
	quotedLogLine = regexp.MustCompile("`msg=(\"[^\"]+\"|[^\\s`]+)([^`]*)`")
	logKey        = regexp.MustCompile(`(\w+)=`)
	// A row of the table of warnings and errors in docs/operations.md.
	messageTableRow = regexp.MustCompile("(?m)^\\| (warn|error) \\| `msg=(\"[^\"]+\"|[^\\s`]+)[^`]*` \\|")
)

// staleNames returns the Go names, tests, files and packages that a page quotes but that do not exist in the module.
func (x *sourceIndex) staleNames(page string) (stale []string) {
	for _, match := range codeSpan.FindAllStringSubmatch(page, -1) {
		name, known := match[1], true
		qualifier, _, _ := strings.Cut(name, ".")
		if test := testName.FindStringSubmatch(name); test != nil {
			known = x.names[test[1]]
		} else if goFilePath.MatchString(name) || packagePath.MatchString(name) {
			known = x.paths[strings.Trim(name, "/")]
		} else if goName.MatchString(name) && !x.importedPackages[qualifier] {
			known = x.names[name]
		}
		if !known && !slices.Contains(stale, name) {
			stale = append(stale, name)
		}
	}
	return stale
}

// unknownLogLines returns the parts of the log lines quoted on a page that the program never writes. An unknown message
// is returned as such, an unknown key of a known message as "message: key".
func (x *sourceIndex) unknownLogLines(page string) (unknown []string) {
	keysByMessage := x.logMessageKeys()
	for _, match := range quotedLogLine.FindAllStringSubmatch(page, -1) {
		message := strings.Trim(match[1], `"`)
		keys, ok := keysByMessage[message]
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

// readPages returns the contents of the pages in docs/ that match a pattern, by file name.
func readPages(t *testing.T, pattern string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("docs", pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("no pages match docs/%s (error: %v)", pattern, err)
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

// TestDocs checks that the pages in docs/ name only code, files and log lines that exist, and that docs/operations.md
// explains exactly the warnings and errors that the program logs. results.md and questions.md are exempt from the check
// of names: they record past measurements, observations and questions, and may use the names of that time.
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
			t.Errorf("docs/%s quotes the log line %q, which the program does not write", file, line)
		}
	}
	documented := map[string]bool{}
	for _, row := range messageTableRow.FindAllStringSubmatch(readPages(t, "operations.md")["operations.md"], -1) {
		documented[row[1]+" "+strings.Trim(row[2], `"`)] = true
	}
	if logged := index.warningsAndErrors(); !maps.Equal(documented, logged) {
		t.Errorf("docs/operations.md explains the messages %q, want those that the program logs: %q", slices.Sorted(maps.Keys(documented)), slices.Sorted(maps.Keys(logged)))
	}
}
