package caperlatch

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ciRepository is a git repository with the scripts of .ci that check the repository that they are in.
type ciRepository struct {
	t   *testing.T
	dir string
	// Commits: before there was a deploy file, with it, and with it on another branch.
	withoutDeployFile, withDeployFile, ofBranch string
}

// largeFile is the content of a file that is a byte over the limit.
var largeFile = strings.Repeat("x", 1<<20+1)

// ciTests is a package of tests that end in each way: two pass, one fails, and one skips itself.
const ciTests = `package x
import "testing"
func TestOne(t *testing.T) {}
func TestTwo(t *testing.T) { t.Error() }
func TestOneMore(t *testing.T) {}
func TestFour(t *testing.T) { t.Skip() }
`

// newCIRepository makes the repository.
func newCIRepository(t *testing.T) *ciRepository {
	t.Helper()
	r := &ciRepository{t: t, dir: t.TempDir()}
	for _, script := range []string{".ci/known-red", ".ci/production", ".ci/large-files"} {
		content, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		r.write(script, string(content))
	}
	r.write("go.mod", "module x\n")
	r.write("x/x_test.go", ciTests)
	r.git("init", "-q")
	r.withoutDeployFile = r.commitAll("before the deploy file")
	r.write("deploy/service.toml", "run = \"x\"\n")
	r.withDeployFile = r.commitAll("with it")
	r.git("checkout", "-q", "-b", "side")
	r.git("commit", "-q", "--allow-empty", "-m", "aside")
	r.ofBranch = r.git("rev-parse", "HEAD")
	r.git("checkout", "-q", "-")
	r.write("journal/old.json", largeFile)
	r.write("sub/testdata/old.bin", largeFile)
	r.write("grows.bin", "x")
	r.commitAll("files that may be large")
	return r
}

// git runs git and returns what it prints.
func (r *ciRepository) git(args ...string) string {
	r.t.Helper()
	cmd := exec.Command("git", append([]string{"-c", "user.name=t", "-c", "user.email=t@example.org"}, args...)...)
	cmd.Dir = r.dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		r.t.Fatalf("git %v: %v: %s", args, err, out)
	}
	return strings.TrimSpace(string(out))
}

// commitAll commits all files and returns the commit.
func (r *ciRepository) commitAll(title string) string {
	r.t.Helper()
	r.git("add", "-A")
	r.git("commit", "-qm", title)
	return r.git("rev-parse", "HEAD")
}

// write writes a file.
func (r *ciRepository) write(name, text string) {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		r.t.Fatal(err)
	}
}

// ciCase is a run of a script, with an argument if there is one, after a file was written.
type ciCase struct {
	name, script, file, text string
	ok                       bool
	want                     string // the output
}

// check runs the cases, each in the repository as the one before left it.
func (r *ciRepository) check(cases []ciCase) {
	for _, c := range cases {
		r.t.Run(c.name, func(t *testing.T) {
			if c.file != "" {
				r.write(c.file, c.text)
			}
			script, argument, _ := strings.Cut(c.script, " ")
			out, err := exec.Command(filepath.Join(r.dir, ".ci", script), argument).Output()
			if (err == nil) != c.ok || strings.TrimSpace(string(out)) != c.want {
				t.Errorf("%v, %q; want ok %v, %q", err, out, c.ok, c.want)
			}
		})
	}
}

// redEntry returns an entry of KNOWN-RED.txt for a test in the package x.
func redEntry(test string) string {
	return test + "; ci; go test -count=1 -run '^" + test + "$' ./x; seed 17; fails; issue 17\n"
}

// TestCIKnownRed runs the checks of KNOWN-RED.txt, and its entries.
func TestCIKnownRed(t *testing.T) {
	newCIRepository(t).check([]ciCase{
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
	})
}

// TestCIChecks runs the checks of the production version and of large files.
func TestCIChecks(t *testing.T) {
	repo := newCIRepository(t)
	repo.check([]ciCase{
		{"no production", "production", "deploy/service.toml", "run = \"x\"\n", true, ""},
		{"a commit", "production", "deploy/service.toml", "production = \"" + repo.withDeployFile + "\"\n", true, repo.withDeployFile},
		{"half a hash", "production", "deploy/service.toml", "production = \"" + repo.withDeployFile[:12] + "\"\n", false, ""},
		{"an empty one", "production", "deploy/service.toml", "production = \"\"\n", false, ""},
		{"no commit", "production", "deploy/service.toml", "production = \"" + strings.Repeat("0", 40) + "\"\n", false, ""},
		{"of another branch", "production", "deploy/service.toml", "production = \"" + repo.ofBranch + "\"\n", false, ""},
		{"without a deploy file", "production", "deploy/service.toml", "production = \"" + repo.withoutDeployFile + "\"\n", false, ""},
		{"small files, and large ones where they may be", "large-files", "", "", true, ""},
		{"a large tracked file", "large-files", "grows.bin", largeFile, false, ""},
		{"one of just the limit", "large-files", "grows.bin", largeFile[1:], true, ""},
		{"a large one that is not tracked", "large-files", "untracked.bin", largeFile, true, ""},
	})
}
