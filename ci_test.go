package caperlatch

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ciRepository is a temporary git repository with copies of the scripts in .ci, which check the repository that
// contains them.
type ciRepository struct {
	t   *testing.T
	dir string
	// Hashes of a commit without deploy/service.toml, a commit with it, and a commit with it on another branch.
	withoutDeployFile, withDeployFile, onSideBranch string
}

// largeFileContent is one byte larger than the limit of .ci/large-files.
var largeFileContent = strings.Repeat("x", 1<<20+1)

// fixtureTestFile is a test file in which two tests pass, one fails, and one skips itself.
const fixtureTestFile = `package x
import "testing"
func TestOne(t *testing.T) {}
func TestTwo(t *testing.T) { t.Error() }
func TestOneMore(t *testing.T) {}
func TestFour(t *testing.T) { t.Skip() }
`

// newCIRepository creates a repository whose files pass all checks. It has a main branch, which is checked out, and a
// side branch.
func newCIRepository(t *testing.T) *ciRepository {
	t.Helper()
	r := &ciRepository{t: t, dir: t.TempDir()}
	for _, script := range []string{".ci/known-red", ".ci/production", ".ci/large-files"} {
		content, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		r.writeFile(script, string(content))
	}
	r.writeFile("go.mod", "module x\n")
	r.writeFile("x/x_test.go", fixtureTestFile)
	r.git("init", "-q")
	r.withoutDeployFile = r.commitAll("without deploy file")
	r.writeFile("deploy/service.toml", "run = \"x\"\n")
	r.withDeployFile = r.commitAll("with deploy file")
	r.git("checkout", "-q", "-b", "side")
	r.git("commit", "-q", "--allow-empty", "-m", "commit on side branch")
	r.onSideBranch = r.git("rev-parse", "HEAD")
	r.git("checkout", "-q", "-")
	r.writeFile("journal/old.json", largeFileContent)
	r.writeFile("sub/testdata/old.bin", largeFileContent)
	r.writeFile("grows.bin", "x")
	r.commitAll("large files where they are allowed")
	return r
}

// git runs git in the repository and returns its output without surrounding white space.
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

// commitAll commits all files and returns the hash of the commit.
func (r *ciRepository) commitAll(title string) string {
	r.t.Helper()
	r.git("add", "-A")
	r.git("commit", "-qm", title)
	return r.git("rev-parse", "HEAD")
}

// writeFile writes an executable file, with its directories, below the root of the repository.
func (r *ciRepository) writeFile(name, content string) {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o755); err != nil {
		r.t.Fatal(err)
	}
}

// scriptRun is a test case: one run of a script after a change to a file.
type scriptRun struct {
	name                    string
	command                 string // the script in .ci, followed by its argument if there is one
	changedFile, newContent string // the file written before the run; none if changedFile is empty
	wantSuccess             bool
	wantOutput              string // standard output without surrounding white space
}

// runScripts checks exit status and output of each run. A run sees the files as the runs before it left them.
func (r *ciRepository) runScripts(runs []scriptRun) {
	for _, run := range runs {
		r.t.Run(run.name, func(t *testing.T) {
			if run.changedFile != "" {
				r.writeFile(run.changedFile, run.newContent)
			}
			script, argument, _ := strings.Cut(run.command, " ")
			out, err := exec.Command(filepath.Join(r.dir, ".ci", script), argument).Output()
			if (err == nil) != run.wantSuccess || strings.TrimSpace(string(out)) != run.wantOutput {
				t.Errorf("got error %v, output %q; want success %v, output %q", err, out, run.wantSuccess, run.wantOutput)
			}
		})
	}
}

// knownRedEntry returns a valid line of KNOWN-RED.txt for a test of the fixture's package.
func knownRedEntry(test string) string {
	return test + "; ci; go test -count=1 -run '^" + test + "$' ./x; seed 17; fails; issue 17\n"
}

// TestCIKnownRed checks that .ci/known-red accepts only valid entries, lists their tests, and reports their results.
func TestCIKnownRed(t *testing.T) {
	newCIRepository(t).runScripts([]scriptRun{
		{"no file", "known-red", "", "", true, ""},
		{"one entry", "known-red", "KNOWN-RED.txt", knownRedEntry("TestOne"), true, "TestOne"},
		{"one entry among comments and blank lines", "known-red", "KNOWN-RED.txt", "# TEST\n\n" + knownRedEntry("TestOne") + "  \n", true, "TestOne"},
		{"long entry with a variable and without a seed", "known-red", "KNOWN-RED.txt", "TestOne; long; A_B=1 go test -count=1 -run '^TestOne$' ./x; no seed; fails, with a comma; issue 17\n", true, "TestOne"},
		{"as many entries as allowed", "known-red", "KNOWN-RED.txt", knownRedEntry("TestOne") + knownRedEntry("TestTwo") + strings.TrimSpace(knownRedEntry("TestFour")), true, "TestOne\nTestTwo\nTestFour"},
		{"too many entries", "known-red", "KNOWN-RED.txt", knownRedEntry("TestOne") + knownRedEntry("TestTwo") + knownRedEntry("TestFour") + knownRedEntry("TestOneMore"), false, ""},
		{"test does not exist", "known-red", "KNOWN-RED.txt", knownRedEntry("TestOn"), false, ""},
		{"pattern in place of a test name", "known-red", "KNOWN-RED.txt", knownRedEntry("Test.*"), false, ""},
		{"malformed entry without a command", "known-red", "KNOWN-RED.txt", "TestOne, a cause, issue 17\n", false, ""},
		{"empty field for what was seen", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; no seed; ; issue 17\n", false, ""},
		{"seed field missing", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; fails; issue 17\n", false, ""},
		{"malformed seed", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; any seed; fails; issue 17\n", false, ""},
		{"issue without a number", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x; no seed; fails; issue\n", false, ""},
		{"neither ci nor long", "known-red", "KNOWN-RED.txt", "TestOne; never; go test -count=1 -run '^TestOne$' ./x; no seed; fails; issue 17\n", false, ""},
		{"command of another test", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestTwo$' ./x; no seed; fails; issue 17\n", false, ""},
		{"command that may run further tests", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run TestOne ./x; no seed; fails; issue 17\n", false, ""},
		{"command that continues after the test", "known-red", "KNOWN-RED.txt", "TestOne; ci; go test -count=1 -run '^TestOne$' ./x && true; no seed; fails; issue 17\n", false, ""},
		{"same test twice", "known-red", "KNOWN-RED.txt", knownRedEntry("TestOne") + knownRedEntry("TestOne"), false, ""},
		{"run: each result of a test", "known-red run", "KNOWN-RED.txt", knownRedEntry("TestOne") + knownRedEntry("TestTwo") + knownRedEntry("TestFour"), true, "TestOne: passes; remove its entry from KNOWN-RED.txt\nTestTwo: fails\nTestFour: not run: the test skipped itself"},
		{"run: long entry and package that does not exist", "known-red run", "KNOWN-RED.txt", "TestOneMore; long; go test -count=1 -run '^TestOneMore$' ./x; no seed; fails; issue 17\nTestOne; ci; go test -count=1 -run '^TestOne$' ./y; no seed; fails; issue 17\n", true, "TestOneMore: not run in CI because it takes minutes or starts real processes: go test -count=1 -run '^TestOneMore$' ./x\nTestOne: not run: the command printed no result for the test"},
		{"run: only comments", "known-red run", "KNOWN-RED.txt", "# TEST\n", true, ""},
		{"only a blank line", "known-red", "KNOWN-RED.txt", "\n", true, ""},
	})
}

// TestCIProductionAndLargeFiles checks that .ci/production accepts only an ancestor of HEAD that has a deploy file, and
// that .ci/large-files rejects only tracked files over the limit outside journal/ and testdata.
func TestCIProductionAndLargeFiles(t *testing.T) {
	repo := newCIRepository(t)
	repo.runScripts([]scriptRun{
		{"no production entry", "production", "deploy/service.toml", "run = \"x\"\n", true, ""},
		{"commit of this branch", "production", "deploy/service.toml", "production = \"" + repo.withDeployFile + "\"\n", true, repo.withDeployFile},
		{"abbreviated hash", "production", "deploy/service.toml", "production = \"" + repo.withDeployFile[:12] + "\"\n", false, ""},
		{"empty production entry", "production", "deploy/service.toml", "production = \"\"\n", false, ""},
		{"commit does not exist", "production", "deploy/service.toml", "production = \"" + strings.Repeat("0", 40) + "\"\n", false, ""},
		{"commit of another branch", "production", "deploy/service.toml", "production = \"" + repo.onSideBranch + "\"\n", false, ""},
		{"commit without a deploy file", "production", "deploy/service.toml", "production = \"" + repo.withoutDeployFile + "\"\n", false, ""},
		{"large files only in journal and testdata", "large-files", "", "", true, ""},
		{"tracked file over the limit", "large-files", "grows.bin", largeFileContent, false, ""},
		{"tracked file exactly at the limit", "large-files", "grows.bin", largeFileContent[1:], true, ""},
		{"untracked file over the limit", "large-files", "untracked.bin", largeFileContent, true, ""},
	})
}
