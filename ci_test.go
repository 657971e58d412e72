package caperlatch

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// redEntry returns an entry of KNOWN-RED.txt for a test in the package x.
func redEntry(test string) string {
	return test + "; ci; go test -count=1 -run '^" + test + "$' ./x; seed 17; fails; issue 17\n"
}

// TestCIChecks runs the checks of KNOWN-RED.txt, of the production version and of large files
// in a repository of their own.
func TestCIChecks(t *testing.T) {
	dir := t.TempDir()
	git := func(args ...string) string {
		t.Helper()
		cmd := exec.Command("git", append([]string{"-c", "user.name=t", "-c", "user.email=t@example.org"}, args...)...)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("git %v: %v: %s", args, err, out)
		}
		return strings.TrimSpace(string(out))
	}
	write := func(name, text string) {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	for _, script := range []string{".ci/known-red", ".ci/production", ".ci/large-files"} {
		b, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		write(script, string(b))
	}
	write("go.mod", "module x\n")
	write("x/x_test.go", "package x\nimport \"testing\"\nfunc TestOne(t *testing.T) {}\nfunc TestTwo(t *testing.T) { t.Error() }\nfunc TestOneMore(t *testing.T) {}\nfunc TestFour(t *testing.T) { t.Skip() }\n")
	git("init", "-q")
	git("add", "-A")
	git("commit", "-qm", "before the deploy file")
	bare := git("rev-parse", "HEAD")
	write("deploy/service.toml", "run = \"x\"\n")
	git("add", "-A")
	git("commit", "-qm", "with it")
	good := git("rev-parse", "HEAD")
	git("checkout", "-q", "-b", "side")
	git("commit", "-q", "--allow-empty", "-m", "aside")
	aside := git("rev-parse", "HEAD")
	git("checkout", "-q", "-")

	large := strings.Repeat("x", 1<<20+1)
	write("journal/old.json", large)
	write("sub/testdata/old.bin", large)
	write("grows.bin", "x")
	git("add", "-A")
	git("commit", "-qm", "files that may be large")

	cases := []struct {
		name, script, file, text string
		ok                       bool
		want                     string
	}{
		{"no file", "known-red", "", "", true, ""},
		{"one", "known-red", "KNOWN-RED.txt", redEntry("TestOne"), true, "TestOne"},
		{"one among comments and blank lines", "known-red", "KNOWN-RED.txt", "# TEST\n\n" + redEntry("TestOne") + "  \n", true, "TestOne"},
		{"with a variable, without a seed, not run in CI", "known-red", "KNOWN-RED.txt", "TestOne; long; A_B=1 go test -count=1 -run '^TestOne$' ./x; no seed; fails, with a comma; issue 17\n", true, "TestOne"},
		{"three", "known-red", "KNOWN-RED.txt", redEntry("TestOne") + redEntry("TestTwo") + strings.TrimSpace(redEntry("TestFour")), true, "TestOne\nTestTwo\nTestFour"},
		{"four", "known-red", "KNOWN-RED.txt", redEntry("TestOne") + redEntry("TestTwo") + redEntry("TestFour") + redEntry("TestOneMore"), false, ""},
		{"no such test", "known-red", "KNOWN-RED.txt", redEntry("TestOn"), false, ""},
		{"a pattern", "known-red", "KNOWN-RED.txt", redEntry("Test.*"), false, ""},
		{"the form without a command", "known-red", "KNOWN-RED.txt", "TestOne, a cause, issue 17\n", false, ""},
		{"nothing seen", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; no seed; ; issue 17\n", false, ""},
		{"no seed said", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; fails; issue 17\n", false, ""},
		{"a seed that is none", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; any seed; fails; issue 17\n", false, ""},
		{"an issue without a number", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; no seed; fails; issue\n", false, ""},
		{"neither for CI nor long", "known-red", "KNOWN-RED.txt", "TestOne; never; go test -count=1 -run '^TestOne$' ./x; no seed; fails; issue 17\n", false, ""},
		{"the command of another test", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestTwo$' ./x; no seed; fails; issue 17\n", false, ""},
		{"a command that runs more tests", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run TestOne ./x; no seed; fails; issue 17\n", false, ""},
		{"a command that goes on after the test", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x && true; no seed; fails; issue 17\n", false, ""},
		{"one twice", "known-red", "KNOWN-RED.txt", redEntry("TestOne") + redEntry("TestOne"), false, ""},
		{"results", "known-red run", "KNOWN-RED.txt", redEntry("TestOne") + redEntry("TestTwo") + redEntry("TestFour"), true, "TestOne: passes, take it off KNOWN-RED.txt\nTestTwo: fails\nTestFour: not run, it skipped itself"},
		{"what is not run", "known-red run", "KNOWN-RED.txt", "TestOneMore; long; go test -count=1 -run '^TestOneMore$' ./x; no seed; fails; issue 17\nTestOne; ci; go test -count=1 -run '^TestOne$' ./y; no seed; fails; issue 17\n", true, "TestOneMore: not run here, it needs minutes or real processes: go test -count=1 -run '^TestOneMore$' ./x\nTestOne: not run, the command ended without its result"},
		{"nothing to run", "known-red run", "KNOWN-RED.txt", "# TEST\n", true, ""},
		{"nothing in it", "known-red", "KNOWN-RED.txt", "\n", true, ""},
		{"no production", "production", "deploy/service.toml", "run = \"x\"\n", true, ""},
		{"a commit", "production", "deploy/service.toml", "production = \"" + good + "\"\n", true, good},
		{"half a hash", "production", "deploy/service.toml", "production = \"" + good[:12] + "\"\n", false, ""},
		{"an empty one", "production", "deploy/service.toml", "production = \"\"\n", false, ""},
		{"no commit", "production", "deploy/service.toml", "production = \"" + strings.Repeat("0", 40) + "\"\n", false, ""},
		{"of another branch", "production", "deploy/service.toml", "production = \"" + aside + "\"\n", false, ""},
		{"small files, and large ones where they may be", "large-files", "", "", true, ""},
		{"a large tracked file", "large-files", "grows.bin", large, false, ""},
		{"one of just the limit", "large-files", "grows.bin", large[1:], true, ""},
		{"a large one that is not tracked", "large-files", "untracked.bin", large, true, ""},
		{"without a deploy file", "production", "deploy/service.toml", "production = \"" + bare + "\"\n", false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.file != "" {
				write(c.file, c.text)
			}
			script, argument, _ := strings.Cut(c.script, " ")
			cmd := exec.Command(filepath.Join(dir, ".ci", script), argument)
			out, err := cmd.Output()
			if (err == nil) != c.ok || strings.TrimSpace(string(out)) != c.want {
				t.Errorf("%v, %q; want ok %v, %q", err, out, c.ok, c.want)
			}
		})
	}
}
