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

// importRule states which packages of this module a package may import, as read from a row of docs/architecture.md.
type importRule struct {
	allButListed       bool     // all packages except the listed ones are allowed; otherwise only the listed ones
	listed             []string // packages, each including its subpackages
	isLeaderSubpackage bool     // the rule is that of a subpackage of internal/leader, and applies only to imports from internal/leader
}

// A row of the two tables of packages (columns: packages, what they own, what they may import), and a package in it.
var (
	packageTableRow = regexp.MustCompile("(?m)^\\| (`[^|]*) \\|[^|]*\\|([^|]*)\\|$")
	quotedPackage   = regexp.MustCompile("`([a-z/]+)`")
)

// importRules parses the two tables of packages on the page and returns the rule of each package.
func importRules(page string) map[string]importRule {
	rules := map[string]importRule{}
	_, tables, _ := strings.Cut(page, "## Packages")
	tables, _, _ = strings.Cut(tables, "## State")
	for _, row := range packageTableRow.FindAllStringSubmatch(tables, -1) {
		rule := importRule{allButListed: strings.Contains(row[2], "all but")}
		for _, name := range quotedPackage.FindAllStringSubmatch(row[2], -1) {
			rule.listed = append(rule.listed, name[1])
		}
		for _, name := range quotedPackage.FindAllStringSubmatch(row[1], -1) {
			rule.isLeaderSubpackage = strings.HasPrefix(name[1], "internal/leader/")
			rules[name[1]] = rule
		}
	}
	return rules
}

// allows reports whether the list of the rule permits the import of a package.
func (r importRule) allows(imported string) bool {
	isListed := slices.ContainsFunc(r.listed, func(name string) bool {
		return imported == name || strings.HasPrefix(imported, name+"/")
	})
	return isListed != r.allButListed
}

// forbiddenImports returns the imports of a package that the rules do not allow. Packages below internal/sim follow the
// rule of internal/sim. A subpackage of internal/leader follows its own rule for imports from internal/leader, and the
// rule of internal/leader for all others. For a package without a rule, the result is the package itself.
func forbiddenImports(rules map[string]importRule, importer string, imports []string) (forbidden []string) {
	ruleName := importer
	if strings.HasPrefix(importer, "internal/sim/") {
		ruleName = "internal/sim"
	}
	rule, found := rules[ruleName]
	if !found {
		return []string{importer}
	}
	for _, imported := range imports {
		allowed := rule.allows(imported)
		if rule.isLeaderSubpackage && !strings.HasPrefix(imported, "internal/leader") {
			allowed = rules["internal/leader"].allows(imported)
		}
		if !allowed {
			forbidden = append(forbidden, imported)
		}
	}
	return forbidden
}

// moduleImports returns, for each package of the module, the module's packages that it imports outside its tests.
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

// TestImportsFollowArchitecture checks that each package imports only what docs/architecture.md allows.
func TestImportsFollowArchitecture(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	rules := importRules(string(page))
	imports := moduleImports(t)
	if len(rules) < 25 || len(imports) < len(rules) {
		t.Fatalf("got %d import rules for %d packages, want at least 25 rules and no fewer packages than rules", len(rules), len(imports))
	}
	for name, imported := range imports {
		if forbidden := forbiddenImports(rules, name, imported); len(forbidden) > 0 {
			t.Errorf("%s imports %q, which docs/architecture.md does not allow", name, forbidden)
		}
	}
}

// TestForbiddenImports checks that exactly the imports that break a rule are reported, and that a package without a
// rule is reported itself.
func TestForbiddenImports(t *testing.T) {
	rules := importRules("## Packages\n" +
		"| package | owns | may import |\n| --- | --- | --- |\n" +
		"| `cmd/x` | the program | all but `internal/leader` |\n" +
		"| `internal/wire`, `internal/micros` | messages | |\n" +
		"| `internal/peer` | connections | `internal/wire` |\n" +
		"| `internal/leader` | the term | all but `internal/peer` |\n" +
		"| `internal/leader/fleet` | machines | `internal/leader/state` |\n" +
		"## State\n| `internal/late` | | `internal/wire` |\n")
	for _, c := range []struct {
		name, importer string
		imports        []string
		forbidden      []string
	}{
		{"all but one allowed", "cmd/x", []string{"internal/peer", "internal/wire"}, nil},
		{"excepted package", "cmd/x", []string{"internal/leader"}, []string{"internal/leader"}},
		{"subpackage of the excepted package", "cmd/x", []string{"internal/leader/fleet"}, []string{"internal/leader/fleet"}},
		{"nothing allowed", "internal/micros", []string{"internal/wire"}, []string{"internal/wire"}},
		{"listed and unlisted package", "internal/peer", []string{"internal/wire", "internal/leader"}, []string{"internal/leader"}},
		{"leader subpackage: listed sibling and import allowed to the leader", "internal/leader/fleet", []string{"internal/leader/state", "internal/wire"}, nil},
		{"leader subpackage: unlisted sibling", "internal/leader/fleet", []string{"internal/leader/gangs"}, []string{"internal/leader/gangs"}},
		{"leader subpackage: leader itself", "internal/leader/fleet", []string{"internal/leader"}, []string{"internal/leader"}},
		{"leader subpackage: import forbidden to the leader", "internal/leader/fleet", []string{"internal/peer"}, []string{"internal/peer"}},
		{"package without a rule", "internal/late", nil, []string{"internal/late"}},
	} {
		if got := forbiddenImports(rules, c.importer, c.imports); !slices.Equal(got, c.forbidden) {
			t.Errorf("%s: got forbidden imports %q, want %q", c.name, got, c.forbidden)
		}
	}
}
