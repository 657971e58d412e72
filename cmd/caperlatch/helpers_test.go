package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"caperlatch/internal/wire"
)

// execute runs a command of the program. It must say something, or fail with an error that does.
func execute(t *testing.T, says []string, wrong string, args ...string) {
	t.Helper()
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	if (err != nil) != (wrong != "") || err != nil && !strings.Contains(err.Error(), wrong) {
		t.Errorf("error %v, want %q", err, wrong)
	}
	for _, want := range says {
		if !strings.Contains(out.String(), want) {
			t.Errorf("it does not say %q:\n%s", want, out.String())
		}
	}
}

// answering is the address of a node that answers one kind of request.
func answering(t *testing.T, pattern string, answer func() (code int, body any)) (address string) {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		code, body := answer()
		b, err := wire.Marshal(body)
		w.WriteHeader(code)
		if _, wrote := w.Write(b); err != nil || wrote != nil {
			t.Error(err, wrote)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// writeFile writes a file into a folder of the test's.
func writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}
