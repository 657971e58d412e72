package caperlatch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// sourceIndex holds what pages may name of the module's Go files.
type sourceIndex struct {
	names    map[string]bool // declared: Name, package.Name, Type.Member, package.Type.Member
	packages map[string]bool // imported from elsewhere, by the last part of their path
	paths    map[string]bool // directories and .go files, by each suffix of their path
	calls    []*ast.CallExpr // of the running program: not of tests or the simulator
}

func newSourceIndex() *sourceIndex {
	return &sourceIndex{names: map[string]bool{}, packages: map[string]bool{}, paths: map[string]bool{}}
}

// indexSources parses the Go files below the module's root.
func indexSources(t *testing.T) *sourceIndex {
	t.Helper()
	index := newSourceIndex()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || path == "." {
			return err
		}
		if entry.IsDir() && (path == "target" || path == "journal" || strings.HasPrefix(path, ".")) {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) == ".go" {
			index.addPath(path)
		}
		if filepath.Ext(path) != ".go" || strings.Contains(path, "testdata/") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		index.addFile(file, !strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(path, "internal/sim/"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// addPath adds a directory or file by each suffix of its path.
func (x *sourceIndex) addPath(path string) {
	for rest, found := path, true; found; _, rest, found = strings.Cut(rest, "/") {
		x.paths[rest] = true
	}
}

// addFile adds the declarations of a file, and its calls if it is of the running program.
func (x *sourceIndex) addFile(file *ast.File, running bool) {
	add := func(typeName, name string) {
		for _, qualified := range []string{name, typeName + "." + name} {
			x.names[qualified], x.names[file.Name.Name+"."+qualified] = true, true
		}
	}
	for _, spec := range file.Imports {
		if path := strings.Trim(spec.Path.Value, `"`); !strings.HasPrefix(path, "caperlatch") {
			x.packages[path[strings.LastIndex(path, "/")+1:]] = true
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			receiver := ""
			if n.Recv != nil {
				receiver = strings.Trim(baseName(n.Recv.List[0].Type), "*")
			}
			add(receiver, n.Name.Name)
		case *ast.ValueSpec:
			for _, name := range n.Names {
				add("", name.Name)
			}
		case *ast.TypeSpec:
			add("", n.Name.Name)
			ast.Inspect(n.Type, func(part ast.Node) bool {
				if field, ok := part.(*ast.Field); ok {
					for _, name := range field.Names {
						add(n.Name.Name, name.Name)
					}
				}
				return true
			})
		case *ast.CallExpr:
			if running {
				x.calls = append(x.calls, n)
			}
		}
		return true
	})
}

// baseName is the name of a receiver's type.
func baseName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return baseName(e.X)
	case *ast.IndexExpr:
		return baseName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// logCall finds the level and the message of a call that logs: level is empty if it does not, and a message that is
// no literal is "?".
func logCall(call *ast.CallExpr) (level, message string) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", ""
	}
	switch of := method.X.(type) {
	case *ast.Ident:
		if of.Name == "slog" {
			level = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}[method.Sel.Name]
		}
	case *ast.SelectorExpr:
		if strings.EqualFold(of.Sel.Name, "events") && method.Sel.Name == "Add" {
			level = "info" // of eventlog.Log, a line a second
		}
	}
	if message, ok = literal(call.Args[0]); !ok {
		message = "?"
	}
	return level, message
}

// literal is the value of a string literal.
func literal(expr ast.Expr) (text string, ok bool) {
	if basic, isBasic := expr.(*ast.BasicLit); isBasic && basic.Kind == token.STRING {
		text, err := strconv.Unquote(basic.Value)
		return text, err == nil
	}
	return "", false
}

// logLines are the messages that the running program logs, with the keys of each.
func (x *sourceIndex) logLines() map[string]map[string]bool {
	lines := map[string]map[string]bool{}
	for _, call := range x.calls {
		level, message := logCall(call)
		if level == "" {
			continue
		}
		keys := lines[message]
		if keys == nil {
			keys = map[string]bool{}
			lines[message] = keys
		}
		if method := call.Fun.(*ast.SelectorExpr); method.Sel.Name == "Add" {
			keys["count"], keys["example_machines"], keys["reason"] = true, true, true
			continue
		}
		for i := 1; i < len(call.Args); i += 2 {
			if key, ok := literal(call.Args[i]); ok {
				keys[key] = true
			}
		}
	}
	return lines
}

// warnings are the messages of the levels warn and error, after their level.
func (x *sourceIndex) warnings() map[string]bool {
	messages := map[string]bool{}
	for _, call := range x.calls {
		if level, message := logCall(call); level == "warn" || level == "error" {
			messages[level+" "+message] = true
		}
	}
	return messages
}
