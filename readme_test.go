package caperlatch

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// readmeCommands are the first indented lines of a section of the README.
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

// testCommand is the README's command that runs this test as well.
const testCommand = "go test ./..."

// TestReadme runs the first commands of the README as a newcomer would, and checks the example
// of settings that it names.
func TestReadme(t *testing.T) {
	t.Parallel()
	commands := readmeCommands(t, "Build and run")
	if len(commands) != 3 || !strings.HasSuffix(commands[1], "lab run") || commands[2] != testCommand {
		t.Fatalf("the README begins with %q", commands)
	}
	for _, command := range append(commands[:2], "target/caperlatch check deploy/settings.example.toml") {
		out, err := exec.Command("bash", "-c", command).CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
	}
}
