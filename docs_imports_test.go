package caperlatch

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// importRule is what a row of docs/architecture.md lets a package import of this module.
type importRule struct {
	all    bool     // all but those listed, else those listed
	listed []string // packages, with all below them
	ofPart bool     // of a package below internal/leader: lists only others of these
}

// Rows of the two tables of packages: their packages, what these own, what they may import.
var (
	packageRow  = regexp.MustCompile("(?m)^\\| (`[^|]*) \\|[^|]*\\|([^|]*)\\|$")
	packageName = regexp.MustCompile("`([a-z/]+)`")
)

// importRules reads the rows of the page's tables of packages, by package.
func importRules(page string) map[string]importRule {
	rules := map[string]importRule{}
	_, tables, _ := strings.Cut(page, "## Packages")
	tables, _, _ = strings.Cut(tables, "## State")
	for _, row := range packageRow.FindAllStringSubmatch(tables, -1) {
		rule := importRule{all: strings.Contains(row[2], "all but")}
		for _, name := range packageName.FindAllStringSubmatch(row[2], -1) {
			rule.listed = append(rule.listed, name[1])
		}
		for _, name := range packageName.FindAllStringSubmatch(row[1], -1) {
			rule.ofPart = strings.HasPrefix(name[1], "internal/leader/")
			rules[name[1]] = rule
		}
	}
	return rules
}

// allows reports whether the rule lets its package import another one.
func (r importRule) allows(imported string) bool {
	isListed := slices.ContainsFunc(r.listed, func(name string) bool {
		return imported == name || strings.HasPrefix(imported, name+"/")
	})
	return isListed != r.all
}

// forbiddenImports lists what a package imports against the rules; the first element is the package itself if it has
// no rule.
func forbiddenImports(rules map[string]importRule, name string, imports []string) (forbidden []string) {
	key := name
	if strings.HasPrefix(name, "internal/sim/") {
		key = "internal/sim"
	}
	rule, ok := rules[key]
	if !ok {
		return []string{name}
	}
	for _, imported := range imports {
		allowed := rule.allows(imported)
		if rule.ofPart && !strings.HasPrefix(imported, "internal/leader") {
			allowed = rules["internal/leader"].allows(imported)
		}
		if !allowed {
			forbidden = append(forbidden, imported)
		}
	}
	return forbidden
}

// moduleImports finds what each package of the module imports of the module, without its tests.
func moduleImports(t *testing.T) map[string][]string {
	t.Helper()
	imports := map[string][]string{}
	for _, pattern := range []string{"*.go", "*/*.go", "*/*/*.go", "*/*/*/*.go", "*/*/*/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "target/") || strings.Contains(path, "testdata") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			name := filepath.Dir(path)
			if name == "." {
				name = "caperlatch"
			}
			for _, spec := range file.Imports {
				imported := strings.Trim(spec.Path.Value, `"`)
				if rest, ok := strings.CutPrefix(imported, "caperlatch/"); ok {
					imported = rest
				} else if imported != "caperlatch" {
					continue
				}
				imports[name] = append(imports[name], imported)
			}
		}
	}
	return imports
}

// TestImports holds the packages to the rows of docs/architecture.md.
func TestImports(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	rules := importRules(string(page))
	imports := moduleImports(t)
	if len(rules) < 25 || len(imports) < len(rules) {
		t.Fatalf("%d rules for %d packages", len(rules), len(imports))
	}
	for name, imported := range imports {
		if forbidden := forbiddenImports(rules, name, imported); len(forbidden) > 0 {
			t.Errorf("%s imports %q, which docs/architecture.md does not list", name, forbidden)
		}
	}
}

// TestImportRules has packages import what a page allows and what it does not.
func TestImportRules(t *testing.T) {
	rules := importRules("## Packages\n" +
		"| package | owns | may import |\n| --- | --- | --- |\n" +
		"| `cmd/x` | the program | all but `internal/leader` |\n" +
		"| `internal/wire`, `internal/micros` | messages | |\n" +
		"| `internal/peer` | connections | `internal/wire` |\n" +
		"| `internal/leader` | the term | all but `internal/peer` |\n" +
		"| `internal/leader/fleet` | machines | `internal/leader/state` |\n" +
		"## State\n| `internal/late` | | `internal/wire` |\n")
	for _, c := range []struct {
		name, of  string
		imports   []string
		forbidden []string
	}{
		{"all but one", "cmd/x", []string{"internal/peer", "internal/wire"}, nil},
		{"the one", "cmd/x", []string{"internal/leader"}, []string{"internal/leader"}},
		{"below the one", "cmd/x", []string{"internal/leader/fleet"}, []string{"internal/leader/fleet"}},
		{"nothing", "internal/micros", []string{"internal/wire"}, []string{"internal/wire"}},
		{"what is listed", "internal/peer", []string{"internal/wire", "internal/leader"}, []string{"internal/leader"}},
		{"a part of the leader", "internal/leader/fleet", []string{"internal/leader/state", "internal/wire"}, nil},
		{"another part", "internal/leader/fleet", []string{"internal/leader/gangs"}, []string{"internal/leader/gangs"}},
		{"the leader itself", "internal/leader/fleet", []string{"internal/leader"}, []string{"internal/leader"}},
		{"what the leader may not", "internal/leader/fleet", []string{"internal/peer"}, []string{"internal/peer"}},
		{"a package without a row", "internal/late", nil, []string{"internal/late"}},
	} {
		if got := forbiddenImports(rules, c.of, c.imports); !slices.Equal(got, c.forbidden) {
			t.Errorf("%s: %q are forbidden, want %q", c.name, got, c.forbidden)
		}
	}
}
