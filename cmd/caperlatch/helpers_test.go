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

// checkCommandOutput runs a command of the program, which must print all of wantOutput and, unless
// wantError is empty, fail with an error that holds it.
func checkCommandOutput(t *testing.T, wantOutput []string, wantError string, args ...string) {
	t.Helper()
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	if (err != nil) != (wantError != "") || err != nil && !strings.Contains(err.Error(), wantError) {
		t.Errorf("error %v, want %q", err, wantError)
	}
	for _, want := range wantOutput {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
}

// serveAnswers returns the address of a node that answers one kind of request.
func serveAnswers(t *testing.T, pattern string, answer func() (code int, body any)) (address string) {
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

// writeFile writes a file into a directory of the test's.
func writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}
