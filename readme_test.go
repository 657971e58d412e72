package caperlatch

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// readmeCommands returns the lines of the first indented block in a section of README.md.
func readmeCommands(t *testing.T, section string) []string {
	t.Helper()
	b, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(b), "## "+section+"\n")
	_, text, _ = strings.Cut(text, "\n\n    ")
	text, _, _ = strings.Cut(text, "\n\n")
	return strings.Split(text, "\n    ")
}

// readmeTestCommand is the command of the README that runs all tests. TestReadme does not run it, because it would run
// TestReadme again.
const readmeTestCommand = "go test ./..."

// TestReadme checks that a new user can run the build command and the lab command of the README, and that the program
// accepts the example settings file that the README names.
func TestReadme(t *testing.T) {
	t.Parallel()
	commands := readmeCommands(t, "Build and run")
	if len(commands) != 3 || !strings.HasSuffix(commands[1], "lab run") || commands[2] != readmeTestCommand {
		t.Fatalf("got commands %q in README section \"Build and run\", want a build, a lab run, and %q", commands, readmeTestCommand)
	}
	for _, command := range append(commands[:2], "target/caperlatch check deploy/settings.example.toml") {
		out, err := exec.Command("bash", "-c", command).CombinedOutput()
		if err != nil {
			t.Fatalf("command %s: %v\n%s", command, err, out)
		}
	}
}
