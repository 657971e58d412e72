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

// sourceIndex holds the names, paths and log calls of the module's source that documentation pages may refer to.
type sourceIndex struct {
	names            map[string]bool // declared names, as Name, package.Name, Type.Member and package.Type.Member
	importedPackages map[string]bool // packages imported from outside the module, by the last element of their path
	paths            map[string]bool // paths of directories and .go files, and each suffix that begins at a path element
	calls            []*ast.CallExpr // all calls in the program, which excludes its tests and the simulator
}

func newSourceIndex() *sourceIndex {
	return &sourceIndex{names: map[string]bool{}, importedPackages: map[string]bool{}, paths: map[string]bool{}}
}

// indexSources indexes the Go files and directories below the root of the module.
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

// addPath adds the path of a directory or file, and each suffix that begins at a path element.
func (x *sourceIndex) addPath(path string) {
	for rest, found := path, true; found; _, rest, found = strings.Cut(rest, "/") {
		x.paths[rest] = true
	}
}

// addFile adds the imported packages and the declared names of a file, and its calls if collectCalls is set.
func (x *sourceIndex) addFile(file *ast.File, collectCalls bool) {
	add := func(typeName, name string) {
		for _, qualified := range []string{name, typeName + "." + name} {
			x.names[qualified], x.names[file.Name.Name+"."+qualified] = true, true
		}
	}
	for _, spec := range file.Imports {
		if path := strings.Trim(spec.Path.Value, `"`); !strings.HasPrefix(path, "caperlatch") {
			x.importedPackages[path[strings.LastIndex(path, "/")+1:]] = true
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			receiver := ""
			if n.Recv != nil {
				receiver = strings.Trim(receiverTypeName(n.Recv.List[0].Type), "*")
			}
			add(receiver, n.Name.Name)
		case *ast.ValueSpec:
			for _, name := range n.Names {
				add("", name.Name)
			}
		case *ast.TypeSpec:
			add("", n.Name.Name)
			ast.Inspect(n.Type, func(child ast.Node) bool {
				if field, ok := child.(*ast.Field); ok {
					for _, name := range field.Names {
						add(n.Name.Name, name.Name)
					}
				}
				return true
			})
		case *ast.CallExpr:
			if collectCalls {
				x.calls = append(x.calls, n)
			}
		}
		return true
	})
}

// receiverTypeName returns the name of a method receiver's type without pointer and type parameter, or "" if the
// expression has another form.
func receiverTypeName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return receiverTypeName(e.X)
	case *ast.IndexExpr:
		return receiverTypeName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// logCall returns the level and message of a call that logs. The level is empty if the call does not log, and the
// message is "?" if it is not a string literal.
func logCall(call *ast.CallExpr) (level, message string) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", ""
	}
	switch receiver := method.X.(type) {
	case *ast.Ident:
		if receiver.Name == "slog" {
			level = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}[method.Sel.Name]
		}
	case *ast.SelectorExpr:
		if strings.EqualFold(receiver.Sel.Name, "events") && method.Sel.Name == "Add" {
			level = "info" // eventlog.Log, which aggregates events into one log line per second
		}
	}
	if message, ok = stringLiteral(call.Args[0]); !ok {
		message = "?"
	}
	return level, message
}

// stringLiteral returns the value of a string literal; ok is false if the expression is not one.
func stringLiteral(expr ast.Expr) (text string, ok bool) {
	if basic, isBasic := expr.(*ast.BasicLit); isBasic && basic.Kind == token.STRING {
		text, err := strconv.Unquote(basic.Value)
		return text, err == nil
	}
	return "", false
}

// logMessageKeys returns the attribute keys that the program logs with each message, by message.
func (x *sourceIndex) logMessageKeys() map[string]map[string]bool {
	keysByMessage := map[string]map[string]bool{}
	for _, call := range x.calls {
		level, message := logCall(call)
		if level == "" {
			continue
		}
		keys := keysByMessage[message]
		if keys == nil {
			keys = map[string]bool{}
			keysByMessage[message] = keys
		}
		if method := call.Fun.(*ast.SelectorExpr); method.Sel.Name == "Add" {
			keys["count"], keys["example_machines"], keys["reason"] = true, true, true
			continue
		}
		for i := 1; i < len(call.Args); i += 2 {
			if key, ok := stringLiteral(call.Args[i]); ok {
				keys[key] = true
			}
		}
	}
	return keysByMessage
}

// warningsAndErrors returns the set of messages that the program logs at level warn or error, each as "level message".
func (x *sourceIndex) warningsAndErrors() map[string]bool {
	messages := map[string]bool{}
	for _, call := range x.calls {
		if level, message := logCall(call); level == "warn" || level == "error" {
			messages[level+" "+message] = true
		}
	}
	return messages
}
