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

// checkCommandOutput runs the program with the given arguments. The output must contain each of wantOutput, and the
// program must fail with an error that contains wantError, or succeed if that is empty.
func checkCommandOutput(t *testing.T, wantOutput []string, wantError string, args ...string) {
	t.Helper()
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	if (err != nil) != (wantError != "") || err != nil && !strings.Contains(err.Error(), wantError) {
		t.Errorf("%v: got error %v, want %q", args, err, wantError)
	}
	for _, want := range wantOutput {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%v: want output that contains %q, got\n%s", args, want, out.String())
		}
	}
}

// startFakeNode starts a server that responds to the requests that match a pattern, and returns its address.
func startFakeNode(t *testing.T, pattern string, respond func() (code int, body any)) (address string) {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		code, body := respond()
		b, err := wire.Marshal(body)
		w.WriteHeader(code)
		if _, writeErr := w.Write(b); err != nil || writeErr != nil {
			t.Errorf("%s: send response: encoding error %v, write error %v", pattern, err, writeErr)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// writeFile writes a file into a new temporary directory of the test and returns its path.
func writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}
