// Package cluster tests whole clusters: nodes over fakes of all that surrounds them, in simulated time and under a
// checker of the protocol's rules, and nodes as processes.
package cluster

import (
	"fmt"
	"os"
	"testing"
)

// moduleRoot is where this package's tests run: they build the program, and read what stands in deploy and testdata.
const moduleRoot = "../.."

func TestMain(m *testing.M) {
	if err := os.Chdir(moduleRoot); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	m.Run()
}
