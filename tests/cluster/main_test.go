// Package cluster tests whole clusters. Most tests run the nodes in simulated time against fakes of the state service,
// the cloud, the workers and the network, while a checker looks for violations of the protocol's rules; others run
// the nodes as processes.
package cluster

import (
	"fmt"
	"os"
	"testing"
)

// moduleRoot is the working directory of this package's tests, which build the program and read files in deploy and
// testdata.
const moduleRoot = "../.."

func TestMain(m *testing.M) {
	if err := os.Chdir(moduleRoot); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	m.Run()
}
